package limits

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"stepseam.example/stepseam/internal/membership"
)

// faultSchedules is the number of schedules of overlapping faults. A longer search:
// go test ./internal/limits -run OverlappingFaults -args -fault-schedules=300
var faultSchedules = flag.Uint64("fault-schedules", 24, "schedules of overlapping faults")

// Several faults at once, on a site that learns of each of them late: takeovers, pauses,
// restarts and partitions overlap in one window, more often than an allocator's reserve
// covers. The bound must hold all the same.
func TestWindowBoundHoldsUnderOverlappingFaults(t *testing.T) {
	for seed := range *faultSchedules {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim, worst := simulate(t, seed, 45*time.Second, constantDemand(aboveLimit), overlappingFaults)
			checkWindows(t, sim, worst)
		})
	}
}

// concurrentFaults is the number of faults that are in progress at a time.
const concurrentFaults = 3

// overlappingFaults injects random faults. A node is subject to one of them at a time,
// except that a partition may include any nodes.
func overlappingFaults(ctx context.Context, s *site) {
	ctx, cancel := context.WithTimeout(ctx, 32*time.Second)
	defer cancel()
	injected := []func(context.Context, *site){crash, crash, powerLoss, processPause, processPause, massCrash, plannedRestart, partition}
	var workers sync.WaitGroup
	for range concurrentFaults {
		workers.Go(func() {
			for ctx.Err() == nil {
				s.pause(0, 2*time.Second)
				injected[s.randomBelow(len(injected))](ctx, s)
			}
		})
	}
	workers.Wait()
}

// randomBelow returns a random number from 0 to limit-1.
func (s *site) randomBelow(limit int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.IntN(limit)
}

// claim reserves up to count running nodes for a fault, but leaves one of the site running.
func (s *site) claim(count int) []int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var free []int
	for _, number := range s.random.Perm(len(s.nodes)) {
		if n := s.nodes[number]; !n.claimed && n.nodeState == running {
			free = append(free, number)
		}
	}
	free = free[:min(count, max(len(free)-1, 0))]
	for _, number := range free {
		s.nodes[number].claimed = true
	}
	return free
}

func (s *site) release(numbers []int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, number := range numbers {
		s.nodes[number].claimed = false
	}
}

// noticeLoss lets each node learn of the loss of some nodes after 1 to 3 s.
func (s *site) noticeLoss(numbers []int) { s.notice(numbers, time.Second, 3*time.Second) }

// noticeStart lets each node learn of started nodes within half a second.
func (s *site) noticeStart(numbers []int) {
	s.notice(numbers, 50*time.Millisecond, 500*time.Millisecond)
}

// notice lets each node learn the state of some nodes after a random time.
func (s *site) notice(numbers []int, minimum, maximum time.Duration) {
	for _, observer := range s.nodes {
		s.observeAfter(observer, numbers, minimum, maximum)
	}
}

// observeAfter updates one node's view of some nodes after a random time.
func (s *site) observeAfter(observer *simulatedNode, numbers []int, minimum, maximum time.Duration) {
	s.mutex.Lock()
	delay := minimum + time.Duration(s.random.Int64N(int64(maximum-minimum)))
	s.mutex.Unlock()
	go func() {
		select {
		case <-time.After(delay):
			s.observe(observer, numbers)
		case <-s.ended:
		}
	}()
}

// observe updates one node's view of some nodes to their current state.
func (s *site) observe(observer *simulatedNode, numbers []int) {
	observer.viewMutex.Lock()
	defer observer.viewMutex.Unlock()
	s.mutex.Lock()
	if observer.nodeState != running {
		s.mutex.Unlock()
		return
	}
	if observer.known == nil {
		observer.known, numbers = map[int]membership.Member{}, s.allNumbers()
	}
	for _, number := range numbers {
		other := s.nodes[number]
		delete(observer.known, number)
		if other == observer || other.nodeState == running && other.side == observer.side {
			member := membership.Member{Node: other.node, Status: membership.Alive}
			if other.leaving {
				member.Status = membership.Leaving
			}
			observer.known[number] = member
		}
	}
	view := membership.View{}
	for number := range s.nodes {
		if member, known := observer.known[number]; known {
			view.Members = append(view.Members, member)
		}
	}
	service := observer.service
	s.mutex.Unlock()
	service.SetView(view)
}

// stop ends the processes of some nodes. Their machines refuse connections, or do not
// respond.
func (s *site) stop(numbers []int, machine nodeState) {
	for _, number := range numbers {
		s.nodes[number].end()
		s.set(number, machine)
	}
}

// restart starts nodes whose processes have ended. A partition stays in force for them.
func (s *site) restart(ctx context.Context, numbers []int) {
	for _, number := range numbers {
		n := s.nodes[number]
		n.viewMutex.Lock()
		n.known = nil
		s.start(ctx, number)
		n.viewMutex.Unlock()
	}
	s.noticeStart(numbers)
	s.release(numbers)
}

func crash(ctx context.Context, s *site) {
	numbers := s.claim(1)
	s.stop(numbers, killed)
	s.noticeLoss(numbers)
	s.pause(200*time.Millisecond, 4*time.Second)
	s.restart(ctx, numbers)
}

func powerLoss(ctx context.Context, s *site) {
	numbers := s.claim(1 + s.randomBelow(2))
	s.stop(numbers, paused)
	s.noticeLoss(numbers)
	s.pause(500*time.Millisecond, 5*time.Second)
	s.restart(ctx, numbers)
}

func massCrash(ctx context.Context, s *site) {
	numbers := s.claim(len(s.nodes) - 1)
	s.stop(numbers, killed)
	s.noticeLoss(numbers)
	s.pause(300*time.Millisecond, 2*time.Second)
	s.restart(ctx, numbers)
	s.pause(2*time.Second, 6*time.Second)
}

func processPause(_ context.Context, s *site) {
	numbers := s.claim(1 + s.randomBelow(2))
	for _, number := range numbers {
		s.set(number, paused)
	}
	s.noticeLoss(numbers)
	s.pause(300*time.Millisecond, 6*time.Second)
	for _, number := range numbers {
		s.set(number, running)
	}
	s.noticeStart(numbers)
	for _, number := range numbers {
		s.synchronizeLater(s.nodes[number])
	}
	s.release(numbers)
}

// synchronizeLater lets a resumed node learn what it has missed, as membership does.
func (s *site) synchronizeLater(n *simulatedNode) {
	s.observeAfter(n, s.allNumbers(), 50*time.Millisecond, 500*time.Millisecond)
}

func (s *site) allNumbers() []int {
	numbers := make([]int, len(s.nodes))
	for number := range numbers {
		numbers[number] = number
	}
	return numbers
}

func plannedRestart(ctx context.Context, s *site) {
	for range 1 + s.randomBelow(3) {
		numbers := s.claim(1)
		s.setLeaving(numbers)
		s.noticeStart(numbers)
		s.pause(500*time.Millisecond, 1500*time.Millisecond)
		for _, number := range numbers {
			s.nodes[number].service.Close(ctx)
		}
		s.stop(numbers, killed)
		s.noticeStart(numbers)
		s.pause(200*time.Millisecond, 600*time.Millisecond)
		s.restart(ctx, numbers)
	}
}

func (s *site) setLeaving(numbers []int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, number := range numbers {
		s.nodes[number].leaving = true
		s.logEvent("n%d is leaving", number)
	}
}

// partition splits the site into two or three sides, which learn of it after 1 to 3 s,
// later, or not before it heals. Connections to other sides hang or are refused.
func partition(_ context.Context, s *site) {
	s.mutex.Lock()
	if s.partitioned {
		s.mutex.Unlock()
		return
	}
	s.partitioned, s.refuses = true, s.random.IntN(3) == 0
	sides, late := 2+s.random.IntN(2), s.random.IntN(2) == 0
	for _, n := range s.nodes {
		n.side = s.random.IntN(sides)
	}
	s.logEvent("partition into %d sides, refuses %t, detected late %t", sides, s.refuses, late)
	s.mutex.Unlock()
	everybody := s.allNumbers()
	if late {
		s.notice(everybody, 3*time.Second, 24*time.Second)
	} else {
		s.noticeLoss(everybody)
	}
	s.pause(time.Second, 24*time.Second)
	s.mutex.Lock()
	for _, n := range s.nodes {
		n.side = 0
	}
	s.partitioned = false
	s.logEvent("partition heals")
	s.mutex.Unlock()
	s.noticeStart(everybody)
}
