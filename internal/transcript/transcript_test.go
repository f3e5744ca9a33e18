package transcript

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/emulator/nodes"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/residency"
)

// cluster is nodes that call each other in this process.
type cluster struct {
	*nodes.Network
	services []*Service
	running  []*nodes.Node
	maxBytes int
}

func newCluster(count int, delay time.Duration) *cluster {
	c := &cluster{Network: nodes.NewNetwork(delay), services: make([]*Service, count), running: make([]*nodes.Node, count), maxBytes: 1 << 20}
	for i := range count {
		c.start(i)
	}
	c.shareView()
	return c
}

// simulate runs a test in virtual time, and lets calls that are under way end.
func simulate(t *testing.T, run func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		run(t)
		time.Sleep(time.Second)
	})
}

// start starts an incarnation of a node without transcripts.
func (c *cluster) start(number int) {
	synctest.Wait() // no call reaches the node before its handlers are registered
	node := c.Start(number)
	began := time.Now()
	service := New(Config{
		Self: node.Node, Peers: node.Client(), MaxBytes: c.maxBytes, Logger: slog.New(slog.DiscardHandler),
		Now: func() time.Duration { return time.Since(began) + time.Hour },
	})
	service.Register(node.Registry)
	c.services[number], c.running[number] = service, node
}

// shareView gives each node the view of its partition.
func (c *cluster) shareView() {
	for i, service := range c.services {
		service.SetView(c.View(c.PartitionOf(nodes.Name(i))))
	}
}

var stream = Stream{Key: Key{1}, Content: Content{2}, Lifetime: time.Minute}

func piece(id int64, writer string) Event {
	return Event{ID: id, HasID: true, Data: fmt.Appendf(nil, "%s%d\n", writer, id)}
}

// write appends the events from..to one by one.
func write(t *testing.T, writer *Writer, from, to int64, name string) {
	t.Helper()
	for id := from; id <= to; id++ {
		if err := writer.Append(t.Context(), piece(id, name)); err != nil {
			t.Fatal(err)
		}
	}
}

func output(events []Event) string {
	var text []byte
	for _, event := range events {
		text = append(text, event.Data...)
	}
	return string(text)
}

func textOf(from, to int64, name string) string {
	return output(lo.RepeatBy(int(to-from+1), func(i int) Event { return piece(from+int64(i), name) }))
}

// The output that a killed node had sent was not known to the node where the client resumed.
func TestOutputIsKnownAfterTheLossOfTheWriterAndTwoHolders(t *testing.T) {
	simulate(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(9, time.Millisecond)
		writer := c.services[0].Begin(stream)
		is.Equal(len(writer.holders), copyCount)
		write(t, writer, 0, 4, "a")
		c.running[0].Stop()
		for _, holder := range writer.holders[:2] {
			c.running[lo.IndexOf(lo.Map(c.running, func(n *nodes.Node, _ int) identity.NodeName { return n.Name }), holder.Name)].Stop()
		}
		for i, node := range c.running {
			if node.Down() {
				continue
			}
			_, events, err := c.services[i].Resume(t.Context(), stream, 4)
			is.NoErr(err)
			is.Equal(output(events), textOf(0, 4, "a"))
		}
	})
}

func TestUncertainOutputIsUnknown(t *testing.T) {
	for name, c := range map[string]struct {
		position int64
		prepare  func(c *cluster, writer *Writer)
		wanted   func(*Stream)
		err      error
	}{
		"the position is behind the last event": {position: 9, err: ErrUnknown},
		"the stream was never begun":            {position: 2, wanted: func(s *Stream) { s.Key = Key{7} }, err: ErrUnknown},
		"the stream answers another turn":       {position: 2, wanted: func(s *Stream) { s.Content = Content{7} }, err: ErrOtherContent},
		"most holders have ended": {position: 2, err: ErrUnknown, prepare: func(c *cluster, writer *Writer) {
			for _, holder := range writer.holders[:majority(len(writer.holders))] {
				c.stop(holder)
			}
		}},
		"most holders have started again": {position: 2, err: ErrUnknown, prepare: func(c *cluster, writer *Writer) {
			for _, holder := range writer.holders[:majority(len(writer.holders))] {
				c.start(c.number(holder))
			}
			c.shareView()
		}},
		"the client has waited too long": {position: 2, err: ErrUnknown, prepare: func(*cluster, *Writer) { time.Sleep(2 * time.Minute) }},
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(t *testing.T) {
				is := is.New(t)
				made := newCluster(9, time.Millisecond)
				writer := made.services[0].Begin(stream)
				write(t, writer, 0, 4, "a")
				if c.prepare != nil {
					c.prepare(made, writer)
				}
				wanted := stream
				if c.wanted != nil {
					c.wanted(&wanted)
				}
				_, _, err := made.services[8].Resume(t.Context(), wanted, c.position)
				is.True(errors.Is(err, c.err))
				if c.wanted != nil { // the writer is not fenced by a resumption of another stream
					write(t, writer, 5, 5, "a")
				}
			})
		})
	}
}

func (c *cluster) number(node identity.Node) int {
	_, number, _ := lo.FindIndexOf(c.running, func(n *nodes.Node) bool { return n.Name == node.Name })
	return number
}

func (c *cluster) stop(node identity.Node) { c.running[c.number(node)].Stop() }

// A client may lose events that were sent, and come back several times.
func TestStreamIsResumedSeveralTimes(t *testing.T) {
	simulate(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(9, time.Millisecond)
		write(t, c.services[0].Begin(stream), 0, 4, "a")
		second, events, err := c.services[1].Resume(t.Context(), stream, 2)
		is.NoErr(err)
		is.Equal(output(events), textOf(0, 2, "a"))
		write(t, second, 3, 5, "b")
		third, events, err := c.services[2].Resume(t.Context(), stream, 5)
		is.NoErr(err)
		is.Equal(output(events), textOf(0, 2, "a")+textOf(3, 5, "b"))
		write(t, third, 6, 7, "c")
		_, events, err = c.services[3].Resume(t.Context(), stream, 7)
		is.NoErr(err)
		is.Equal(output(events), textOf(0, 2, "a")+textOf(3, 5, "b")+textOf(6, 7, "c"))
		_, events, err = c.services[4].Resume(t.Context(), stream, -1)
		is.NoErr(err)
		is.Equal(len(events), 0)
	})
}

// The events of a writer that was cut off after its claim were taken for those of the one before.
func TestEventsThatWereReplacedAreNotTakenForOthers(t *testing.T) {
	simulate(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(9, time.Millisecond)
		write(t, c.services[0].Begin(stream), 0, 4, "a")
		writer, _, err := c.services[1].Resume(t.Context(), stream, 2)
		is.NoErr(err)
		c.Cut("n1", 1)
		write(t, writer, 3, 4, "b") // sent, though no holder has them
		_, _, err = c.services[2].Resume(t.Context(), stream, 4)
		is.True(errors.Is(err, ErrUnknown))
	})
}

func TestFormerWriterIsFenced(t *testing.T) {
	simulate(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(9, time.Millisecond)
		former := c.services[0].Begin(stream)
		write(t, former, 0, 4, "a")
		writer, _, err := c.services[1].Resume(t.Context(), stream, 3)
		is.NoErr(err)
		is.True(errors.Is(former.Append(t.Context(), piece(5, "a")), ErrFenced))
		write(t, writer, 4, 6, "b")
		_, events, err := c.services[2].Resume(t.Context(), stream, 6)
		is.NoErr(err)
		is.Equal(output(events), textOf(0, 3, "a")+textOf(4, 6, "b"))
	})
}

// A writer that is cut off sends on without delay for each event. What it sent without a majority is
// not taken for another writer's events.
func TestEventsOfPartitionedWriterAreNotMixedUp(t *testing.T) {
	simulate(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(9, time.Millisecond)
		writer := c.services[0].Begin(stream)
		write(t, writer, 0, 2, "a")
		c.Cut("n0", 1)
		began := time.Now()
		write(t, writer, 3, 9, "a")
		is.True(time.Since(began) < 2*storeTimeout) // only the first one waits
		_, _, err := c.services[1].Resume(t.Context(), stream, 7)
		is.True(errors.Is(err, ErrUnknown))
		resumed, events, err := c.services[1].Resume(t.Context(), stream, 2)
		is.NoErr(err)
		is.Equal(output(events), textOf(0, 2, "a"))
		write(t, resumed, 3, 7, "b")
		c.Heal()
		time.Sleep(time.Second)
		for writer.Append(t.Context(), piece(10, "a")) == nil {
			time.Sleep(10 * time.Millisecond)
		}
		_, events, err = c.services[2].Resume(t.Context(), stream, 7)
		is.NoErr(err)
		is.Equal(output(events), textOf(0, 2, "a")+textOf(3, 7, "b"))
	})
}

func TestWriterCatchesUpAfterPartition(t *testing.T) {
	simulate(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(9, time.Millisecond)
		writer := c.services[0].Begin(stream)
		write(t, writer, 0, 2, "a")
		c.Cut("n0", 1)
		write(t, writer, 3, 4, "a")
		c.Heal()
		time.Sleep(time.Second)
		write(t, writer, 5, 5, "a")
		time.Sleep(time.Second)
		write(t, writer, 6, 6, "a")
		_, events, err := c.services[1].Resume(t.Context(), stream, 6)
		is.NoErr(err)
		is.Equal(output(events), textOf(0, 6, "a"))
	})
}

// Claims at the same time don't both go on.
func TestOneOfSeveralResumptionsGoesOn(t *testing.T) {
	simulate(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(9, time.Millisecond)
		write(t, c.services[0].Begin(stream), 0, 2, "a")
		results := make(chan string, 3)
		for i := 1; i <= 3; i++ {
			go func() {
				name := fmt.Sprint("w", i, "-")
				writer, _, err := c.services[i].Resume(t.Context(), stream, 2)
				for id := int64(3); err == nil && id <= 6; id++ {
					err = writer.Append(t.Context(), piece(id, name))
					time.Sleep(10 * time.Millisecond)
				}
				if err != nil {
					name = ""
				}
				results <- name
			}()
		}
		whole := lo.Compact([]string{<-results, <-results, <-results})
		is.Equal(len(whole), 1)
		_, events, err := c.services[4].Resume(t.Context(), stream, 6)
		is.NoErr(err)
		is.Equal(output(events), textOf(0, 2, "a")+textOf(3, 6, whole[0]))
	})
}

func TestSmallSites(t *testing.T) {
	for count, lost := range map[int]int{1: 0, 2: 1, 4: 1} {
		simulate(t, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(count, 0)
			write(t, c.services[0].Begin(stream), 0, 2, "a")
			for i := range lost {
				c.running[i].Stop()
			}
			_, events, err := c.services[count-1].Resume(t.Context(), stream, 2)
			is.NoErr(err)
			is.Equal(output(events), textOf(0, 2, "a"))
		})
	}
}

func TestHoldersAreInAllowedRegions(t *testing.T) {
	simulate(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(9, 0)
		view := c.View(0)
		for i := range view.Members {
			view.Members[i].Node.Region = identity.Region([]string{"home", "away"}[i%2])
		}
		for _, service := range c.services {
			service.SetView(view)
		}
		restricted := stream
		restricted.Allowed = residency.OnlyIn([]string{"home"})
		for _, holder := range c.services[0].Begin(restricted).holders {
			is.Equal(c.number(holder)%2, 0)
		}
		write(t, c.services[0].Begin(restricted), 0, 2, "a")
		_, events, err := c.services[1].Resume(t.Context(), restricted, 2) // in the other region
		is.NoErr(err)
		is.Equal(output(events), textOf(0, 2, "a"))
	})
}

// Transcripts are bounded, and none is removed for another: its promises would be lost.
func TestFullHolderRefusesTranscripts(t *testing.T) {
	simulate(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(2, 0)
		c.services[1].table.maxBytes = 10_000
		first := c.services[0].Begin(stream)
		write(t, first, 0, 0, "a")
		other := stream
		other.Key = Key{9}
		large := Event{ID: 0, HasID: true, Data: make([]byte, 20_000)}
		is.NoErr(c.services[0].Begin(other).Append(t.Context(), large))
		_, _, err := c.services[1].Resume(t.Context(), other, 0)
		is.True(errors.Is(err, ErrUnknown))
		_, _, err = c.services[1].Resume(t.Context(), stream, 0)
		is.NoErr(err)
		time.Sleep(2 * time.Minute)
		write(t, c.services[0].Begin(stream), 0, 0, "a")
		records, bytes := c.services[1].table.size()
		is.True(records == 1 && bytes < 1000) // the others have expired
	})
}

// Nodes of builds before transcripts answer no message of them.
func TestHoldersOfOldBuildsAreNotCounted(t *testing.T) {
	simulate(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(6, 0)
		for _, old := range c.running[2:] {
			old.SetOld()
		}
		is.NoErr(c.services[0].Begin(stream).Append(t.Context(), piece(0, "a")))
		_, _, err := c.services[1].Resume(t.Context(), stream, 0)
		is.True(errors.Is(err, ErrUnknown))
	})
}

func TestAppendEndsWithItsContext(t *testing.T) {
	simulate(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(6, 10*time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		began := time.Now()
		is.NoErr(c.services[0].Begin(stream).Append(ctx, piece(0, "a")))
		is.Equal(time.Since(began), time.Duration(0))
		time.Sleep(time.Second)
		_, events, err := c.services[1].Resume(t.Context(), stream, 0)
		is.NoErr(err)
		is.Equal(output(events), "a0\n")
	})
}

// modelClient is a client that takes a stream up again at any node, knowing what it has received.
type modelClient struct {
	position int64
	received string
}

// A stream that goes on does so behind exactly the events that its client has, whatever becomes of
// nodes and links.
func TestModelResumedStreamsHaveTheirWholeOutput(t *testing.T) {
	known, unknown := 0, 0
	for seed := range uint64(400) {
		simulate(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			c := newCluster(4+random.IntN(6), time.Duration(random.IntN(4))*time.Millisecond)
			client := modelClient{position: -1}
			at := random.IntN(len(c.services))
			writer := c.services[at].Begin(stream)
			for attempt := range 6 {
				if writer != nil {
					client.receive(t, c, writer, random, fmt.Sprint("w", attempt, "-"))
				}
				c.disturb(random, at)
				at = random.IntN(len(c.services))
				resumed, events, err := c.services[at].Resume(t.Context(), stream, client.position)
				writer = resumed
				if err != nil {
					unknown++
					continue
				}
				known++
				if output(events) != client.received {
					t.Fatalf("seed %d: event %d, attempt %d: %q is not %q", seed, client.position, attempt, output(events), client.received)
				}
			}
		})
	}
	t.Logf("%d resumptions went on, %d were refused", known, unknown)
	if known < unknown {
		t.Fatal("too few resumptions went on")
	}
}

// receive receives events of a writer, the last of which may be lost.
func (m *modelClient) receive(t *testing.T, c *cluster, writer *Writer, random *rand.Rand, name string) {
	lost := random.IntN(4)
	for i := range 1 + random.IntN(4) {
		if random.IntN(8) == 0 {
			c.Cut(writer.service.config.Self.Name, random.IntN(2))
		}
		next := m.position + 1
		if writer.Append(t.Context(), piece(next+int64(max(0, i-lost-1)), name)) != nil || i > lost {
			return
		}
		m.position, m.received = next, m.received+output([]Event{piece(next, name)})
	}
}

// disturb cuts, heals and starts nodes again.
func (c *cluster) disturb(random *rand.Rand, last int) {
	switch random.IntN(6) {
	case 0:
		c.start(last)
	case 1:
		c.Cut(nodes.Name(random.IntN(len(c.running))), 1)
	case 2:
		c.start(random.IntN(len(c.running)))
	case 3:
		c.Heal()
		c.shareView()
	case 4:
		time.Sleep(300 * time.Millisecond)
	}
}
