package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// Content is what all attempts of one request have in common, at whichever node and under
// whichever request ID they arrive.
type Content struct {
	// Tenant is the authenticated tenant; empty if the route requires no key.
	Tenant            string
	Host, Method, URI string
	// Program, Session and PreviousTurn are empty for requests that belong to no program.
	Program, Session, PreviousTurn string
	// PromptPrefix and TokenCount describe the prompt, as the client sent them.
	PromptPrefix, TokenCount string
	// Body is the client's own body, without the history of a program.
	Body []byte
}

// Key is a digest of a Content. It is cryptographic and contains the tenant, so that nobody can
// have another tenant's request refused.
type Key [16]byte

// Key returns the content's key.
func (c *Content) Key() Key {
	digest := sha256.New()
	var size [8]byte
	for _, field := range []string{c.Tenant, c.Host, c.Method, c.URI, c.Program, c.Session, c.PreviousTurn, c.PromptPrefix, c.TokenCount} {
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		// Writing to a digest does not fail.
		_, _ = digest.Write(size[:])
		_, _ = digest.Write([]byte(field))
	}
	_, _ = digest.Write(c.Body)
	return Key(digest.Sum(nil))
}

// String returns the key in hexadecimal digits, as logs and operators name it.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// ParseKey is the inverse of Key.String.
func ParseKey(text string) (Key, error) {
	var key Key
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(key) {
		return key, fmt.Errorf("quarantine: %q is no content key of %d hexadecimal digits", text, 2*len(key))
	}
	copy(key[:], decoded)
	return key, nil
}
