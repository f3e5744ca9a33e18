// Package site runs a complete laboratory site on one machine, as processes on
// 127.0.0.x: nodes, and emulators of the platform's services, engines and
// applications. The demonstration and the process tests use it.
package site

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/goccy/go-yaml"

	"stepseam.example/stepseam/internal/emulator/application"
	"stepseam.example/stepseam/internal/emulator/engine"
	"stepseam.example/stepseam/internal/emulator/machinelist"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/lab/process"
	"stepseam.example/stepseam/internal/settings"
	"stepseam.example/stepseam/internal/siteservices"
)

// File names of the executables that a site runs.
const (
	DaemonProgram   = "stepseamd"
	OperatorProgram = "stepseamctl"
	LabProgram      = "stepseam-lab"
)

// NodePlan describes a node to run.
type NodePlan struct {
	Name identity.NodeName
	Zone identity.Zone
}

// EnginePlan describes an engine to run.
type EnginePlan struct {
	Zone       identity.Zone
	Parameters engine.Parameters
}

// ApplicationPlan describes an application replica to run.
type ApplicationPlan struct {
	Zone       identity.Zone
	Parameters application.Parameters
}

// Plan describes a site.
type Plan struct {
	// Programs is the directory of the executables; settings, parameters and logs are
	// written to Directory.
	Programs  string
	Directory string
	Region    identity.Region
	// EngineService and ApplicationService are the services of all engines and of all
	// applications.
	EngineService      string
	ApplicationService string
	Nodes              []NodePlan
	Engines            []EnginePlan
	Applications       []ApplicationPlan
	// Slot selects a disjoint set of IP addresses for nodes and back ends, so that up
	// to four sites can run at once. A slot is large enough for eight nodes, four
	// engines and four applications.
	Slot int
	// MachineListLag is the delay after which the machine list shows a change.
	MachineListLag time.Duration
	// AdjustSettings modifies a node's settings before they are written, if set.
	AdjustSettings func(*settings.Settings)
	// Route returns the address at which node connects to a platform service that
	// listens on address, for instance that of a relay.
	Route func(node identity.NodeName, service string, address netip.AddrPort) (netip.AddrPort, error)
	// RouteBackend returns the address at which all nodes connect to a back end.
	RouteBackend func(backend string, address netip.AddrPort) (netip.AddrPort, error)
}

// Site is a running site.
type Site struct {
	plan Plan
	// LogService, MachineList, WeightStore and Tools are the platform's services.
	LogService  *Emulator
	MachineList *Emulator
	WeightStore *Emulator
	Tools       *Emulator
	// Engines and Applications are in the order of the plan.
	Engines      []*Emulator
	Applications []*Emulator
	// Nodes are in the order of the plan. A restart replaces the entry.
	Nodes []*Node
}

// startTimeout bounds the start of one process and each HTTP request.
const startTimeout = 20 * time.Second

// Last bytes of the processes' IP addresses, and the numbers of addresses per slot.
const (
	platformHost     = 1
	firstNode        = 11
	firstEngine      = 51
	firstApplication = 81
	nodesInSlot      = 8
	backendsInSlot   = 4
)

func host(number int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 0, byte(number)}) }

// Start starts all processes and returns when all nodes are healthy. They become ready
// when a table is published. On an error all processes are killed.
func Start(ctx context.Context, plan Plan) (*Site, error) {
	site := &Site{plan: plan}
	if err := site.start(ctx); err != nil {
		site.Close()
		return nil, err
	}
	return site, nil
}

func (s *Site) start(ctx context.Context) error {
	steps := []func(context.Context) error{
		s.startPlatform, s.startBackends, s.startMachineList, s.startNodes, s.awaitNodes,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) startPlatform(ctx context.Context) error {
	starts := []struct {
		target     **Emulator
		subcommand string
	}{{&s.LogService, "log"}, {&s.WeightStore, "weights"}, {&s.Tools, "tools"}}
	for _, start := range starts {
		started, err := s.startEmulator(ctx, start.subcommand, start.subcommand, platformHost, nil)
		if err != nil {
			return err
		}
		*start.target = started
	}
	return nil
}

func (s *Site) startBackends(ctx context.Context) error {
	for i, plan := range s.plan.Engines {
		started, err := s.startEmulator(ctx, plan.Parameters.Name, "engine", firstEngine+s.plan.Slot*backendsInSlot+i, plan.Parameters)
		if err != nil {
			return err
		}
		s.Engines = append(s.Engines, started)
	}
	for i, plan := range s.plan.Applications {
		started, err := s.startEmulator(ctx, plan.Parameters.Name, "application", firstApplication+s.plan.Slot*backendsInSlot+i, plan.Parameters)
		if err != nil {
			return err
		}
		s.Applications = append(s.Applications, started)
	}
	return nil
}

// machinesFile is the parameter file of the machine list.
type machinesFile struct {
	Faults   machinelist.Faults     `yaml:"faults"`
	Machines []siteservices.Machine `yaml:"machines"`
}

func (s *Site) startMachineList(ctx context.Context) error {
	file := machinesFile{Faults: machinelist.Faults{Lag: s.plan.MachineListLag}}
	for i, plan := range s.plan.Engines {
		machine, err := s.backendMachine(s.Engines[i], siteservices.RoleEngine, plan.Zone)
		if err != nil {
			return err
		}
		file.Machines = append(file.Machines, machine)
	}
	for i, plan := range s.plan.Applications {
		machine, err := s.backendMachine(s.Applications[i], siteservices.RoleApplication, plan.Zone)
		if err != nil {
			return err
		}
		file.Machines = append(file.Machines, machine)
	}
	for i, plan := range s.plan.Nodes {
		node, err := s.planNode(i, plan)
		if err != nil {
			return err
		}
		s.Nodes = append(s.Nodes, node)
		file.Machines = append(file.Machines, siteservices.Machine{
			Name: string(plan.Name), Role: siteservices.RoleNode, State: siteservices.MachineLive,
			Zone: plan.Zone, Region: s.plan.Region, Service: DaemonProgram,
			Address: node.Addresses.Peer, ProbeAddress: node.Addresses.Probe,
		})
	}
	started, err := s.startEmulator(ctx, "machines", "machines", platformHost, file)
	s.MachineList = started
	return err
}

func (s *Site) backendMachine(backend *Emulator, role siteservices.MachineRole, zone identity.Zone) (siteservices.Machine, error) {
	service := s.plan.EngineService
	if role == siteservices.RoleApplication {
		service = s.plan.ApplicationService
	}
	address := backend.Address
	if s.plan.RouteBackend != nil {
		routed, err := s.plan.RouteBackend(backend.Name(), address)
		if err != nil {
			return siteservices.Machine{}, fmt.Errorf("site: route to %s: %w", backend.Name(), err)
		}
		address = routed
	}
	return siteservices.Machine{
		Name: backend.Name(), Role: role, State: siteservices.MachineLive,
		Zone: zone, Region: s.plan.Region, Address: address, Service: service,
	}, nil
}

// startEmulator starts an emulator on a free port of 127.0.0.number and waits until it
// listens. Non-nil parameters are written to its parameter file.
func (s *Site) startEmulator(ctx context.Context, name, subcommand string, number int, parameters any) (*Emulator, error) {
	arguments := []string{subcommand, "--address", netip.AddrPortFrom(host(number), 0).String()}
	if parameters != nil {
		path, err := s.writeYAML(name, parameters)
		if err != nil {
			return nil, err
		}
		arguments = append(arguments, "--parameters", path)
	}
	started, err := process.Start(process.Command{
		Name: name, Program: filepath.Join(s.plan.Programs, LabProgram),
		Arguments: arguments, LogDirectory: s.plan.Directory,
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	address, err := started.Ready(ctx)
	if err != nil {
		started.Kill()
		return nil, err
	}
	return &Emulator{Process: started, Address: address}, nil
}

func (s *Site) writeYAML(name string, content any) (string, error) {
	encoded, err := yaml.Marshal(content)
	if err != nil {
		return "", fmt.Errorf("site: file of %s: %w", name, err)
	}
	path := filepath.Join(s.plan.Directory, name+".yaml")
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		return "", fmt.Errorf("site: file of %s: %w", name, err)
	}
	return path, nil
}

// StopNodes shuts all running nodes down gracefully, one after the other. timeout
// applies to each node.
func (s *Site) StopNodes(timeout time.Duration) error {
	var faults []error
	for _, node := range s.Nodes {
		if node.Running() {
			faults = append(faults, node.Stop(timeout))
		}
	}
	return errors.Join(faults...)
}

// Close kills all running processes.
func (s *Site) Close() {
	for _, node := range s.Nodes {
		if node.Process != nil {
			node.Kill()
		}
	}
	platformEmulators := []*Emulator{s.LogService, s.MachineList, s.WeightStore, s.Tools}
	for _, emulator := range slices.Concat(s.Engines, s.Applications, platformEmulators) {
		if emulator != nil {
			emulator.Kill()
		}
	}
}
