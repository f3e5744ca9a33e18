package fleet

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

const (
	// MaxTextBytes bounds the instance, the service, the zone and the version of a replica.
	MaxTextBytes = 255
	// MaxColdRemaining bounds how long a replica may say that it remains cold.
	MaxColdRemaining = 24 * time.Hour
)

// The causes of Validate's errors.
var (
	ErrInstance = errors.New("fleet: the instance is no name that a request can carry")
	ErrTextSize = errors.New("fleet: a text is too long")
	ErrAddress  = errors.New("fleet: no replica can listen on the address")
	ErrCold     = errors.New("fleet: the cold time is out of range")
)

// Validate checks the values of an entry that nodes act on. The error joins all findings, which wrap
// the errors above.
func (r *Replica) Validate() error {
	var findings []error
	if !validInstance(r.Instance) {
		findings = append(findings, ErrInstance)
	}
	for _, text := range []string{r.Service, r.Zone, r.Version, r.Address.Addr().Zone()} {
		if len(text) > MaxTextBytes {
			findings = append(findings, fmt.Errorf("%w: %d bytes", ErrTextSize, len(text)))
		}
	}
	if !canListen(r.Address) {
		findings = append(findings, ErrAddress)
	}
	if r.ColdRemaining < 0 || r.ColdRemaining > MaxColdRemaining {
		findings = append(findings, fmt.Errorf("%w: %v", ErrCold, r.ColdRemaining))
	}
	return errors.Join(findings...)
}

// validInstance reports whether a request's head can carry an instance unchanged.
func validInstance(instance string) bool {
	return instance != "" && len(instance) <= MaxTextBytes && utf8.ValidString(instance) &&
		strings.TrimSpace(instance) == instance && !strings.ContainsFunc(instance, unicode.IsControl)
}

var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// canListen reports whether one replica, and no other host, can listen on an address.
func canListen(address netip.AddrPort) bool {
	host := address.Addr().Unmap()
	return host.IsValid() && address.Port() != 0 && !host.IsUnspecified() && !host.IsMulticast() && host != broadcast
}
