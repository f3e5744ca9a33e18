package coldstart

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
)

const (
	// missedFor is how long a node that is gone without a word counts as one that may live
	// behind a cut and send.
	missedFor = time.Minute
	// settled is how long a node must have been among the senders of a replica before it
	// sends: those before it may have used what the bound allows in that time.
	settled = sendPeriod
)

// roster tells which nodes send to a cold replica: those of the highest hash together with
// it (rendezvous hashing), as many as its bound is dealt out to. It is not safe for
// concurrent use.
//
// A node that starts behind a cut knows of the other side only by the seeds there. Where all
// seeds are on its own side it takes that for all of the site: the bound may then be exceeded
// by as much as such nodes send.
type roster struct {
	self identity.NodeName
	// views holds the members that lived lately, the newest last; all that were in force
	// within settled are kept, and the one before them.
	views []rosterView
	// missed holds the members that died without a word, and since when.
	missed map[identity.NodeName]time.Duration
	// starting holds the seeds that were not heard of yet.
	starting starting
	// chosen remembers, by replica, whether this node is a sender by all views; it holds
	// until chosenUntil, when a view is old enough to be forgotten.
	chosen      map[string]bool
	chosenUntil time.Duration
}

// rosterView is the members from a time on.
type rosterView struct {
	at   time.Duration
	live []identity.NodeName
	// known counts live and those that may live behind a cut.
	known int
}

func newRoster(self identity.NodeName) *roster {
	return &roster{self: self, missed: map[identity.NodeName]time.Duration{}, chosen: map[string]bool{}}
}

// setView takes the members that this node sees now.
func (r *roster) setView(view membership.View, now time.Duration) {
	reachable := lo.Filter(view.Members, func(member membership.Member, _ int) bool { return member.Reachable() })
	live := lo.Map(reachable, func(member membership.Member, _ int) identity.NodeName { return member.Node.Name })
	r.noteMissed(view, now)
	r.starting.hear(view)
	r.starting.settle(now)
	clear(r.chosen)
	r.chosenUntil = 0
	if last := len(r.views) - 1; last >= 0 && slices.Equal(r.views[last].live, live) {
		r.views[last].known = r.known(live)
		return
	}
	r.views = append(r.views, rosterView{at: now, live: live, known: r.known(live)})
	r.forget(now)
}

// known returns how many nodes may send, of which this one sees those that live.
func (r *roster) known(live []identity.NodeName) int {
	return max(len(live)+len(r.missed), r.starting.known(len(live)))
}

// noteMissed remembers members that have gone without saying that they leave.
func (r *roster) noteMissed(view membership.View, now time.Duration) {
	if len(r.views) > 0 {
		for _, name := range r.views[len(r.views)-1].live {
			if _, known := r.missed[name]; !known {
				r.missed[name] = now
			}
		}
	}
	for _, member := range view.Members {
		delete(r.missed, member.Node.Name) // it lives, or leaves with a word
	}
	for name, since := range r.missed {
		if now-since > missedFor {
			delete(r.missed, name)
		}
	}
}

// forget drops views that were replaced longer ago than settled.
func (r *roster) forget(now time.Duration) {
	for len(r.views) > 1 && now-r.views[1].at >= settled {
		r.views = r.views[1:]
	}
}

// share returns how a replica's bound is dealt out now, and whether this node is among the
// senders and has been for long enough.
func (r *roster) share(instance string, perSecond float64, now time.Duration) (share, bool) {
	if len(r.views) == 0 {
		return shareOut(perSecond, 1, 1), true // it works alone
	}
	if now >= r.chosenUntil {
		r.forget(now)
		if newest := &r.views[len(r.views)-1]; r.starting.settle(now) {
			newest.known = r.known(newest.live)
		}
		clear(r.chosen)
		r.chosenUntil = r.nextForgotten(now)
	}
	newest := r.views[len(r.views)-1]
	dealt := shareOut(perSecond, len(newest.live), newest.known)
	sends, known := r.chosen[instance]
	if !known {
		sends = r.sendsInAll(instance, perSecond, now)
		r.chosen[instance] = sends
	}
	return dealt, sends
}

// nextForgotten is when the oldest view will have been replaced for long enough, or this
// node will have had a view for long enough.
func (r *roster) nextForgotten(now time.Duration) time.Duration {
	if len(r.views) > 1 {
		return r.views[1].at + settled
	}
	if until := r.views[0].at + settled; until > now {
		return until
	}
	if len(r.starting.unheard) > 0 {
		return max(r.starting.until, now)
	}
	return now + missedFor
}

// sendsInAll tells whether this node is a sender by all views that were in force lately.
func (r *roster) sendsInAll(instance string, perSecond float64, now time.Duration) bool {
	if now-r.views[0].at < settled {
		return false // what was before is not known
	}
	return lo.EveryBy(r.views, func(view rosterView) bool {
		dealt := shareOut(perSecond, len(view.live), view.known)
		return r.rank(instance, view.live) < dealt.senders
	})
}

// rank is how many nodes go before this one for a replica.
func (r *roster) rank(instance string, live []identity.NodeName) int {
	own, higher := membership.Score(instance, r.self), 0
	for _, name := range live {
		if name != r.self && membership.Score(instance, name) > own {
			higher++
		}
	}
	return higher
}
