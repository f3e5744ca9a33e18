package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// frameType is the type of a frame.
type frameType uint8

// The types of frames. Requests, cancels, windows and pings are sent by the dialling side,
// all others by the accepting side.
const (
	// frameRequest carries a request message.
	frameRequest frameType = iota + 1
	// framePart and frameFinal carry the messages of a response.
	framePart
	frameFinal
	// frameFailure carries a handler's error as text.
	frameFailure
	// frameUnknownKind responds to a request of a kind without a handler.
	frameUnknownKind
	// frameRefused responds to a request that was not passed to a handler; its payload is
	// the reason.
	frameRefused
	// frameCancel means that the caller no longer waits for the response.
	frameCancel
	// frameWindow extends the window for parts by the number of bytes in its payload.
	frameWindow
	// framePing requests a framePong.
	framePing
	framePong
)

// flagMore marks all chunks of a message but the last.
const flagMore uint8 = 1

const (
	// headerSize is the size of length (4), type (1), flags (1), kind (2) and request ID
	// (8).
	headerSize = 16
	// chunkSize is the maximum payload of a frame, so that frames of other requests can be
	// interleaved with those of a large message.
	chunkSize = 64 << 10
	// preface starts a connection; its last byte is the protocol version.
	preface = "STEPSEAM\x01"
)

// errProtocol means that the other side has violated the protocol.
var errProtocol = errors.New("peer: protocol violated")

type header struct {
	length    uint32
	frameType frameType
	flags     uint8
	kind      Kind
	request   uint64
}

// appendFrame appends a frame's header and payload to buffer.
func appendFrame(buffer []byte, h header, payload []byte) []byte {
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = append(buffer, byte(h.frameType), h.flags)
	buffer = binary.BigEndian.AppendUint16(buffer, uint16(h.kind))
	buffer = binary.BigEndian.AppendUint64(buffer, h.request)
	return append(buffer, payload...)
}

// readFrame reads one frame. The payload is a new slice.
func readFrame(reader io.Reader, scratch *[headerSize]byte) (header, []byte, error) {
	if _, err := io.ReadFull(reader, scratch[:]); err != nil {
		return header{}, nil, err
	}
	h := header{
		length:    binary.BigEndian.Uint32(scratch[0:4]),
		frameType: frameType(scratch[4]),
		flags:     scratch[5],
		kind:      Kind(binary.BigEndian.Uint16(scratch[6:8])),
		request:   binary.BigEndian.Uint64(scratch[8:16]),
	}
	if h.length > chunkSize {
		return header{}, nil, fmt.Errorf("%w: frame of %d bytes", errProtocol, h.length)
	}
	if h.length == 0 {
		return h, nil, nil
	}
	payload := make([]byte, h.length)
	if _, err := io.ReadFull(reader, payload); err != nil {
		return header{}, nil, err
	}
	return h, payload, nil
}

// assembler joins the chunks of one message of limited size.
type assembler struct {
	chunks []byte
	limit  int
}

// add adds the next chunk. It returns the complete message after the last one.
func (a *assembler) add(h header, payload []byte) (message []byte, complete bool, err error) {
	if len(a.chunks)+len(payload) > a.limit {
		return nil, false, fmt.Errorf("%w: message over %d bytes", errProtocol, a.limit)
	}
	if h.flags&flagMore != 0 {
		a.chunks = append(a.chunks, payload...)
		return nil, false, nil
	}
	if a.chunks == nil {
		return payload, true, nil
	}
	message = append(a.chunks, payload...)
	a.chunks = nil
	return message, true, nil
}
