package membership

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/identity"
)

// PacketConn is the subset of *net.UDPConn that a Runner uses. Close must unblock a pending
// read with an error that wraps net.ErrClosed.
type PacketConn interface {
	ReadFromUDPAddrPort(buffer []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(payload []byte, to netip.AddrPort) (int, error)
	Close() error
}

// Options configures a Runner. Self, Conn and OnView are required.
type Options struct {
	Self   identity.Node
	Config Config
	// Seeds are the probe addresses to join through.
	Seeds []netip.AddrPort
	Conn  PacketConn
	// RandomSeed seeds the order of probes.
	RandomSeed uint64
	// OnView is called with each new view, never concurrently. Views with the same version
	// differ only in the piggybacked information.
	OnView func(View)
	Logger *slog.Logger
}

const (
	// minViewInterval and minInfoInterval are the minimum times between two calls of
	// OnView, after a change of the members and of the piggybacked information,
	// respectively.
	minViewInterval = 100 * time.Millisecond
	// viewIntervalPerMember times the number of members replaces minViewInterval if it is
	// larger. It bounds the fraction of CPU time spent on views, whose cost is linear in
	// the number of members, during constant changes: a view takes 4.5 µs a member
	// with all subscribers (BenchmarkView), which makes 0.5 % of a core at any size.
	viewIntervalPerMember = time.Millisecond
	minInfoInterval       = time.Second
	// readBufferBytes is larger than any valid datagram.
	readBufferBytes = 2 * MaxDatagram
)

// Traffic counts a Runner's datagrams and their payload bytes.
type Traffic struct {
	SentMessages, SentBytes         uint64
	ReceivedMessages, ReceivedBytes uint64
}

// Runner runs a State on a socket and the clock.
type Runner struct {
	options Options
	// wake notifies the timer loop of an earlier due time.
	wake       chan struct{}
	superseded chan struct{}

	// mutex guards all fields below.
	mutex     sync.Mutex
	state     *State
	wakeAt    time.Time
	traffic   Traffic
	published struct {
		version, info uint64
		at            time.Time
	}
}

// NewRunner returns a runner. Run starts it.
func NewRunner(options Options) *Runner {
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	random := rand.New(rand.NewPCG(options.RandomSeed, uint64(options.Self.Incarnation)))
	return &Runner{
		options:    options,
		wake:       make(chan struct{}, 1),
		superseded: make(chan struct{}),
		state:      NewState(time.Now(), options.Self, options.Config, options.Seeds, random),
	}
}

// Run participates in the membership until ctx ends. Then it notifies other members that
// this node has left, and closes the socket.
func (r *Runner) Run(ctx context.Context) error {
	readDone := make(chan error, 1)
	go func() { readDone <- r.read() }()
	err := r.runTimers(ctx, readDone)
	if err == nil {
		r.execute(func(time.Time) []Datagram { return r.state.Leave() })
	}
	closeErr := r.options.Conn.Close()
	if err == nil {
		err = <-readDone
	}
	if err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	return closeErr
}

// Superseded returns a channel that is closed when a later incarnation of this node is
// detected. This process should exit then.
func (r *Runner) Superseded() <-chan struct{} { return r.superseded }

// SetSeeds replaces the addresses to join through.
func (r *Runner) SetSeeds(seeds []netip.AddrPort) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.state.SetSeeds(seeds)
}

// SetInfo sets the information that this node publishes.
func (r *Runner) SetInfo(tableVersion uint64, load uint32) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.state.SetInfo(tableVersion, load)
}

// BroadcastInfo publishes information without delay, see State.BroadcastInfo.
func (r *Runner) BroadcastInfo(tableVersion uint64, load uint32, toAll bool) {
	r.execute(func(time.Time) []Datagram { return r.state.BroadcastInfo(tableVersion, load, toAll) })
}

// AnnounceLeaving publishes that this node takes no more shards.
func (r *Runner) AnnounceLeaving() {
	r.execute(func(time.Time) []Datagram { return r.state.AnnounceLeaving() })
}

// Statistics returns the protocol's counters.
func (r *Runner) Statistics() Statistics {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.state.Statistics()
}

// Traffic returns the counters of datagrams sent and received.
func (r *Runner) Traffic() Traffic {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.traffic
}

func (r *Runner) read() error {
	buffer := make([]byte, readBufferBytes)
	for {
		size, from, err := r.options.Conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read: %w", err)
		}
		payload := buffer[:size]
		r.execute(func(now time.Time) []Datagram {
			r.traffic.ReceivedMessages++
			r.traffic.ReceivedBytes += uint64(size)
			return r.state.Receive(now, unmapped(from), payload)
		})
	}
}

// unmapped converts an IPv4-mapped IPv6 address, as returned by a dual-stack socket, to
// IPv4.
func unmapped(address netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// execute runs one step of the state machine and sends the resulting datagrams.
func (r *Runner) execute(step func(now time.Time) []Datagram) {
	r.mutex.Lock()
	datagrams := step(time.Now())
	for _, datagram := range datagrams {
		r.traffic.SentMessages++
		r.traffic.SentBytes += uint64(len(datagram.Payload))
	}
	earlier := r.nextDue().Before(r.wakeAt)
	later, superseded := r.state.Superseded()
	r.mutex.Unlock()
	for _, datagram := range datagrams {
		if _, err := r.options.Conn.WriteToUDPAddrPort(datagram.Payload, datagram.To); err != nil {
			r.options.Logger.Debug("cannot send membership datagram", "to", datagram.To, "error", err)
		}
	}
	if earlier {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
	if superseded {
		r.signalSuperseded(later)
	}
}

func (r *Runner) signalSuperseded(later identity.Incarnation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	select {
	case <-r.superseded:
	default:
		r.options.Logger.Error("a later incarnation of this node is running elsewhere",
			"node", r.options.Self.Name, "incarnation", r.options.Self.Incarnation, "later", later)
		close(r.superseded)
	}
}

// nextDue returns when the timer loop has work to do. The caller must hold the mutex.
func (r *Runner) nextDue() time.Time {
	next := r.state.Next()
	if at, changed := r.nextPublish(); changed && at.Before(next) {
		return at
	}
	return next
}

// nextPublish returns when the next view is due. The caller must hold the mutex.
func (r *Runner) nextPublish() (time.Time, bool) {
	version, info := r.state.Changes()
	switch {
	case version != r.published.version:
		return r.published.at.Add(max(minViewInterval, time.Duration(r.state.live)*viewIntervalPerMember)), true
	case info != r.published.info:
		return r.published.at.Add(minInfoInterval), true
	default:
		return time.Time{}, false
	}
}

// runTimers ticks the state and publishes views. It returns nil when ctx ends, or the
// reader's error.
func (r *Runner) runTimers(ctx context.Context, readDone <-chan error) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-readDone:
			return unexpectedEnd(err)
		case <-timer.C:
		case <-r.wake:
		}
		r.execute(r.tickIfDue)
		r.publish()
		r.mutex.Lock()
		r.wakeAt = r.nextDue()
		timer.Reset(time.Until(r.wakeAt))
		r.mutex.Unlock()
	}
}

// errClosed is returned if the socket is closed while the runner is running.
var errClosed = errors.New("socket closed unexpectedly")

// unexpectedEnd turns an early end of the reader into an error.
func unexpectedEnd(err error) error {
	if err == nil {
		return errClosed
	}
	return err
}

func (r *Runner) tickIfDue(now time.Time) []Datagram {
	if now.Before(r.state.Next()) {
		return nil
	}
	return r.state.Tick(now)
}

func (r *Runner) publish() {
	r.mutex.Lock()
	now := time.Now()
	at, changed := r.nextPublish()
	if !changed || now.Before(at) {
		r.mutex.Unlock()
		return
	}
	view := r.state.View()
	r.published.version, r.published.info = r.state.Changes()
	r.published.at = now
	r.mutex.Unlock()
	r.options.OnView(view)
}
