package quota

import (
	"maps"
	"math"
	"time"
)

// Request asks an allocator for tokens of one tenant.
type Request struct {
	// Needed wait already, Wanted would do for a while; Wanted is at least Needed.
	Needed, Wanted Amount
	// Spent ran without tokens, while no allocator answered.
	Spent Amount
	// Returned were granted and have not been spent and never will be.
	Returned []Return
}

// Return is a part of one grant that is given back.
type Return struct {
	// GrantedAt is the grant's.
	GrantedAt time.Duration
	Amount    Amount
}

// Grant answers a Request.
type Grant struct {
	Amount Amount
	// GrantedAt is the allocator's reading of its clock; it names the grant.
	GrantedAt time.Duration
	// Used and Granted tell how much of the span's limit is used, this grant included.
	Used, Limit int
	// RequestAfter and BeginAfter tell when there may be room again, where none was.
	RequestAfter, BeginAfter time.Duration
}

// Allocator holds what is granted of tenants' limits. It is not safe for concurrent use.
type Allocator struct {
	policy  Policy
	tenants map[string]*account
	// share is the part of each limit that this node may grant.
	share float64
}

// account is what is granted of one tenant's limit.
type account struct {
	window *Window
	// settled tells that what other nodes have granted in the span is counted, or taken
	// for used.
	settled bool
	// requests and begins are decaying counts, by which learned is the number of
	// requests of a program. They leave out the time in which the limit binds, when
	// programs end early.
	requests, begins float64
	countedAt        time.Duration
	// boundUntil is until when the limit counts as binding, a span after it did.
	boundUntil time.Duration
	touched    time.Duration
}

const (
	// learnFor is how fast older requests lose weight when a program's number of
	// requests is learned.
	learnFor = 30 * time.Second
	// learnedBegins is how many programs must have begun for the learned number to count.
	learnedBegins = 5
	// scarceBelow is the part of a limit that must be free for more to be granted than
	// waits already.
	scarceBelow = 0.25
	// accountIdle is how long a tenant that nobody asks for is remembered.
	accountIdle = 30 * time.Second
)

// NewAllocator returns an allocator that may grant all of every limit.
func NewAllocator(policy Policy) *Allocator {
	return &Allocator{policy: policy, tenants: map[string]*account{}, share: 1}
}

// SetShare sets the part of each limit that this node may grant, from 0 to 1.
func (a *Allocator) SetShare(share float64) { a.share = share }

// Share returns the part of each limit that this node may grant.
func (a *Allocator) Share() float64 { return a.share }

// Settled tells whether an account counts what other nodes have granted.
func (a *Allocator) Settled(tenant string) bool {
	found := a.tenants[tenant]
	return found != nil && found.settled
}

// Settle opens an account with what another node has counted.
func (a *Allocator) Settle(tenant string, slots []Amount, now time.Duration) {
	opened := a.open(tenant, now)
	opened.window.Merge(slots, now)
	opened.settled = true
}

// Presume opens an account and takes the limit, but for a part of its spare, for used,
// since what others have granted can't be learned.
func (a *Allocator) Presume(tenant string, limit Limit, now time.Duration) {
	opened := a.open(tenant, now)
	presumed := int(math.Ceil(a.policy.Granted(limit) - a.policy.Spare(limit)/2))
	counted := opened.window.Total(now).Requests
	opened.window.Fill(Amount{Requests: max(presumed-counted, 0)}, now)
	opened.settled = true
}

// Unsettle makes every account count what others have granted before it grants again.
func (a *Allocator) Unsettle() {
	for _, one := range a.tenants {
		one.settled = false
	}
}

// Drop forgets the tenants that are no longer allotted here but were not handed over.
func (a *Allocator) Drop(kept func(tenant string) bool) {
	maps.DeleteFunc(a.tenants, func(tenant string, _ *account) bool { return !kept(tenant) })
}

// HandOver ends an account and returns what it has counted; false if there is none.
func (a *Allocator) HandOver(tenant string, now time.Duration) ([]Amount, bool) {
	found := a.tenants[tenant]
	if found == nil || !found.settled {
		return nil, false
	}
	delete(a.tenants, tenant)
	return found.window.Slots(now), true
}

// Forget drops the accounts that nobody has asked for lately.
func (a *Allocator) Forget(now time.Duration) {
	maps.DeleteFunc(a.tenants, func(_ string, one *account) bool { return now-one.touched > accountIdle })
}

// Used returns what is granted of each tenant's limit in the span.
func (a *Allocator) Used(now time.Duration) map[string]Amount {
	used := make(map[string]Amount, len(a.tenants))
	for tenant, one := range a.tenants {
		used[tenant] = one.window.Total(now)
	}
	return used
}

func (a *Allocator) open(tenant string, now time.Duration) *account {
	found := a.tenants[tenant]
	if found == nil {
		found = &account{window: NewWindow(a.policy.Span(), now), countedAt: now, touched: now}
		a.tenants[tenant] = found
	}
	return found
}

// Grant answers a request for an account that must be settled.
func (a *Allocator) Grant(tenant string, limit Limit, request Request, now time.Duration) Grant {
	asked := a.open(tenant, now)
	asked.touched = now
	for _, one := range request.Returned {
		asked.window.Remove(one.Amount, one.GrantedAt, now)
	}
	asked.window.Add(request.Spent, now)
	most := int(a.policy.Granted(limit) * a.share)
	used := asked.window.Total(now)
	grant := Grant{GrantedAt: now, Limit: most}
	grant.Amount.Requests = part(request.Needed.Requests, request.Wanted.Requests, most-used.Requests, most)
	mostBegins := a.mostBegins(asked, limit)
	begins := part(request.Needed.Begins, request.Wanted.Begins, mostBegins-used.Begins, mostBegins)
	if used.Requests < int(a.policy.Nominal(limit)*a.share) {
		grant.Amount.Begins = min(begins, grant.Amount.Requests+request.Needed.Begins)
	}
	if grant.Amount.Requests < request.Needed.Requests || grant.Amount.Begins < request.Needed.Begins {
		asked.boundUntil = now + a.policy.Span()
	}
	asked.learn(grant.Amount, request.Returned, now)
	asked.window.Add(grant.Amount, now)
	grant.Used = used.Requests + grant.Amount.Requests
	if grant.Amount.Requests < request.Needed.Requests {
		grant.RequestAfter = asked.window.RoomAfter(grant.Used-most+request.Needed.Requests-grant.Amount.Requests, now)
	}
	if grant.Amount.Begins < request.Needed.Begins {
		grant.BeginAfter = a.policy.Life()
	}
	return grant
}

// part of room goes to a request: what is wanted while there is plenty, what is needed
// where room is scarce.
func part(needed, wanted, room, most int) int {
	if room <= 0 {
		return 0
	}
	if float64(room) < scarceBelow*float64(most) {
		return min(needed, room)
	}
	return min(max(needed, min(wanted, room/2)), room)
}

// mostBegins is how many programs may begin in a span, so that their requests fit into
// the limit of the shorter window. What is left over is for the requests of programs that
// began before, and for those with more requests than others.
func (a *Allocator) mostBegins(asked *account, limit Limit) int {
	perProgram := 1.0
	if asked.begins >= learnedBegins {
		perProgram = max(asked.requests/asked.begins, 1)
	}
	return int(math.Ceil(a.policy.InWindow(limit) * a.share / perProgram))
}

// learn counts what was granted, less what was returned, while the limit does not bind.
func (a *account) learn(granted Amount, returned []Return, now time.Duration) {
	decay := math.Exp(-float64(now-a.countedAt) / float64(learnFor))
	a.countedAt = now
	a.requests, a.begins = a.requests*decay, a.begins*decay
	if now < a.boundUntil {
		return
	}
	a.requests += float64(granted.Requests)
	a.begins += float64(granted.Begins)
	for _, one := range returned {
		a.requests = max(a.requests-float64(one.Amount.Requests), 0)
		a.begins = max(a.begins-float64(one.Amount.Begins), 0)
	}
}
