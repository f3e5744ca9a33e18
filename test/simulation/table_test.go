package simulation

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/controller/tables"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/table"
)

const (
	pointTable  = "an accepted table is in force everywhere and never reverts"
	pointRaces  = "one of two racing tables wins and both operators get their true result"
	inForceTime = 5 * time.Second
)

// publication is one operator's attempt to publish and its result.
type publication struct {
	id     string
	base   table.Version
	author string
	entry  table.Entry
	err    error
}

// operators publish tables based on whatever version their node shows, two at a time,
// until ctx ends.
func (s *site) operators(ctx context.Context) []publication {
	var mutex sync.Mutex
	var made []publication
	var group sync.WaitGroup
	for number := range 2 {
		random := rand.New(rand.NewPCG(s.plan.seed, uint64(number)))
		group.Go(func() {
			for round := 0; ctx.Err() == nil; round++ {
				one := s.publishOnce(ctx, random, fmt.Sprintf("operator-%d", number), round)
				mutex.Lock()
				made = append(made, one)
				mutex.Unlock()
				time.Sleep(time.Duration(random.Int64N(int64(2 * time.Second))))
			}
		})
	}
	group.Wait()
	return made
}

func (s *site) publishOnce(ctx context.Context, random *rand.Rand, author string, round int) publication {
	one := publication{id: fmt.Sprintf("%s-%d", author, round), author: author, err: errConnection}
	at := s.incarnation(random.IntN(s.plan.nodes))
	if at == nil {
		return one
	}
	shown := at.Node.Board().Table.Load()
	if shown == nil {
		return one
	}
	next := s.plan.firstTable()
	next.Base, one.base = shown.Version, shown.Version
	class := next.Classes[className]
	class.MaxCalls = 100 + random.IntN(900)
	next.Classes[className] = class
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	entry, err := at.Node.Tables().Publish(ctx, tables.Publication{
		ID: one.id, Base: next.Base, CSV: table.Format(next), Author: author, Note: "race",
	})
	if gateErr := at.Endpoint.Gate(context.WithoutCancel(ctx)); gateErr == nil {
		one.entry, one.err = entry, err
	}
	return one
}

// watchVersions polls the version in force on every node until ctx ends and returns each
// decrease.
func (s *site) watchVersions(ctx context.Context) []violation {
	var violations []violation
	last := map[identity.Reference]table.Version{}
	for ctx.Err() == nil {
		for index := range s.plan.nodes {
			alive := s.incarnation(index)
			if alive == nil {
				continue
			}
			shown := alive.Node.Board().Table.Load()
			if shown == nil {
				continue
			}
			self := alive.Node.Self().Reference()
			if shown.Version < last[self] {
				violations = append(violations, violation{pointTable, fmt.Sprintf("%s went from version %d to %d", self.Name, last[self], shown.Version)})
			}
			last[self] = shown.Version
		}
		time.Sleep(20 * time.Millisecond)
	}
	return violations
}

// checkTable compares the operators' results with the log, and the versions in force with
// the newest accepted one.
func (s *site) checkTable(made []publication) []violation {
	truth := table.NewVersionLog()
	accepted := map[string]table.Entry{}
	for _, record := range s.Log.Records(table.Stream) {
		_ = truth.Apply(record) // damaged records and losers of a race are in the history too
	}
	for _, entry := range truth.History() {
		if entry.Status == table.Accepted {
			accepted[entry.ID] = entry
		}
	}
	var violations []violation
	for _, one := range made {
		entry, won := accepted[one.id]
		var lost *tables.ConflictError
		switch {
		case one.err == nil && (!won || entry.Version != one.entry.Version):
			violations = append(violations, violation{pointRaces, fmt.Sprintf("%s was reported as version %d but the log contains %v", one.id, one.entry.Version, entry)})
		case errors.As(one.err, &lost) && won:
			violations = append(violations, violation{pointRaces, fmt.Sprintf("%s was reported as lost but is version %d", one.id, entry.Version)})
		case errors.Is(one.err, tables.ErrNotPublished) && won:
			violations = append(violations, violation{pointRaces, fmt.Sprintf("%s was reported as not published but is version %d", one.id, entry.Version)})
		}
	}
	for index := range s.plan.nodes {
		shown := s.incarnation(index).Node.Board().Table.Load()
		if shown == nil || shown.Version != truth.Version() {
			violations = append(violations, violation{pointTable, fmt.Sprintf("%s after healing: in force %v, accepted %d", nodeName(index), shown, truth.Version())})
		}
	}
	return violations
}

// TestRacingOperators publishes concurrently from two operators under schedules of
// failures.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64Range(1, 1<<20).Draw(rt, "seed")
		schedule := schedules(killNode, freezeNode, cutOneWay, cutZoneOff, logOutage, logSlow, logLosesAnswers,
			logCutFromNode, lossyNetwork, duplicatingNetwork, drainNode).Draw(rt, "schedule")
		var violations []violation
		synctest.Test(t, func(t *testing.T) {
			site := newSite(t, quito(seed))
			defer site.close()
			ctx, stop := context.WithCancel(t.Context())
			var made []publication
			var group sync.WaitGroup
			group.Go(func() { made = site.operators(ctx) })
			group.Go(func() { violations = site.watchVersions(ctx) })
			site.carryOut(schedule)
			site.healAll()
			time.Sleep(inForceTime)
			stop()
			group.Wait()
			time.Sleep(inForceTime)
			violations = append(violations, site.checkTable(made)...)
			t.Logf("%d publications", len(made))
		})
		for _, found := range violations {
			rt.Errorf("%s", found)
		}
	})
}
