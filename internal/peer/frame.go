package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// frameType tells what a frame is for.
type frameType uint8

// The types of frames. Requests, cancels, windows and pings go from the side
// that dialled; the rest comes back.
const (
	// frameRequest carries a request message.
	frameRequest frameType = iota + 1
	// framePart and frameFinal carry the messages of an answer.
	framePart
	frameFinal
	// frameFailure carries a handler's error as text.
	frameFailure
	// frameUnknownKind answers a request of a kind that nobody handles.
	frameUnknownKind
	// frameRefused answers a request that was handed to no handler.
	frameRefused
	// frameCancel tells that nobody waits for the answer any more.
	frameCancel
	// frameWindow grants more bytes of parts; the grant is its payload.
	frameWindow
	// framePing asks for a framePong.
	framePing
	framePong
)

// flagMore marks all but the last chunk of a message.
const flagMore uint8 = 1

const (
	// headerSize is length 4, type 1, flags 1, kind 2 and request id 8 bytes.
	headerSize = 16
	// chunkSize is the most that one frame of a message carries, so that frames
	// of other requests get in between those of a large message.
	chunkSize = 64 << 10
	// preface opens a connection; its last byte is the protocol's version.
	preface = "STEPSEAM\x01"
)

// errProtocol is the cause where the other side breaks the framing rules.
var errProtocol = errors.New("peer: protocol violated")

type header struct {
	length  uint32
	form    frameType
	flags   uint8
	kind    Kind
	request uint64
}

// appendFrame appends a frame's header and payload to buffer.
func appendFrame(buffer []byte, h header, payload []byte) []byte {
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = append(buffer, byte(h.form), h.flags)
	buffer = binary.BigEndian.AppendUint16(buffer, uint16(h.kind))
	buffer = binary.BigEndian.AppendUint64(buffer, h.request)
	return append(buffer, payload...)
}

// readFrame reads one frame; the payload is a fresh slice.
func readFrame(reader io.Reader, scratch *[headerSize]byte) (header, []byte, error) {
	if _, err := io.ReadFull(reader, scratch[:]); err != nil {
		return header{}, nil, err
	}
	h := header{
		length:  binary.BigEndian.Uint32(scratch[0:4]),
		form:    frameType(scratch[4]),
		flags:   scratch[5],
		kind:    Kind(binary.BigEndian.Uint16(scratch[6:8])),
		request: binary.BigEndian.Uint64(scratch[8:16]),
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

// assembler joins the chunks of one message; its size is bounded.
type assembler struct {
	chunks []byte
	limit  int
}

// add takes the next chunk and returns the whole message after the last one.
func (a *assembler) add(h header, payload []byte) (whole []byte, complete bool, err error) {
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
	whole = append(a.chunks, payload...)
	a.chunks = nil
	return whole, true, nil
}
