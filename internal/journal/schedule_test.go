package journal

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/emulator/logservice"
	"stepseam.example/stepseam/internal/emulator/network"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
)

// Number of nodes of a random schedule, and the default number of schedules, which an
// environment variable overrides.
const (
	scheduleNodes     = 6
	defaultSchedules  = 8
	schedulesVariable = "SCHEDULES"
)

// event is one fault or operation, after a pause.
type event struct {
	pause time.Duration
	kind  string
	node  int
	other int
}

func (e event) String() string { return fmt.Sprintf("%v %s %d %d", e.pause, e.kind, e.node, e.other) }

var eventKinds = []string{
	"kill", "kill owner", "restart", "freeze owner", "freeze", "thaw", "cut", "cut both", "heal",
	"log down", "log slow", "log loses", "log well", "net loses", "net well", "drain owner", "isolate owner",
}

// schedules generates lists of events.
var schedules = rapid.Custom(func(t *rapid.T) []event {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{
			pause: time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond,
			kind:  rapid.SampledFrom(eventKinds).Draw(t, "kind"),
			node:  rapid.IntRange(0, scheduleNodes-1).Draw(t, "node"),
			other: rapid.IntRange(0, scheduleNodes-1).Draw(t, "other"),
		}
	}), 8, 24).Draw(t, "events")
})

// chaos applies events to a site. It never stops a second process before the tails of
// the first are replicated again, since losing all copies of a write quorum is allowed
// to lose records.
type chaos struct {
	site *testSite
	// dead is the node that is stopped, -1 if none is; since is when that changed.
	dead  int
	since time.Time
	// logBack is when the last outage of the log ended. complete is true if all replica sets
	// were complete when the current outage began; stopped is true if a process was stopped
	// during it. Replica sets do not change in an outage, so only one process may stop.
	logBack  time.Time
	complete bool
	stopped  bool
}

// recoveryTime is the minimum time between two stops, in which replica sets become
// complete again while the log is available.
const recoveryTime = 15 * time.Second

func (c *chaos) apply(e event) {
	switch e.kind {
	case "kill", "kill owner", "freeze", "freeze owner", "restart", "thaw", "drain owner":
		c.applyToProcess(e)
	case "cut":
		c.site.net.Cut(name(e.node), name(e.other))
	case "cut both":
		c.site.net.Cut(name(e.node), name(e.other))
		c.site.net.Cut(name(e.other), name(e.node))
	case "isolate owner":
		if owner := c.site.serving(0); owner != nil {
			c.site.isolate(owner)
		}
	case "heal":
		c.site.net.HealAll()
	case "net loses":
		c.site.net.SetFaults(network.Faults{
			RequestLoss: 0.05, AnswerLoss: 0.05, Duplicate: 0.1, DuplicateDelay: 3 * time.Second,
		})
	case "net well":
		c.site.net.SetFaults(network.Faults{})
	default:
		c.noteLog(e.kind == "log down")
		c.site.log.SetFaults(map[string]logservice.Faults{
			"log down":  {Down: true},
			"log slow":  {AppendDelay: time.Second, ReadDelay: 200 * time.Millisecond},
			"log loses": {LoseBefore: 0.2, LoseAfter: 0.2},
		}[e.kind])
	}
}

func (c *chaos) applyToProcess(e event) {
	node := c.site.find(name(e.node))
	if owner := c.site.serving(identity.ShardID(e.other % 2)); owner != nil && (e.kind == "kill owner" || e.kind == "freeze owner" || e.kind == "drain owner") {
		node = owner
	}
	switch e.kind {
	case "restart", "thaw":
		c.revive()
	case "freeze", "freeze owner":
		if c.mayStop() && node != nil {
			node.endpoint.Freeze()
			c.dead, c.since = number(node.node.Name), time.Now()
		}
	case "drain owner":
		if c.mayStop() && node != nil {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			err := node.manager.Drain(ctx)
			cancel()
			node.kill()
			c.dead, c.since = number(node.node.Name), time.Now()
			_ = err // fails if the log is unavailable; the tails stay with the replicas
		}
	default:
		if c.mayStop() && node != nil {
			node.kill()
			c.dead, c.since = number(node.node.Name), time.Now()
		}
	}
}

func (c *chaos) mayStop() bool {
	if c.dead >= 0 {
		return false
	}
	if !c.site.log.Faults().Down {
		return time.Since(c.since) > recoveryTime && (!c.stopped || time.Since(c.logBack) > recoveryTime)
	}
	may := c.complete && !c.stopped
	c.stopped = c.stopped || may
	return may
}

func (c *chaos) noteLog(down bool) {
	if was := c.site.log.Faults().Down; was == down {
		return
	}
	if !down {
		c.logBack = time.Now()
		return
	}
	c.complete = c.dead < 0 && time.Since(c.since) > recoveryTime && time.Since(c.logBack) > recoveryTime
	c.stopped = c.stopped && !c.complete
}

func (c *chaos) revive() {
	if c.dead < 0 {
		return
	}
	if node := c.site.find(name(c.dead)); node != nil {
		node.endpoint.Thaw()
	} else {
		c.site.start(c.dead)
	}
	c.dead, c.since = -1, time.Now()
}

func name(i int) identity.NodeName { return identity.NodeName(fmt.Sprintf("n%d", i)) }

// trackMembers gives all nodes membership views that lag behind events.
func (s *testSite) trackMembers() {
	frozen := map[identity.NodeName]time.Time{}
	s.repeat(400*time.Millisecond, func() {
		status := map[identity.NodeName]membership.Status{}
		for _, node := range s.all() {
			if !node.endpoint.Frozen() {
				delete(frozen, node.node.Name)
				continue
			}
			if frozen[node.node.Name].IsZero() {
				frozen[node.node.Name] = time.Now()
			}
			if time.Since(frozen[node.node.Name]) > time.Second {
				status[node.node.Name] = membership.Dead
			}
		}
		s.refreshWith(status)
	})
}

func runSchedule(t *testing.T, seed int, v variant) error {
	var found error
	synctest.Test(t, func(t *testing.T) {
		site := newTestSite(uint64(seed), 2)
		site.variant = v
		defer site.close()
		for i := range scheduleNodes {
			site.start(i)
		}
		site.trackMembers()
		time.Sleep(recoveryTime)
		if err := site.awaitServing(time.Minute); err != nil {
			t.Fatal(err)
		}
		owners := site.watchOwners()
		loads := []*load{site.load(0), site.load(1)}
		chaos := &chaos{site: site, dead: -1}
		for _, event := range schedules.Example(seed) {
			time.Sleep(event.pause)
			chaos.apply(event)
		}
		chaos.revive()
		site.net.SetFaults(network.Faults{})
		found = errors.Join(site.settle(), loads[0].check(), loads[1].check(), owners(), site.checkLog(0), site.checkLog(1))
	})
	return found
}

// TestRandomSchedules combines crashes, process pauses, partitions, lost messages,
// planned stops and log faults. SCHEDULES=n runs n schedules.
func TestRandomSchedules(t *testing.T) {
	count := defaultSchedules
	if given, err := strconv.Atoi(os.Getenv(schedulesVariable)); err == nil {
		count = given
	}
	for seed := range count {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			if err := runSchedule(t, seed, variant{}); err != nil {
				t.Errorf("%v\n%v", err, schedules.Example(seed))
			}
		})
	}
}
