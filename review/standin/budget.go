package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"stepseam.example/stepseam/internal/emulator/store"
)

const (
	budgetNodes    = 5
	budgetPrograms = 16
	// loadPrograms run one after the other beside those that are checked, so that nodes own the
	// partitions of the ledger as they do under load.
	loadPrograms = 24
	// budgetTokens is the budget of a program, turnTokens the most of one turn, and eventTokens
	// the tokens of an event. Each turn uses all that it may.
	budgetTokens = 4600
	turnTokens   = 575
	eventTokens  = 25
	warmUp       = 6 * time.Second
	outage       = 4500 * time.Millisecond
	// killAfter is how long after the outage began the processes are killed.
	killAfter = 1500 * time.Millisecond
	// rest is how long the programs rest; less than retainS.
	rest = 40 * time.Second
	// maxTurns bounds the turns of a program after the last kill.
	maxTurns = 4
)

// program is what a client has got for its program.
type program struct {
	site   *site
	number int
	name   string
	// received counts the events of all attempts.
	received int
	// turns counts the attempts, whole the turns that were answered whole.
	turns, whole int
	// spent is set once the client was told that the budget is spent.
	spent bool
}

// The client attempts of a turn: each time it goes out it has two, and it goes out three times at
// most.
const (
	triesOnce = 2
	triesMost = 6
)

// run runs one turn until it is answered whole or the budget is spent. It reports whether the
// program may go on.
func (p *program) run(tries int) bool {
	for range tries {
		p.turns++
		one := attempt{
			id: fmt.Sprintf("%s-%d", p.name, p.turns), input: "input of a turn", program: p.name, lastEvent: -1, timeout: turnTimeout,
			budget: budgetTokens, maxTokens: turnTokens,
		}
		got := p.site.send(p.site.nodes[(p.number+p.turns)%budgetNodes], one, func(int) { p.received++ })
		switch {
		case got.status == http.StatusPaymentRequired:
			p.spent = true
			return false
		case got.status == http.StatusOK && got.whole:
			p.whole++
			return true
		}
		time.Sleep(max(got.retryAfter, 250*time.Millisecond))
	}
	return false
}

// load runs programs of three turns until stop is set.
func (s *site) load(number int, stop *atomic.Bool) {
	for count := 0; !stop.Load(); count++ {
		one := &program{site: s, number: number, name: fmt.Sprintf("load-%d-%d", number, count)}
		for turn := 0; turn < 3 && one.run(triesMost); turn++ {
			continue
		}
	}
}

// killAll kills the processes of all nodes at once and starts them again.
func (s *site) killAll() {
	s.note("SIGKILL  all nodes")
	var ended sync.WaitGroup
	for _, one := range s.nodes {
		ended.Go(one.kill)
	}
	ended.Wait()
	time.Sleep(restartDelay)
	for _, one := range s.nodes {
		one.start()
	}
	for _, one := range s.nodes {
		if !one.awaitReady(10 * time.Second) {
			s.note("%s is not ready", one.name)
		}
	}
}

func forAll(programs []*program, act func(*program)) {
	var wait sync.WaitGroup
	for _, one := range programs {
		wait.Go(func() { act(one) })
	}
	wait.Wait()
}

// playBudget runs a first turn of each program while the store is silent, and kills all nodes before
// it is back. The programs rest, and run as many turns as their budgets hold. Then all nodes are
// killed once more, and the programs go on until they are told that their budgets are spent.
func playBudget(recordFile string, trouble bool) {
	const memoryMiB = 244
	s := newSite(recordFile, memoryMiB)
	publishConfiguration(s.log, strings.ReplaceAll(turnsConfiguration, `"resumable":true`, `"resumable":false`))
	for number := range 12 {
		s.startReplica(number, profile{service: "huvo11a", slots: 16, events: turnTokens / eventTokens, gap: 12 * time.Millisecond})
	}
	s.startNodes(budgetNodes)

	var stop atomic.Bool
	var loads sync.WaitGroup
	for number := range loadPrograms {
		loads.Go(func() { s.load(number, &stop) })
	}
	time.Sleep(warmUp)
	var programs []*program
	for number := range budgetPrograms {
		programs = append(programs, &program{site: s, number: number, name: fmt.Sprintf("3fa8%02d", number)})
	}
	if trouble {
		s.note("store    silent")
		s.log.Fail(store.Fault{Silent: true})
		time.AfterFunc(outage, func() {
			s.log.Fail(store.Fault{})
			s.note("store    back")
		})
	}
	var killed sync.WaitGroup
	killed.Go(func() {
		time.Sleep(killAfter)
		if trouble {
			s.killAll()
		}
	})
	forAll(programs, func(p *program) { p.run(triesOnce) })
	killed.Wait()
	s.note("programs rest")
	time.Sleep(rest)
	forAll(programs, func(p *program) {
		for turn := 0; turn < budgetTokens/turnTokens && p.run(triesMost); turn++ {
			continue
		}
	})
	time.Sleep(time.Second)
	if trouble {
		s.killAll()
	}
	forAll(programs, func(p *program) {
		for turn := 0; turn < maxTurns && !p.spent && p.run(triesMost); turn++ {
			continue
		}
	})
	stop.Store(true)
	loads.Wait()
	broken, received := 0, 0
	for _, one := range programs {
		tokens := one.received * eventTokens
		received += tokens
		line := fmt.Sprintf("program %s: %d tokens in %d turns and %d attempts, bound %d, told that the budget is spent: %t",
			one.name, tokens, one.whole, one.turns, budgetTokens+turnTokens, one.spent)
		s.note("%s", line)
		fmt.Println(line)
		if tokens > budgetTokens+turnTokens {
			broken++
		}
	}
	fmt.Printf("%d of %d programs got more tokens than their budget and one turn\n", broken, budgetPrograms)
	switch {
	case broken > 0:
		s.end(exitBroken)
	case received == 0:
		s.fail("no turn was served")
	}
	s.end(exitHeld)
}
