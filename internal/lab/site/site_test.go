package site

import (
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/application"
	"stepseam.example/stepseam/internal/emulator/engine"
	"stepseam.example/stepseam/internal/emulator/standin"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/settings"
)

func TestWriteSettingsRoundTrip(t *testing.T) {
	check := is.New(t)
	routed := netip.MustParseAddrPort("127.0.0.1:9")
	site := &Site{plan: Plan{
		Directory:      t.TempDir(),
		Region:         "sierra-norte",
		Nodes:          []NodePlan{{"n1", "quito-centro"}, {"n2", "quito-norte"}},
		AdjustSettings: func(s *settings.Settings) { s.Shards.LeaseDuration = 7 * time.Second },
		Route: func(_ identity.NodeName, service string, address netip.AddrPort) (netip.AddrPort, error) {
			if service == "log" {
				return routed, nil
			}
			return address, nil
		},
	}}
	for _, target := range []**Emulator{&site.LogService, &site.MachineList, &site.WeightStore, &site.Tools} {
		*target = &Emulator{Address: netip.MustParseAddrPort("127.0.0.1:8")}
	}
	for index, plan := range site.plan.Nodes {
		node, err := site.planNode(index, plan)
		check.NoErr(err)
		site.Nodes = append(site.Nodes, node)
	}
	check.NoErr(site.writeSettings(site.Nodes[0]))
	got, err := settings.Load(settings.Flags{File: filepath.Join(site.plan.Directory, "n1.yaml")})
	check.NoErr(err)
	check.Equal(got.Node, settings.Node{Name: "n1", Zone: "quito-centro", Region: "sierra-norte"})
	check.Equal(got.Addresses, site.Nodes[0].Addresses)
	check.Equal(got.Seeds, []netip.AddrPort{site.Nodes[1].Addresses.Probe})
	check.Equal(got.Platform.LogService, routed)
	check.Equal(got.Platform.MachineList, netip.MustParseAddrPort("127.0.0.1:8"))
	check.Equal(got.Shards.LeaseDuration, 7*time.Second)
}

func TestWrittenParametersRoundTrip(t *testing.T) {
	check := is.New(t)
	site := &Site{plan: Plan{Directory: t.TempDir()}}
	wantedEngine := engine.DefaultParameters("engine-1", "asesor-8b")
	path, err := site.writeYAML("engine-1", wantedEngine)
	check.NoErr(err)
	gotEngine, err := standin.ReadParameters(path, engine.DefaultParameters("engine"))
	check.NoErr(err)
	check.Equal(gotEngine.Timing, wantedEngine.Timing)
	check.Equal(gotEngine.Models, wantedEngine.Models)
	check.Equal(gotEngine.StreamRetention, wantedEngine.StreamRetention)
	wantedApplication := application.DefaultParameters("portal-1")
	path, err = site.writeYAML("portal-1", wantedApplication)
	check.NoErr(err)
	gotApplication, err := standin.ReadParameters(path, application.DefaultParameters("application"))
	check.NoErr(err)
	check.Equal(gotApplication, wantedApplication)
}
