package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	resumePrograms = 6
	resumeEvents   = 11
	resumeGap      = 60 * time.Millisecond
	// lastBeforeKill is the event that each client has when the node is killed, at the earliest.
	lastBeforeKill = 4
	// settledAfter is longer than three timeouts of the route: from then on a node that has
	// known one version of the replicas alone lets every stream go on.
	settledAfter = 12 * time.Second
)

// turn sends a turn until it is answered whole or its time is over, as a client does: after a
// broken connection it resumes the stream, after a refusal it waits for Retry-After. It returns
// the ID of the attempt that was answered whole, and the data of all events.
func (s *site) turn(program int, name, previous, input string, targets []*node, onEvent func(number int)) (id string, events []string) {
	deadline := time.Now().Add(turnTimeout)
	last, resumes := -1, ""
	for number := 0; ; number++ {
		one := attempt{
			id: fmt.Sprintf("%s-%d-%d", name, program, number), previous: previous, input: input, program: fmt.Sprintf("3fa8%02d", program),
			lastEvent: last, resumes: resumes, timeout: time.Until(deadline), budget: budgetTokens, maxTokens: turnTokens,
		}
		if one.timeout <= 0 {
			return "", nil
		}
		got := s.send(targets[min(number, len(targets)-1)], one, onEvent)
		events, last = append(events, got.events...), got.lastEvent
		if resumes == "" && len(events) > 0 {
			resumes = one.id
		}
		if got.status == http.StatusOK && got.whole {
			return one.id, events
		}
		time.Sleep(max(got.retryAfter, 50*time.Millisecond))
	}
}

// runsWith returns the runs of the requests whose IDs begin with prefix.
func (s *site) runsWith(prefix string) []run {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var found []run
	for _, one := range s.runs {
		if strings.HasPrefix(one.id, prefix) {
			found = append(found, one)
		}
	}
	return found
}

// twoTurns runs a program of two turns. reached is called once the client has the event
// lastBeforeKill of the first turn, or has given it up. The second turn begins after killed. It
// returns how often the second turn ran, and what was wrong with it.
func (s *site) twoTurns(program int, reached func(), killed *sync.WaitGroup) (ran int, wrong []string) {
	var once sync.Once
	first, second := fmt.Sprintf("first input of program %d. ", program), fmt.Sprintf("second input of program %d.", program)
	targets := []*node{s.nodes[0], s.nodes[1+program%2]}
	turn, events := s.turn(program, "turn1", "", first, targets, func(number int) {
		if number == lastBeforeKill {
			once.Do(reached)
		}
	})
	once.Do(reached)
	killed.Wait()
	if turn == "" || len(events) != resumeEvents {
		s.note("program %d: first turn not served: %d events", program, len(events))
		return 0, nil
	}
	expected := first + strings.Join(events, "\n") + "\n" + second
	s.turn(program, "turn2", turn, second, []*node{s.nodes[3]}, func(int) {})
	for _, one := range s.runsWith(fmt.Sprintf("turn2-%d-", program)) {
		ran++
		if one.body != expected {
			wrong = append(wrong, fmt.Sprintf("UNASKED: %s goes on from %s and ran with the body %q, not %q", one.id, turn, one.body, expected))
		}
	}
	return ran, wrong
}

// playResume kills a node while it forwards first turns, whose clients resume them at another
// node. The programs then go on with a second turn. A replica must get the second turn behind the
// whole first one.
func playResume(recordFile string, trouble bool) {
	const memoryMiB = 314
	s := newSite(recordFile, memoryMiB)
	publishConfiguration(s.log, turnsConfiguration)
	for number := range 6 {
		s.startReplica(number, profile{service: "huvo11a", slots: 12, events: resumeEvents, gap: resumeGap})
	}
	s.startNodes(4)
	time.Sleep(settledAfter)

	var reached, killed, programs sync.WaitGroup
	reached.Add(resumePrograms)
	killed.Add(1)
	ran, wrong := make([]int, resumePrograms), make([][]string, resumePrograms)
	for program := range resumePrograms {
		programs.Go(func() { ran[program], wrong[program] = s.twoTurns(program, reached.Done, &killed) })
	}
	reached.Wait()
	if trouble {
		s.note("SIGKILL  %s", s.nodes[0].name)
		s.nodes[0].kill()
	}
	killed.Done()
	programs.Wait()
	total, broken := 0, 0
	for program := range resumePrograms {
		total += ran[program]
		broken += len(wrong[program])
		for _, line := range wrong[program] {
			s.note("%s", line)
			fmt.Println(line)
		}
	}
	fmt.Printf("%d second turns ran, %d of them with a wrong body\n", total, broken)
	switch {
	case broken > 0:
		s.end(exitBroken)
	case total == 0:
		s.fail("no second turn ran")
	}
	s.end(exitHeld)
}
