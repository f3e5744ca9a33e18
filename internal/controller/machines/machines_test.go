package machines

import (
	"context"
	"log/slog"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/emulator/machinelist"
	"stepseam.example/stepseam/internal/siteservices"
)

func engine(name string) siteservices.Machine {
	return siteservices.Machine{
		Name: name, Role: siteservices.RoleEngine, State: siteservices.MachineLive, Zone: "a",
		Address: netip.MustParseAddrPort("127.0.0.2:80"),
	}
}

func TestControllerKeepsLastListDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		list := machinelist.New([]siteservices.Machine{engine("e1")})
		board := blackboard.NewBoard()
		controller := New(Config{
			List: list, Board: board, Interval: 2 * time.Second,
			Logger: slog.New(slog.DiscardHandler), Registerer: prometheus.NewRegistry(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go controller.Run(ctx)
		synctest.Wait()
		check.Equal(board.Machines.Load(), []siteservices.Machine{engine("e1")})

		list.SetFaults(machinelist.Faults{Down: true})
		list.Put(engine("e2"))
		time.Sleep(time.Hour)
		check.Equal(board.Machines.Load(), []siteservices.Machine{engine("e1")})

		list.SetFaults(machinelist.Faults{})
		time.Sleep(2 * time.Second)
		synctest.Wait()
		check.Equal(board.Machines.Load(), []siteservices.Machine{engine("e1"), engine("e2")})
		_, before, _ := board.Machines.Watch()
		time.Sleep(time.Minute)
		_, after, _ := board.Machines.Watch()
		check.Equal(before, after)
	})
}

func TestCheckRejectsInvalidRowsWithTheirPlace(t *testing.T) {
	check := is.New(t)
	node := engine("n1")
	node.Role = siteservices.RoleNode
	odd := siteservices.Machine{Role: "router", State: "asleep"}
	valid, findings := Check([]siteservices.Machine{engine("e1"), node, odd, engine("e1")})
	check.Equal(valid, []siteservices.Machine{engine("e1")})
	places := []string{}
	for _, finding := range findings {
		places = append(places, finding.Place)
	}
	check.Equal(places, []string{
		"machines[1].probe_address", "machines[2].name", "machines[2].role",
		"machines[2].state", "machines[2].address", "machines[3].name",
	})
}
