package distribution

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestShouldRead(t *testing.T) {
	const second = time.Second
	reader := Role{Reads: true}
	for _, c := range []struct {
		name       string
		conditions ReadConditions
		reads      bool
	}{
		{"a node without peers", ReadConditions{Alone: true}, true},
		{"a starting seed", ReadConditions{Seed: true, Members: 1}, true},
		{"a settled seed", ReadConditions{Now: seedStartupTime, Seed: true, Known: true, Members: 900, Role: Role{Tier: 2}}, false},
		{"a starting node with live seeds", ReadConditions{Now: 2 * second, Members: 30, SeedsLive: true}, false},
		{"a starting node without live seeds", ReadConditions{Now: second, Members: 5}, true},
		{"one of many starting nodes without live seeds", ReadConditions{Now: second, Members: 900, Random: 0.5}, false},
		{"a volunteer among them", ReadConditions{Now: second, Members: 900, Random: 0.001}, true},
		{"a node whose site appears small since a moment ago", ReadConditions{Now: second, Known: true, Members: 9, Role: Role{Reads: true, All: true}}, false},
		{"a node that became a reader a moment ago", ReadConditions{Now: second, Known: true, Members: 9, Role: reader}, false},
		{"a node with a fresh source", ReadConditions{Now: 30 * second, Known: true, Members: 900, Age: second, Role: Role{Tier: 2}}, false},
		{"a zone head without readers", ReadConditions{Now: 30 * second, Known: true, Members: 900, Age: 1600 * time.Millisecond, Role: Role{Tier: 1}}, true},
		{"a lower node with a very old topic", ReadConditions{Now: 30 * second, Known: true, Members: 900, Age: 9 * second, Role: Role{Tier: 2}, Random: 0.5}, false},
		{"a volunteer among those", ReadConditions{Now: 30 * second, Known: true, Members: 900, Age: 9 * second, Role: Role{Tier: 2}, Random: 0.001}, true},
		{"a lower node with a slightly old topic", ReadConditions{Now: 30 * second, Known: true, Members: 900, Age: 1600 * time.Millisecond, Role: Role{Tier: 2}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal((&ReadDecider{}).ShouldRead(c.conditions), c.reads)
		})
	}
}

func TestReadersStartOnceMembersAreStable(t *testing.T) {
	is := is.New(t)
	decider := &ReadDecider{}
	at := func(now time.Duration, members int) bool {
		return decider.ShouldRead(ReadConditions{Now: now, Known: true, Members: members, Role: Role{Reads: true}})
	}
	is.True(!at(time.Second, 10))
	is.True(!at(2*time.Second, 300)) // it learns of more members
	is.True(!at(3*time.Second, 310))
	is.True(at(4*time.Second, 310))
	is.True(at(5*time.Second, 900)) // a reader keeps reading when it learns of more members
}

func TestOrphansReadForInterimTime(t *testing.T) {
	is := is.New(t)
	decider := &ReadDecider{}
	is.True(decider.ShouldRead(ReadConditions{Now: 30 * time.Second, Known: true, Age: 2 * time.Second, Role: Role{Tier: 1}}))
	is.True(decider.ShouldRead(ReadConditions{Now: 31 * time.Second, Known: true, Role: Role{Tier: 1}}))
	is.True(!decider.ShouldRead(ReadConditions{Now: 34 * time.Second, Known: true, Role: Role{Tier: 1}}))
}

func TestBudgetLimitsSnapshots(t *testing.T) {
	is := is.New(t)
	allowed := newBudget(1000)
	now := time.Unix(0, 0)
	is.True(allowed.take(1500, now))
	is.True(!allowed.take(1500, now))
	is.True(!allowed.take(1500, now.Add(400*time.Millisecond)))
	is.True(allowed.take(1500, now.Add(600*time.Millisecond)))
}
