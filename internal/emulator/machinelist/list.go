// Package machinelist emulates the platform's list of live and leaving machines, which
// may be stale. Its core runs inside a testing/synctest bubble; NewServer serves it over
// HTTP.
package machinelist

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/siteservices"
)

// Faults are the injected faults of the list. The zero value is a list without faults and
// without lag.
type Faults struct {
	// Down fails every request with siteservices.ErrUnavailable.
	Down bool `yaml:"down" json:"down"`
	// Lag is the time after which a change becomes visible.
	Lag time.Duration `yaml:"lag" json:"lag" validate:"gte=0"`
	// Delay is the duration of a request.
	Delay time.Duration `yaml:"delay" json:"delay" validate:"gte=0"`
}

// List is the core of the machine list.
type List struct {
	// mutex guards everything below.
	mutex  sync.Mutex
	faults Faults
	views  map[string]*View
	// history contains versions of the list, oldest first; the first one is visible or
	// was, later ones may be.
	history []version
}

// version is the list as it was from since on.
type version struct {
	since    time.Time
	machines []siteservices.Machine
}

var _ siteservices.MachineList = (*List)(nil)

// New returns a list in which machines are visible from the start, whatever the lag.
func New(machines []siteservices.Machine) *List {
	return &List{
		views:   make(map[string]*View),
		history: []version{{machines: sorted(machines)}},
	}
}

// SetFaults replaces the faults. A longer lag never restores versions that have been
// dropped.
func (l *List) SetFaults(faults Faults) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.faults = faults
}

// Faults returns the faults that apply to all callers.
func (l *List) Faults() Faults {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.faults
}

// Replace sets the whole list; the change is visible after the lag.
func (l *List) Replace(machines []siteservices.Machine) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.change(sorted(machines))
}

// Put adds machine or replaces the one of its name; the change is visible after the lag.
func (l *List) Put(machine siteservices.Machine) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.change(sorted(append(without(l.latest(), machine.Name), machine)))
}

// Remove removes the machine name from the list; the change is visible after the lag.
func (l *List) Remove(name string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.change(without(l.latest(), name))
}

// SetState marks a machine as live or leaving; the change is visible after the lag. It
// returns false if the machine is not listed.
func (l *List) SetState(name string, state siteservices.MachineState) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	machines := slices.Clone(l.latest())
	at := slices.IndexFunc(machines, func(m siteservices.Machine) bool { return m.Name == name })
	if at < 0 {
		return false
	}
	machines[at].State = state
	l.change(machines)
	return true
}

// Latest returns the list without lag, for checkers.
func (l *List) Latest() []siteservices.Machine {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.latest())
}

// Machines implements siteservices.MachineList for a caller without its own view.
func (l *List) Machines(ctx context.Context) ([]siteservices.Machine, error) {
	return l.ViewFor("").Machines(ctx)
}

// latest returns the newest list. The caller holds mutex.
func (l *List) latest() []siteservices.Machine { return l.history[len(l.history)-1].machines }

// change adds a new version. The caller holds mutex.
func (l *List) change(machines []siteservices.Machine) {
	l.history = append(l.history, version{since: time.Now(), machines: machines})
	l.shown()
}

// shown returns the list that is visible now and drops older versions. The caller holds
// mutex.
func (l *List) shown() []siteservices.Machine {
	visible := time.Now().Add(-l.faults.Lag)
	for len(l.history) > 1 && !l.history[1].since.After(visible) {
		l.history = l.history[1:]
	}
	return l.history[0].machines
}

// View is the list as one caller sees it.
type View struct {
	list *List
	// down is guarded by list.mutex.
	down bool
}

var _ siteservices.MachineList = (*View)(nil)

// ViewFor returns the view of the caller name, the same one on every call.
func (l *List) ViewFor(name string) *View {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	view := l.views[name]
	if view == nil {
		view = &View{list: l}
		l.views[name] = view
	}
	return view
}

// SetDown partitions this caller from the list, or reconnects it.
func (v *View) SetDown(down bool) {
	v.list.mutex.Lock()
	defer v.list.mutex.Unlock()
	v.down = down
}

// Machines implements siteservices.MachineList.
func (v *View) Machines(ctx context.Context) ([]siteservices.Machine, error) {
	machines, delay, err := v.look()
	if err != nil || delay == 0 {
		return machines, err
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return machines, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("machinelist: %w: %w", siteservices.ErrOutcomeUnknown, ctx.Err())
	}
}

func (v *View) look() ([]siteservices.Machine, time.Duration, error) {
	v.list.mutex.Lock()
	defer v.list.mutex.Unlock()
	if v.down || v.list.faults.Down {
		return nil, 0, fmt.Errorf("machinelist: %w", siteservices.ErrUnavailable)
	}
	return slices.Clone(v.list.shown()), v.list.faults.Delay, nil
}

func sorted(machines []siteservices.Machine) []siteservices.Machine {
	return slices.SortedFunc(slices.Values(machines), func(a, b siteservices.Machine) int {
		return strings.Compare(a.Name, b.Name)
	})
}

func without(machines []siteservices.Machine, name string) []siteservices.Machine {
	return slices.DeleteFunc(slices.Clone(machines), func(m siteservices.Machine) bool { return m.Name == name })
}
