package exchange

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"

	"stepseam.example/stepseam/internal/headsyntax"
)

// maxTrailerBytes bounds the lines behind the last chunk of a body.
const maxTrailerBytes = readBuffer

var errTrailerTooLarge = errors.New("exchange: the lines behind the last chunk exceed the limit")

// chunkedBody is a body in chunks. It ends behind the lines that follow the last chunk, which must be
// fields; package net/http drops those that it can't read.
type chunkedBody struct {
	reader *bufio.Reader
	chunks io.Reader
	// last is set once the last chunk was read, end is what further reads return.
	last bool
	end  error
}

func newChunkedBody(reader *bufio.Reader) *chunkedBody {
	return &chunkedBody{reader: reader, chunks: httputil.NewChunkedReader(reader)}
}

// Read implements io.Reader.
func (b *chunkedBody) Read(into []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n := 0
	if !b.last {
		n, b.end = b.chunks.Read(into)
		if !errors.Is(b.end, io.EOF) {
			return n, b.end
		}
		b.last, b.end = true, nil
		if n > 0 {
			return n, nil // what follows the last chunk may come later
		}
	}
	b.end = b.skipTrailer()
	return n, b.end
}

// skipTrailer reads the lines behind the last chunk, and returns io.EOF if they are fields.
func (b *chunkedBody) skipTrailer() error {
	trailer := headsyntax.NewTrailer()
	for range maxTrailerBytes {
		one, err := b.reader.ReadByte()
		switch {
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return fmt.Errorf("exchange: behind the last chunk: %w", err)
		}
		if err := trailer.Add(one); err != nil {
			return fmt.Errorf("exchange: behind the last chunk: %w", err)
		}
		if trailer.Ended() {
			return io.EOF
		}
	}
	return errTrailerTooLarge
}

// Close implements io.Closer. The connection is closed by its owner.
func (b *chunkedBody) Close() error { return nil }
