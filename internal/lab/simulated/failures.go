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

// drainTimeout bounds a graceful shutdown.
const drainTimeout = time.Minute

// checkWindow is the time before a process pause in which dispatches that passed their
// checks are delayed. It makes a pause between the checks and the send likely, which
// on a real node is a race of microseconds.
const checkWindow = 200 * time.Millisecond

// SettleTime exceeds the longest time that a message or a log operation stays in flight.
const SettleTime = time.Minute

// KillNode terminates the node name as SIGKILL does. It does nothing if the node is
// down.
func (s *Site) KillNode(name identity.NodeName) {
	s.mutex.Lock()
	ended := s.incarnations[name]
	delete(s.incarnations, name)
	s.mutex.Unlock()
	if ended == nil {
		return
	}
	ended.Endpoint.Kill()
	ended.stop()
	ended.Node.Close(context.Background())
}

// DrainNode shuts the node name down gracefully, after its callers' requests.
func (s *Site) DrainNode(name identity.NodeName) error {
	stopping := s.Incarnation(name)
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

// PauseNode pauses a node's process between its last checks and the resulting sends:
// the pending dispatches are sent after ResumeNode.
func (s *Site) PauseNode(name identity.NodeName) {
	frozen := s.Incarnation(name)
	if frozen == nil {
		return
	}
	s.Stall(name, true)
	time.Sleep(checkWindow)
	frozen.Endpoint.Freeze()
}

// ResumeNode resumes a paused node.
func (s *Site) ResumeNode(name identity.NodeName) {
	if frozen := s.Incarnation(name); frozen != nil {
		frozen.Endpoint.Thaw()
	}
	s.Stall(name, false)
}

// CutZone partitions a zone from all other zones and their back ends, and from the log
// and the machine list if withPlatform is set. HealZone reverts it.
func (s *Site) CutZone(zone identity.Zone, withPlatform bool) { s.setZoneCut(zone, withPlatform, true) }

// HealZone reverts CutZone.
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

// CutBackends partitions a node from the back ends of a zone, or heals the partition.
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

// Stall delays the node's dispatches to back ends, after their checks, until it is
// called with false.
func (s *Site) Stall(name identity.NodeName, stalled bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stalls[name] = stalled
}

// HealAll reverts all failures and starts the nodes that are down.
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
		s.ResumeNode(name)
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

// Close stops all nodes and back ends. Messages in flight are dropped within SettleTime,
// for which a synctest bubble has to wait.
func (s *Site) Close() {
	for _, name := range s.plan.Nodes {
		s.ResumeNode(name)
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

// Leave starts to drain the back end name: it rejects new requests and reports its
// state immediately, and the machine list shows the change after its lag.
func (s *Site) Leave(name string) {
	if leaving := s.Engine(name); leaving != nil {
		leaving.SetDraining(true)
	}
	if leaving := s.Application(name); leaving != nil {
		leaving.SetDraining(true)
	}
	s.Machines.SetState(name, siteservices.MachineLeaving)
}
