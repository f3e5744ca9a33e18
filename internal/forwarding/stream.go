package forwarding

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"stepseam.example/stepseam/internal/serving"
)

// errDiverged reports that the tokens of an owner do not continue those already delivered
// to the caller.
var errDiverged = errors.New("forwarding: the answer does not continue the delivered tokens")

// stream delivers the tokens of a call to the caller across several attempts. Each
// attempt starts again at the caller's first token. Tokens that the caller already has
// are compared by a running hash and not delivered again, so that a caller never gets a
// mixture of two answers. Only one goroutine at a time uses it.
type stream struct {
	from    int
	onToken serving.TokenFunc
	// next is the index of the first undelivered token; passedHash is the hash of the
	// tokens from `from` up to it.
	next       int
	passedHash xxhash.Digest
	// callerErr is the error that the caller's TokenFunc returned. diverged is true once
	// an attempt did not continue the delivered tokens.
	callerErr error
	diverged  bool
}

func newStream(from int, onToken serving.TokenFunc) *stream {
	s := &stream{from: from, next: from, onToken: onToken}
	s.passedHash.Reset()
	return s
}

// tokenFunc returns the TokenFunc of one attempt, and a check to run at its end.
func (s *stream) tokenFunc() (onToken serving.TokenFunc, finish func() error) {
	if s.onToken == nil {
		return nil, func() error { return nil }
	}
	attempt := &streamAttempt{stream: s, index: s.from}
	attempt.hash.Reset()
	return attempt.onToken, attempt.finish
}

// streamAttempt is the state of one attempt's tokens.
type streamAttempt struct {
	stream *stream
	index  int
	hash   xxhash.Digest
}

func (t *streamAttempt) onToken(index int, text string) error {
	s := t.stream
	if index != t.index {
		return fmt.Errorf("forwarding: token %d came in place of %d", index, t.index)
	}
	if t.index == s.next {
		if err := t.checkPrefix(); err != nil {
			return err
		}
		if err := s.onToken(index, text); err != nil {
			s.callerErr = err
			return err
		}
		s.next++
		hashToken(&s.passedHash, text)
	}
	t.index++
	hashToken(&t.hash, text)
	return nil
}

// checkPrefix verifies that the tokens of this attempt so far equal the delivered ones.
func (t *streamAttempt) checkPrefix() error {
	if t.hash.Sum64() != t.stream.passedHash.Sum64() {
		t.stream.diverged = true
		return errDiverged
	}
	return nil
}

// finish verifies a complete answer, which must not be shorter than the delivered tokens.
func (t *streamAttempt) finish() error {
	if t.index < t.stream.next {
		t.stream.diverged = true
		return errDiverged
	}
	return t.checkPrefix()
}

// tokenSeparator makes the hashes of "ab","c" and "a","bc" differ; valid UTF-8 text never
// contains this byte.
var tokenSeparator = []byte{0xff}

func hashToken(hash *xxhash.Digest, text string) {
	_, _ = hash.WriteString(text) // a hash never fails
	_, _ = hash.Write(tokenSeparator)
}
