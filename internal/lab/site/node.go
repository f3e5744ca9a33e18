package site

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"path/filepath"
	"time"

	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/lab/loopback"
	"stepseam.example/stepseam/internal/lab/process"
	"stepseam.example/stepseam/internal/operator"
	"stepseam.example/stepseam/internal/settings"
)

// Node is a stepseamd process of the site. Process is nil until the node is started.
type Node struct {
	*process.Process
	Name      identity.NodeName
	Zone      identity.Zone
	Addresses settings.Addresses
}

// Running reports whether the node was started and has not ended.
func (n *Node) Running() bool {
	if n.Process == nil {
		return false
	}
	select {
	case <-n.Done():
		return false
	default:
		return true
	}
}

// CallersURL returns the base URL of the callers' API.
func (n *Node) CallersURL() string { return "http://" + n.Addresses.Callers.String() }

// OperatorsURL returns the base URL of the operators' API.
func (n *Node) OperatorsURL() string { return "http://" + n.Addresses.Operators.String() }

// planNode allocates the addresses of the node at index.
func (s *Site) planNode(index int, plan NodePlan) (*Node, error) {
	node := &Node{Name: plan.Name, Zone: plan.Zone}
	own := host(firstNode + s.plan.Slot*nodesInSlot + index)
	addresses := &node.Addresses
	targets := []*netip.AddrPort{&addresses.Callers, &addresses.Operators, &addresses.Peer, &addresses.Probe}
	for _, target := range targets {
		chosen, err := loopback.FreeAddress(own)
		if err != nil {
			return nil, fmt.Errorf("site: port for %s: %w", plan.Name, err)
		}
		*target = chosen
	}
	return node, nil
}

func (s *Site) startNodes(context.Context) error {
	for index := range s.Nodes {
		if err := s.writeSettings(s.Nodes[index]); err != nil {
			return err
		}
		if err := s.StartNode(index); err != nil {
			return err
		}
	}
	return nil
}

// StartNode starts the node at index, or restarts it after it has ended. It replaces
// the entry in Nodes.
func (s *Site) StartNode(index int) error {
	former := s.Nodes[index]
	started, err := process.Start(process.Command{
		Name: string(former.Name), Program: filepath.Join(s.plan.Programs, DaemonProgram),
		Arguments:    []string{"--settings", filepath.Join(s.plan.Directory, string(former.Name)+".yaml")},
		LogDirectory: s.plan.Directory,
	})
	if err != nil {
		return err
	}
	s.Nodes[index] = &Node{Process: started, Name: former.Name, Zone: former.Zone, Addresses: former.Addresses}
	return nil
}

func (s *Site) writeSettings(node *Node) error {
	chosen := settings.Default()
	chosen.Node = settings.Node{Name: node.Name, Zone: node.Zone, Region: s.plan.Region}
	chosen.Addresses = node.Addresses
	for _, other := range s.Nodes {
		if other.Name != node.Name {
			chosen.Seeds = append(chosen.Seeds, other.Addresses.Probe)
		}
	}
	services := []struct {
		name     string
		target   *netip.AddrPort
		emulator *Emulator
	}{
		{"log", &chosen.Platform.LogService, s.LogService},
		{"machines", &chosen.Platform.MachineList, s.MachineList},
		{"weights", &chosen.Platform.WeightStore, s.WeightStore},
		{"tools", &chosen.Platform.Tools, s.Tools},
	}
	for _, service := range services {
		*service.target = service.emulator.Address
		if s.plan.Route == nil {
			continue
		}
		routed, err := s.plan.Route(node.Name, service.name, service.emulator.Address)
		if err != nil {
			return fmt.Errorf("site: route from %s to %s: %w", node.Name, service.name, err)
		}
		*service.target = routed
	}
	if s.plan.AdjustSettings != nil {
		s.plan.AdjustSettings(&chosen)
	}
	_, err := s.writeYAML(string(node.Name), chosen)
	return err
}

// awaitNodes waits until every node passes its health check and sees all members as
// alive.
func (s *Site) awaitNodes(ctx context.Context) error {
	for _, node := range s.Nodes {
		if err := s.AwaitNode(ctx, node, "/healthz"); err != nil {
			return err
		}
	}
	return s.AwaitMembers(ctx, len(s.Nodes))
}

// AwaitMembers waits until every running node sees count alive members.
func (s *Site) AwaitMembers(ctx context.Context, count int) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, node := range s.Nodes {
		if !node.Running() {
			continue
		}
		what := fmt.Sprintf("%s to see %d alive members", node.Name, count)
		err := Eventually(ctx, what, func(ctx context.Context) error {
			var status operator.SiteStatus
			if err := s.GetOperators(ctx, node, "/v1/status", &status); err != nil {
				return err
			}
			live := lo.CountBy(status.Nodes, func(n operator.NodeStatus) bool { return n.Membership == "alive" })
			if live != count {
				return fmt.Errorf("it sees %d alive members", live)
			}
			return nil
		})
		if err != nil {
			return fmt.Errorf("%w\n%s", err, node.LogTail())
		}
	}
	return nil
}

// AwaitReady waits until every running node passes its readiness check.
func (s *Site) AwaitReady(ctx context.Context) error {
	for _, node := range s.Nodes {
		if !node.Running() {
			continue
		}
		if err := s.AwaitNode(ctx, node, "/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// AwaitNode waits until path on the node's operators' address returns a 2xx status.
func (s *Site) AwaitNode(ctx context.Context, node *Node, path string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	what := fmt.Sprintf("%s%s", node.Name, path)
	err := Eventually(ctx, what, func(ctx context.Context) error {
		if !node.Running() {
			return fmt.Errorf("%w: %s", errEnded, node.Name)
		}
		return getJSON(ctx, node.OperatorsURL()+path, nil)
	})
	if err != nil {
		return fmt.Errorf("%w\n%s", err, node.LogTail())
	}
	return nil
}

// errEnded is the error of a wait for a process that has ended.
var errEnded = errors.New("site: the process has ended")

// pollInterval is the delay between two attempts of Eventually.
const pollInterval = 50 * time.Millisecond

// Eventually calls try until it returns nil. If ctx ends first, it returns the last
// error of try.
func Eventually(ctx context.Context, what string, try func(context.Context) error) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		err := try(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("site: timed out waiting for %s: %w", what, err)
		}
	}
}

// httpClient connects to emulators and nodes.
var httpClient = &http.Client{Timeout: startTimeout}

// GetOperators decodes the JSON document at path on a node's operators' address.
func (s *Site) GetOperators(ctx context.Context, node *Node, path string, answer any) error {
	return getJSON(ctx, node.OperatorsURL()+path, answer)
}

// PostOperators sends body as JSON to path on a node's operators' address and decodes
// the response into answer, unless answer is nil.
func (s *Site) PostOperators(ctx context.Context, node *Node, path string, body, answer any) error {
	return sendJSON(ctx, http.MethodPost, node.OperatorsURL()+path, body, answer)
}
