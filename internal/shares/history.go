// Package shares divides the authority to grant something among the nodes of a site such
// that the fractions in use never add up to more than one, whatever the nodes know of each
// other. The nodes that hold a share are listed in a table in the store. Each version of the
// table gives its holders equal fractions.
//
// Bound: no two nodes need to agree on the current version. A node uses the smallest of its
// fractions in all versions that were the newest at some time within Retention, and only if
// it has confirmed within MaxAge that it knows the newest one. A fraction that it passes on
// is used for UseTTL at most. Let t be any time. Every node whose fraction is in use at t
// has read the table no more than MaxAge before it passed its fraction on, which was no more
// than UseTTL before t, and has taken every version into account that was the newest within
// Retention = MaxAge + UseTTL + ClockDrift before that. So all of them have taken the version
// into account that was the newest at t - MaxAge - UseTTL, and their fractions in that one
// add up to one. Partitions, pauses and outages of the store reduce the fractions in use.
package shares

import (
	"slices"
	"time"
)

const (
	// MaxAge is how long ago a node must have confirmed that it knows the newest table. It
	// is the longest outage of the store in which shares stay in use.
	MaxAge = 20 * time.Second
	// UseTTL is how long a fraction may be in use after it was read from a History.
	UseTTL = 2 * time.Second
	// ClockDrift allows for monotonic clocks that run at different speeds.
	ClockDrift = 200 * time.Millisecond
	// Retention is how long a superseded table still limits the fractions.
	Retention = MaxAge + UseTTL + ClockDrift
)

// Table is one version of the division.
type Table struct {
	// Version counts the tables of a site from 1.
	Version uint64
	// Holders hold equal shares, in the order of their names.
	Holders []Holder
	// Recent lists the holders of the tables that were the newest within Retention before
	// this one was published, for nodes that have not seen them.
	Recent [][]Holder
}

// fraction returns the share of a node among holders.
func fraction(holders []Holder, node Holder) float64 {
	if !node.IsAmong(holders) {
		return 0
	}
	return 1 / float64(len(holders))
}

// superseded is the holders of an earlier table, which limit the fractions until a time.
type superseded struct {
	holders []Holder
	until   time.Duration
}

// History is what one node knows of the tables. All times are monotonic readings of the
// node's own clock. It is not safe for concurrent use.
type History struct {
	newest  Table
	earlier []superseded
	// confirmed is when a read was sent that found newest to be the newest table; known is
	// false before the first one.
	confirmed time.Duration
	known     bool
}

// Observe records a table that was read at a given time. Older versions are ignored.
func (h *History) Observe(table Table, now time.Duration) {
	if table.Version <= h.newest.Version {
		return
	}
	h.forget(now)
	if h.newest.Version > 0 {
		h.earlier = append(h.earlier, superseded{holders: h.newest.Holders, until: now + Retention})
	}
	for _, holders := range table.Recent {
		h.earlier = append(h.earlier, superseded{holders: holders, until: now + Retention})
	}
	h.newest = table
}

// Confirm records that no table newer than the observed ones existed at a given time.
func (h *History) Confirm(at time.Duration) {
	if h.newest.Version > 0 && (!h.known || at > h.confirmed) {
		h.confirmed, h.known = at, true
	}
}

// Age returns the time since the newest table was confirmed; false if it never was.
func (h *History) Age(now time.Duration) (time.Duration, bool) { return now - h.confirmed, h.known }

// Fraction returns the fraction that a node may use, or pass on, until now + UseTTL.
func (h *History) Fraction(node Holder, now time.Duration) float64 {
	if age, known := h.Age(now); !known || age > MaxAge {
		return 0
	}
	h.forget(now)
	result := fraction(h.newest.Holders, node)
	for _, table := range h.earlier {
		result = min(result, fraction(table.holders, node))
	}
	return result
}

// forget drops the tables that no longer limit the fractions.
func (h *History) forget(now time.Duration) {
	h.earlier = slices.DeleteFunc(h.earlier, func(table superseded) bool { return now > table.until })
}

// Newest returns the newest known table, with the earlier ones that still limit fractions.
func (h *History) Newest(now time.Duration) Table {
	h.forget(now)
	table := h.newest
	table.Recent = nil
	for _, earlier := range h.earlier {
		known := func(holders []Holder) bool { return slices.Equal(holders, earlier.holders) }
		if !slices.ContainsFunc(table.Recent, known) {
			table.Recent = append(table.Recent, earlier.holders)
		}
	}
	return table
}

// Next returns the table to publish after the newest one.
func (h *History) Next(holders []Holder, now time.Duration) Table {
	newest := h.Newest(now)
	next := Table{Version: newest.Version + 1, Holders: slices.Sorted(slices.Values(holders)), Recent: newest.Recent}
	if newest.Version > 0 {
		next.Recent = append(next.Recent, newest.Holders)
	}
	return next
}

// Changing reports whether earlier tables still limit the fractions.
func (h *History) Changing(now time.Duration) bool {
	h.forget(now)
	return len(h.earlier) > 0
}
