package router

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
)

// maxOwnInstances bounds the instances that are remembered as entries with this node's address.
const maxOwnInstances = 1024

// ownInstances are the instances whose entries have this node's address. An entry is removed here
// before other nodes remove it. It is safe for concurrent use.
type ownInstances struct {
	// mutex guards known.
	mutex sync.Mutex
	known map[string]bool
}

func (o *ownInstances) add(instance string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.known == nil || len(o.known) >= maxOwnInstances {
		o.known = map[string]bool{}
	}
	o.known[instance] = true
}

func (o *ownInstances) has(instance string) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.known[instance]
}

// takenForReplica reports whether a request came from a node that took this one for a replica, whose
// entry has the address at which the request arrived. Nodes would pass such a request on to each
// other until its deadline.
func (r *Router) takenForReplica(request *http.Request) bool {
	instance := request.Header.Get(r.config.Names.Replica.ExpectInstance)
	if instance == "" {
		return false
	}
	local, known := request.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
	if !known {
		return false
	}
	expected, present := r.config.Fleet.Presence(instance)
	if !present {
		return r.ownInstances.has(instance)
	}
	if unmapped(expected.Address) != unmapped(local.AddrPort()) {
		return false
	}
	r.ownInstances.add(instance)
	return true
}

func unmapped(address netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}
