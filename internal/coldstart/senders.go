package coldstart

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
)

const (
	// maxMissing bounds the nodes that became unreachable without leaving. Such a node counts
	// as possibly alive, and sending, on the other side of a network partition until it is
	// seen again or leaves, since a partition may last for any time.
	maxMissing = 4096
	// senderDelay is how long a node must have been among the senders of a replica before
	// it may send. The previous senders may have used up the rate limit during that time.
	senderDelay = sendPeriod
	// cacheTTL is how long cached results are used if nothing changes.
	cacheTTL = time.Minute
)

// senders selects the nodes that may send to a cold replica: the nodes that rank highest
// for the replica in rendezvous hashing, as many as the rate limit has quotas for. It is
// not safe for concurrent use.
//
// A node that starts during a network partition learns of the other side only from seeds
// it cannot reach. If all seeds are on its own side, it takes that side for the whole
// site, and the rate limit may be exceeded by the requests of such nodes.
type senders struct {
	self identity.NodeName
	// views holds recent membership views, newest last: all that were current within the
	// last senderDelay.
	views []memberView
	// missing holds the members that became unreachable without leaving, leaving those of
	// the newest view that are about to.
	missing, leaving map[identity.NodeName]bool
	// seeds tracks the seeds that have not appeared in a view yet.
	seeds seedTracker
	// senderCache caches, per replica, whether this node is a sender in all views. It is
	// valid until senderCacheUntil, when the next view expires.
	senderCache      map[string]bool
	senderCacheUntil time.Duration
}

// memberView is a membership view, current from a point in time.
type memberView struct {
	at time.Duration
	// live are the members, with those that are leaving, since they send until they are gone.
	live []identity.NodeName
	// possible is the number of live nodes and of those that may be alive on the other
	// side of a partition.
	possible int
}

func newSenders(self identity.NodeName) *senders {
	return &senders{self: self, missing: map[identity.NodeName]bool{}, leaving: map[identity.NodeName]bool{}, senderCache: map[string]bool{}}
}

// setView applies a new membership view.
func (s *senders) setView(view membership.View, now time.Duration) {
	live := lo.Map(view.Members, func(member membership.Member, _ int) identity.NodeName { return member.Node.Name })
	s.recordMissing(view)
	s.recordLeaving(view)
	s.seeds.setView(view)
	clear(s.senderCache)
	s.senderCacheUntil = 0
	if last := len(s.views) - 1; last >= 0 && slices.Equal(s.views[last].live, live) {
		s.views[last].possible = s.possibleNodes(live)
		return
	}
	s.views = append(s.views, memberView{at: now, live: live, possible: s.possibleNodes(live)})
	s.dropOldViews(now)
}

// possibleNodes returns the number of nodes that may be sending: the live ones and those
// that may be alive on the other side of a partition.
func (s *senders) possibleNodes(live []identity.NodeName) int {
	return max(len(live)+len(s.missing), s.seeds.estimateNodes(len(live)))
}

// recordMissing records the members that disappeared from the view without leaving.
func (s *senders) recordMissing(view membership.View) {
	for _, member := range view.Members {
		delete(s.missing, member.Node.Name) // alive, or leaving
	}
	if len(s.views) == 0 {
		return
	}
	present := lo.SliceToMap(view.Members, func(member membership.Member) (identity.NodeName, bool) { return member.Node.Name, true })
	for _, name := range s.views[len(s.views)-1].live {
		if !present[name] && !s.leaving[name] && len(s.missing) < maxMissing {
			s.missing[name] = true
		}
	}
}

func (s *senders) recordLeaving(view membership.View) {
	clear(s.leaving)
	for _, member := range view.Members {
		if member.Status == membership.Leaving {
			s.leaving[member.Node.Name] = true
		}
	}
}

// dropOldViews drops the views that were replaced at least senderDelay ago.
func (s *senders) dropOldViews(now time.Duration) {
	for len(s.views) > 1 && now-s.views[1].at >= senderDelay {
		s.views = s.views[1:]
	}
}

// quota returns the current quota for a replica and reports whether this node has been
// among its senders for long enough.
func (s *senders) quota(instance string, perSecond float64, now time.Duration) (quota, bool) {
	if len(s.views) == 0 {
		return divideLimit(perSecond, 1, 1), true // no membership: a single node
	}
	if now >= s.senderCacheUntil {
		s.dropOldViews(now)
		clear(s.senderCache)
		s.senderCacheUntil = s.nextExpiry(now)
	}
	newest := s.views[len(s.views)-1]
	quota := divideLimit(perSecond, len(newest.live), newest.possible)
	isSender, found := s.senderCache[instance]
	if !found {
		isSender = s.isSenderInAllViews(instance, perSecond, now)
		s.senderCache[instance] = isSender
	}
	return quota, isSender
}

// nextExpiry returns the next time at which the result of isSenderInAllViews can change
// without a new view.
func (s *senders) nextExpiry(now time.Duration) time.Duration {
	if len(s.views) > 1 {
		return s.views[1].at + senderDelay
	}
	if until := s.views[0].at + senderDelay; until > now {
		return until
	}
	return now + cacheTTL
}

// isSenderInAllViews reports whether this node is a sender in all recent views.
func (s *senders) isSenderInAllViews(instance string, perSecond float64, now time.Duration) bool {
	if now-s.views[0].at < senderDelay {
		return false // the views before the first one are unknown
	}
	return lo.EveryBy(s.views, func(view memberView) bool {
		quota := divideLimit(perSecond, len(view.live), view.possible)
		return s.rank(instance, view.live) < quota.senders
	})
}

// rank returns the number of nodes that rank before this one for a replica.
func (s *senders) rank(instance string, live []identity.NodeName) int {
	own, higher := membership.Score(instance, s.self), 0
	for _, name := range live {
		if name != s.self && membership.Score(instance, name) > own {
			higher++
		}
	}
	return higher
}
