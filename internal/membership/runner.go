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

// PacketConn is the part of *net.UDPConn that a Runner needs. Close makes a
// waiting read return an error that wraps net.ErrClosed.
type PacketConn interface {
	ReadFromUDPAddrPort(buffer []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(payload []byte, to netip.AddrPort) (int, error)
	Close() error
}

// Options are what a Runner is made from. Self, Conn and OnView are required.
type Options struct {
	Self   identity.Node
	Config Config
	// Seeds are probe addresses to join by.
	Seeds []netip.AddrPort
	Conn  PacketConn
	// RandomSeed seeds the choice of whom to probe.
	RandomSeed uint64
	// OnView is called with each new view, one call at a time. Views of the same
	// version differ only in what rides along.
	OnView func(View)
	Logger *slog.Logger
}

const (
	// viewPause and infoPause are the shortest times between two views, after a
	// change of members and after one of what rides along.
	viewPause = 100 * time.Millisecond
	// viewPausePerMember times the members is the shortest time where that is more. Whoever
	// is told of a view prepares it anew, 4.5 us a member in all (BenchmarkView), so that while
	// members come and go all the time a node spends 5 in 1,000 of a core on that, whatever
	// the size.
	viewPausePerMember = time.Millisecond
	infoPause          = time.Second
	// readBuffer is larger than any valid datagram.
	readBuffer = 2 * MaxDatagram
)

// Traffic counts a Runner's datagrams and their payload bytes.
type Traffic struct {
	SentMessages, SentBytes         uint64
	ReceivedMessages, ReceivedBytes uint64
}

// Runner runs a State on a socket and the clock.
type Runner struct {
	options Options
	// wake tells the timer loop that something is due earlier.
	wake       chan struct{}
	superseded chan struct{}

	// mutex guards all below.
	mutex     sync.Mutex
	state     *State
	wakeAt    time.Time
	traffic   Traffic
	published struct {
		version, info uint64
		at            time.Time
	}
}

// NewRunner returns a runner that has not started.
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

// Run takes part in the site's membership until ctx ends, then tells other
// members that this node has left and closes the socket.
func (r *Runner) Run(ctx context.Context) error {
	reading := make(chan error, 1)
	go func() { reading <- r.read() }()
	err := r.runTimers(ctx, reading)
	if err == nil {
		r.act(func(time.Time) []Datagram { return r.state.Leave() })
	}
	closeErr := r.options.Conn.Close()
	if err == nil {
		err = <-reading
	}
	if err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	return closeErr
}

// Superseded is closed when a later life of this node's name was heard of: this
// process should end.
func (r *Runner) Superseded() <-chan struct{} { return r.superseded }

// SetSeeds replaces the addresses to join by.
func (r *Runner) SetSeeds(seeds []netip.AddrPort) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.state.SetSeeds(seeds)
}

// SetInfo sets what others get told about this node.
func (r *Runner) SetInfo(tableVersion uint64, figure uint32) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.state.SetInfo(tableVersion, figure)
}

// BroadcastInfo tells the others of this node without delay, see State.BroadcastInfo.
func (r *Runner) BroadcastInfo(tableVersion uint64, figure uint32, everybody bool) {
	r.act(func(time.Time) []Datagram { return r.state.BroadcastInfo(tableVersion, figure, everybody) })
}

// AnnounceLeaving tells the others that this node wants no shards any more.
func (r *Runner) AnnounceLeaving() {
	r.act(func(time.Time) []Datagram { return r.state.AnnounceLeaving() })
}

// Statistics returns what the protocol did so far.
func (r *Runner) Statistics() Statistics {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.state.Statistics()
}

// Traffic returns what was sent and received so far.
func (r *Runner) Traffic() Traffic {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.traffic
}

func (r *Runner) read() error {
	buffer := make([]byte, readBuffer)
	for {
		size, from, err := r.options.Conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read: %w", err)
		}
		payload := buffer[:size]
		r.act(func(now time.Time) []Datagram {
			r.traffic.ReceivedMessages++
			r.traffic.ReceivedBytes += uint64(size)
			return r.state.Receive(now, unmapped(from), payload)
		})
	}
}

// unmapped undoes the IPv6 form in which a socket of both families gives IPv4
// addresses.
func unmapped(address netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// act runs one step of the state and sends what it returns.
func (r *Runner) act(step func(now time.Time) []Datagram) {
	r.mutex.Lock()
	datagrams := step(time.Now())
	for _, datagram := range datagrams {
		r.traffic.SentMessages++
		r.traffic.SentBytes += uint64(len(datagram.Payload))
	}
	earlier := r.due().Before(r.wakeAt)
	later, superseded := r.state.Superseded()
	r.mutex.Unlock()
	for _, datagram := range datagrams {
		if _, err := r.options.Conn.WriteToUDPAddrPort(datagram.Payload, datagram.To); err != nil {
			r.options.Logger.Debug("membership datagram not sent", "to", datagram.To, "error", err)
		}
	}
	if earlier {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
	if superseded {
		r.noticeSuperseded(later)
	}
}

func (r *Runner) noticeSuperseded(later identity.Incarnation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	select {
	case <-r.superseded:
	default:
		r.options.Logger.Error("a later life of this node runs elsewhere",
			"node", r.options.Self.Name, "incarnation", r.options.Self.Incarnation, "later", later)
		close(r.superseded)
	}
}

// due returns when the timer loop has something to do; the caller holds the mutex.
func (r *Runner) due() time.Time {
	next := r.state.Next()
	if at, changed := r.publishAt(); changed && at.Before(next) {
		return at
	}
	return next
}

// publishAt returns when the next view is due; the caller holds the mutex.
func (r *Runner) publishAt() (time.Time, bool) {
	version, info := r.state.Changes()
	switch {
	case version != r.published.version:
		return r.published.at.Add(max(viewPause, time.Duration(r.state.live)*viewPausePerMember)), true
	case info != r.published.info:
		return r.published.at.Add(infoPause), true
	default:
		return time.Time{}, false
	}
}

// runTimers ticks and publishes views. It returns nil when ctx ends and the
// reader's error when reading fails.
func (r *Runner) runTimers(ctx context.Context, reading <-chan error) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-reading:
			return readEnd(err)
		case <-timer.C:
		case <-r.wake:
		}
		r.act(r.tickIfDue)
		r.publish()
		r.mutex.Lock()
		r.wakeAt = r.due()
		timer.Reset(time.Until(r.wakeAt))
		r.mutex.Unlock()
	}
}

// errClosed is the reader's end without an error while the runner still runs.
var errClosed = errors.New("socket closed")

// readEnd makes an early end of the reader an error.
func readEnd(err error) error {
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
	at, changed := r.publishAt()
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
