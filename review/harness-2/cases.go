package main

import (
	"errors"
	"net/http"
	"os"
	"time"
)

const (
	// defaultHistory is how long the store keeps records: "20 s of history" on the deployment's sheet. The
	// variable HISTORY replaces it.
	defaultHistory = 20 * time.Second
	// historyMargin is how much longer than the history of the store a program lasts.
	historyMargin = 4 * time.Second
	// longestRest is how long a program pauses between two turns at most, less than the retainS of its
	// route (60 s).
	longestRest = 40 * time.Second
	// rollTime is how long the restart of all nodes takes, at most.
	rollTime = 18 * time.Second
	// turnTime is how long a client tries one turn.
	turnTime = 10 * time.Second
)

var scenarios = map[string]scenario{
	"lost":     {nodes: 4, run: lostTurn},
	"budget":   {nodes: 4, run: spentTwice},
	"mixed":    {nodes: 4, run: truncated},
	"order":    {nodes: 4, run: shortened},
	"large":    {nodes: 4, run: largeTurns},
	"versions": {nodes: 4, run: versioned},
	"twice":    {nodes: 4, run: runTwice},
}

// historyOf returns how long the store keeps records.
func historyOf(text string) (time.Duration, error) {
	if text == "" {
		return defaultHistory, nil
	}
	return time.ParseDuration(text)
}

// rollOver stops and starts all nodes in turn, as in a planned restart.
func (s *site) rollOver() error {
	for _, one := range s.nodes {
		s.terminate(one)
		if err := s.start(one); err != nil {
			return err
		}
		if err := s.awaitReady(one); err != nil {
			return err
		}
		time.Sleep(500 * time.Millisecond)
	}
	return nil
}

// outlast calls step after each pause of a program until it has lasted longer than the history of the
// store. All nodes are restarted within the last pause if there is to be trouble.
func (s *site) outlast(began time.Time, trouble bool, step func() error) error {
	until := began.Add(s.retain + historyMargin)
	for time.Until(until) > longestRest {
		time.Sleep(longestRest)
		if err := step(); err != nil {
			return err
		}
	}
	if trouble {
		time.Sleep(time.Until(until.Add(-rollTime)))
		if err := s.rollOver(); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(until))
	s.note("store: ledger%s, turns%s", s.store.describe("ledger", partitions), s.store.describe("turns", partitions))
	return nil
}

var errFirst = errors.New("a turn before the disruption was not answered")

// lostTurn lets a program make a turn, pause, and go on from that turn.
func lostTurn(s *site, trouble bool) (bool, error) {
	last := turn{program: newID(), session: "77d20b", input: "input.", budget: 100000, most: 50}
	began, answered := time.Now(), time.Time{}
	step := func() error {
		made, got := s.persist(s.nodes, last, time.Now().Add(turnTime))
		if got.status != http.StatusOK || !got.whole {
			return errFirst
		}
		last.previous, answered = made.id, time.Now()
		return nil
	}
	if err := step(); err != nil {
		return false, err
	}
	if err := s.outlast(began, trouble, step); err != nil {
		return false, err
	}
	asked := time.Since(answered)
	_, got := s.persist(s.nodes, last, time.Now().Add(turnTime))
	s.note("asked %.1f s after the end of the answer of turn %s; the route keeps turns for 60 s", asked.Seconds(), last.previous)
	return got.status == http.StatusNotFound || got.status == http.StatusGone, nil
}

// spentTwice lets a program spend its budget, pause, and go on.
func spentTwice(s *site, trouble bool) (bool, error) {
	const most, atOnce = 50, 16
	later := int((s.retain + historyMargin - time.Second) / longestRest)
	budget := most * (atOnce + later)
	tokens := 0
	program := turn{program: newID(), session: "77d20b", input: "input.", budget: budget, most: most}
	spend := func() (spent bool) {
		_, got := s.persist(s.nodes, program, time.Now().Add(turnTime))
		tokens += got.events * tokensPerEvent
		return got.status == http.StatusPaymentRequired
	}
	began := time.Now()
	for range atOnce {
		if spend() {
			return false, errFirst
		}
	}
	if err := s.outlast(began, trouble, func() error { spend(); return nil }); err != nil {
		return false, err
	}
	s.note("the program was handed %d tokens of a budget of %d, most of a turn %d", tokens, budget, most)
	for spent := false; !spent && tokens <= 2*budget; {
		spent = spend()
	}
	s.note("the program was handed %d tokens of a budget of %d, most of a turn %d", tokens, budget, most)
	return tokens > budget+most, nil
}

func init() {
	for name, one := range scenarios {
		if retain, err := historyOf(os.Getenv("HISTORY")); err == nil {
			one.retain = retain
		}
		scenarios[name] = one
	}
}
