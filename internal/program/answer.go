package program

import (
	"encoding/binary"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/wire"
)

// Answer is the final outcome of a call: a model's text, an application's output,
// or a permanent problem (Code is set), such as an unknown outcome.
type Answer struct {
	Text string
	// TokenLengths are the lengths of the tokens of Text as uvarints, so that a
	// caller can resume a stream at any token after the stream has ended. It is
	// empty if the tokens do not add up to Text.
	TokenLengths []byte
	Output       []byte
	FinishReason string
	Usage        api.Usage
	Backend      string
	Reason       string
	Queued       time.Duration
	Run          time.Duration
	Code         api.Code
	Detail       string
	At           time.Time
}

// TokenLengths returns the encoded lengths of tokens for Answer.TokenLengths, nil
// if the tokens do not add up to text.
func TokenLengths(tokens []string, text string) []byte {
	lengths := make([]byte, 0, len(tokens))
	rest := text
	for _, token := range tokens {
		if len(rest) < len(token) || rest[:len(token)] != token {
			return nil
		}
		rest = rest[len(token):]
		lengths = binary.AppendUvarint(lengths, uint64(len(token)))
	}
	if rest != "" {
		return nil
	}
	return lengths
}

// Tokens calls yield with each token of the answer, starting at index from, until
// yield returns an error. If the token lengths are not known, the whole text counts
// as token 0.
func (a *Answer) Tokens(from int, yield func(index int, text string) error) error {
	if a.Text == "" {
		return nil
	}
	if len(a.TokenLengths) == 0 {
		if from > 0 {
			return nil
		}
		return yield(0, a.Text)
	}
	lengths, rest := a.TokenLengths, a.Text
	for index := 0; len(lengths) > 0; index++ {
		length, size := binary.Uvarint(lengths)
		if size <= 0 || length > uint64(len(rest)) {
			return nil
		}
		if index >= from {
			if err := yield(index, rest[:length]); err != nil {
				return err
			}
		}
		lengths, rest = lengths[size:], rest[length:]
	}
	return nil
}

func (a *Answer) encode(e *wire.Encoder) {
	e.String(a.Text)
	e.Blob(a.TokenLengths)
	e.Blob(a.Output)
	e.String(a.FinishReason)
	e.Uint32(uint32(a.Usage.PromptTokens))
	e.Uint32(uint32(a.Usage.CachedTokens))
	e.Uint32(uint32(a.Usage.CompletionTokens))
	e.String(a.Backend)
	e.String(a.Reason)
	e.Duration(a.Queued)
	e.Duration(a.Run)
	e.String(string(a.Code))
	e.String(a.Detail)
	e.Time(a.At)
}

func decodeAnswer(d *wire.Decoder) Answer {
	return Answer{
		Text:         d.String(),
		TokenLengths: d.Blob(),
		Output:       d.Blob(),
		FinishReason: d.String(),
		Usage: api.Usage{
			PromptTokens:     int(d.Uint32()),
			CachedTokens:     int(d.Uint32()),
			CompletionTokens: int(d.Uint32()),
		},
		Backend: d.String(),
		Reason:  d.String(),
		Queued:  d.Duration(),
		Run:     d.Duration(),
		Code:    api.Code(d.String()),
		Detail:  d.String(),
		At:      d.Time(),
	}
}

// Problem returns the answer as a problem, nil if the call succeeded.
func (a *Answer) Problem(id identity.CallID) *api.Problem {
	if a.Code == "" {
		return nil
	}
	return api.NewProblem(a.Code, "call %s: %s", id, a.Detail)
}
