package simulated

import (
	"context"
	"time"

	"stepseam.example/stepseam/internal/emulator/application"
	"stepseam.example/stepseam/internal/emulator/engine"
	"stepseam.example/stepseam/internal/emulator/logservice"
	"stepseam.example/stepseam/internal/emulator/network"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/siteservices"
)

// drainTimeout bounds a planned stop.
const drainTimeout = time.Minute

// checkWindow is how long before a freeze dispatches are held back that have
// passed their checks. In a real process the freeze would have to hit the few
// microseconds in between; here it does so often.
const checkWindow = 200 * time.Millisecond

// Settle is longer than anything stays on its way in network and log.
const Settle = time.Minute

// KillNode ends the node name as SIGKILL would.
func (s *Site) KillNode(name identity.NodeName) {
	s.mutex.Lock()
	ended := s.lives[name]
	delete(s.lives, name)
	s.mutex.Unlock()
	if ended == nil {
		return
	}
	ended.Endpoint.Kill()
	ended.stop()
	ended.Node.Close(context.Background())
}

// DrainNode stops the node name as planned.
func (s *Site) DrainNode(name identity.NodeName) error {
	stopping := s.Life(name)
	if stopping == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	err := stopping.Node.Drain(ctx)
	stopping.Requests.Wait()
	s.KillNode(name)
	return err
}

// FreezeNode stops a node between its last checks and its sends: what it was
// about to dispatch leaves after ThawNode.
func (s *Site) FreezeNode(name identity.NodeName) {
	frozen := s.Life(name)
	if frozen == nil {
		return
	}
	s.Stall(name, true)
	time.Sleep(checkWindow)
	frozen.Endpoint.Freeze()
}

// ThawNode lets a frozen node go on.
func (s *Site) ThawNode(name identity.NodeName) {
	if frozen := s.Life(name); frozen != nil {
		frozen.Endpoint.Thaw()
	}
	s.Stall(name, false)
}

// CutZone cuts a zone off from all others, their back ends included; with
// withPlatform from the log and the machine list too. HealZone undoes it.
func (s *Site) CutZone(zone identity.Zone, withPlatform bool) { s.setZoneCut(zone, withPlatform, true) }

// HealZone undoes CutZone.
func (s *Site) HealZone(zone identity.Zone) { s.setZoneCut(zone, true, false) }

func (s *Site) setZoneCut(cut identity.Zone, withPlatform, down bool) {
	change := s.Network.HealZone
	if down {
		change = s.Network.CutZone
	}
	for _, zone := range s.plan.Zones {
		if zone != cut {
			change(cut, zone)
			change(zone, cut)
		}
	}
	for index, name := range s.plan.Nodes {
		inside := s.plan.Zone(index) == cut
		for _, zone := range s.plan.Zones {
			if (zone == cut) != inside {
				s.CutBackends(name, zone, down)
			}
		}
		if inside && withPlatform {
			s.Log.ViewFor(string(name)).SetDown(down)
			s.Machines.ViewFor(string(name)).SetDown(down)
		}
	}
}

// CutBackends cuts a node off from the back ends of a zone, or heals the link.
func (s *Site) CutBackends(from identity.NodeName, to identity.Zone, cut bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cuts[backendLink{from: from, to: to}] = cut
}

func (s *Site) backendCut(from identity.NodeName, to identity.Zone) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.cuts[backendLink{from: from, to: to}]
}

func (s *Site) stalled(name identity.NodeName) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stalls[name]
}

// Stall holds back what the node sends to back ends after its checks, until it is
// called again with false.
func (s *Site) Stall(name identity.NodeName, stalled bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stalls[name] = stalled
}

// HealAll undoes every failure and starts all nodes that do not run.
func (s *Site) HealAll() error {
	s.Network.HealAll()
	s.Network.SetFaults(network.Faults{})
	s.Log.SetFaults(logservice.Faults{})
	s.mutex.Lock()
	s.cuts = map[backendLink]bool{}
	s.stalls = map[identity.NodeName]bool{}
	s.mutex.Unlock()
	s.healBackends()
	for _, name := range s.plan.Nodes {
		s.Log.ViewFor(string(name)).SetFaults(logservice.Faults{})
		s.Machines.ViewFor(string(name)).SetDown(false)
		s.ThawNode(name)
		if err := s.StartNode(name); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) healBackends() {
	for _, replica := range s.engines {
		replica.SetFaults(engine.Faults{})
	}
	for _, replica := range s.applications {
		replica.SetFaults(application.Faults{})
	}
}

// Close ends everything that runs in the site. What is on its way then arrives
// nowhere, within Settle; a synctest bubble has to wait for it.
func (s *Site) Close() {
	for _, name := range s.plan.Nodes {
		s.ThawNode(name)
		s.KillNode(name)
	}
	s.Network.Close()
	s.healBackends()
	for _, replica := range s.engines {
		replica.Close()
	}
	for _, replica := range s.applications {
		replica.Close()
	}
}

// Leave lets the back end name begin to leave: it refuses new work and reports
// so at once, the machine list shows it after its lag.
func (s *Site) Leave(name string) {
	if leaving := s.Engine(name); leaving != nil {
		leaving.SetDraining(true)
	}
	if leaving := s.Application(name); leaving != nil {
		leaving.SetDraining(true)
	}
	s.Machines.SetState(name, siteservices.MachineLeaving)
}
