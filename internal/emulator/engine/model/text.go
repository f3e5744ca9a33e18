package model

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"stepseam.example/stepseam/internal/backend"
)

// tokenBytes is the length of each generated token, so that an answer has the same number
// of tokens when it returns as part of a prompt (backend.CountTokens).
const tokenBytes = 4

const (
	consonants = "bdfgklmnprstvz"
	vowels     = "aeiou"
)

// Digest returns a hash of a message.
func Digest(message backend.Message) uint64 {
	hash := xxhash.New()
	writeString(hash, message.Role)
	writeString(hash, message.Content)
	return hash.Sum64()
}

func writeString(hash *xxhash.Digest, text string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(text)))
	_, _ = hash.Write(length[:])
	_, _ = hash.WriteString(text)
}

// Segments returns one segment per message.
func Segments(messages []backend.Message) []Segment {
	segments := make([]Segment, 0, len(messages))
	for _, message := range messages {
		segments = append(segments, Segment{Digest: Digest(message), Tokens: backend.CountMessageTokens(message)})
	}
	return segments
}

// AnswerSegment returns the segment of an assistant message with text.
func AnswerSegment(text string) Segment {
	return Segments([]backend.Message{{Role: "assistant", Content: text}})[0]
}

// Writer generates the tokens of one answer. The same model, adapter, messages and seed
// give the same tokens on every engine.
type Writer struct{ random *rand.Rand }

// NewWriter returns the writer of one answer.
func NewWriter(model, adapter string, messages []backend.Message, seed uint64) *Writer {
	hash := xxhash.New()
	writeString(hash, model)
	writeString(hash, adapter)
	for _, message := range messages {
		writeString(hash, message.Role)
		writeString(hash, message.Content)
	}
	return &Writer{random: rand.New(rand.NewPCG(hash.Sum64(), seed))}
}

// Length draws the length of the answer between shortest and longest. It is called once,
// before the first token.
func (w *Writer) Length(shortest, longest int) int {
	if longest <= shortest {
		return shortest
	}
	return shortest + w.random.IntN(longest-shortest+1)
}

// Next returns the next token: three letters and a space.
func (w *Writer) Next() string {
	text := [tokenBytes]byte{
		consonants[w.random.IntN(len(consonants))],
		vowels[w.random.IntN(len(vowels))],
		consonants[w.random.IntN(len(consonants))],
		' ',
	}
	return string(text[:])
}
