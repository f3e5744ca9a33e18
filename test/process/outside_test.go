package process

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/engine"
	"stepseam.example/stepseam/internal/emulator/logservice"
	"stepseam.example/stepseam/internal/emulator/machinelist"
	"stepseam.example/stepseam/internal/lab/site"
	"stepseam.example/stepseam/internal/operator"
	"stepseam.example/stepseam/internal/table"
)

const (
	// leavingLimit is the time after which a leaving back end must get no new work.
	leavingLimit = 3 * time.Second
	// staleList is the machine list's lag in the test of a leaving engine.
	staleList = 10 * time.Second
)

func TestLostAnswersAndSlownessOfTheLogUnderLoad(t *testing.T) {
	check := is.New(t)
	lab := start(t, nil)
	faults := logservice.Faults{LoseAfter: 0.3, LoseBefore: 0.2, Refuse: 0.1, AppendDelay: 300 * time.Millisecond}
	check.NoErr(lab.LogService.Put(lab.ctx, "/stand-in/faults", faults))
	running := lab.startLoad(6, 3)
	time.Sleep(2 * time.Second)
	lab.Nodes[2].Kill()
	check.NoErr(lab.StartNode(2))
	check.NoErr(running.wait())
	for _, c := range running.conversations {
		check.Equal(len(c.ran)+len(c.doubtful)+len(c.refused), 3)
	}
	lab.verify(running.conversations...)
}

func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	check := is.New(t)
	lab := start(t, nil)
	// The list reports that the engine leaves long after the engine itself does.
	check.NoErr(lab.MachineList.Put(lab.ctx, "/stand-in/faults", machinelist.Faults{Lag: staleList}))
	running := lab.startLoad(6, 4)
	leaving := lab.Engines[0]
	lab.await("work at the engine", func() bool { return lab.newest(leaving).After(time.Time{}) })
	leftAt := time.Now()
	check.NoErr(leaving.Put(lab.ctx, engine.PathDrain, engine.DrainRequest{Draining: true}))
	check.NoErr(running.wait())
	late := lab.newest(leaving).Sub(leftAt)
	t.Logf("the last new work came %v after the engine began to leave", late)
	if late > leavingLimit {
		t.Errorf("the engine was sent new work %v after it began to leave", late)
	}
	check.True(time.Since(leftAt) > leavingLimit) // otherwise no work was placed after the limit
	lab.verify(running.conversations...)
}

// newest returns when the last stream reached an engine, accepted or rejected.
func (l *laboratory) newest(emulator *site.Emulator) time.Time {
	l.t.Helper()
	var truth engine.Truth
	is.New(l.t).NoErr(emulator.Get(l.ctx, engine.PathTruth, &truth))
	var newest time.Time
	for _, arrival := range truth.Arrivals {
		if arrival.Arrived.After(newest) {
			newest = arrival.Arrived
		}
	}
	return newest
}

// await polls a condition that has no notification.
func (l *laboratory) await(what string, condition func() bool) {
	l.t.Helper()
	ctx, cancel := context.WithTimeout(l.ctx, stopPatience)
	defer cancel()
	is.New(l.t).NoErr(site.Eventually(ctx, what, func(context.Context) error {
		if condition() {
			return nil
		}
		return fmt.Errorf("not yet")
	}))
}

func TestDisconnectedCallerRetriesThroughAnotherNode(t *testing.T) {
	check := is.New(t)
	lab := start(t, nil)
	c := lab.converse(lab.clientOf(lab.Nodes[0]))
	for turn := range 4 {
		key := fmt.Sprintf("%s/vanished/%d", c.id, turn)
		ctx, cancel := context.WithTimeout(lab.ctx, operationTime/4*time.Duration(turn+1))
		_ = c.act(ctx, key) // the caller disconnects, whatever the outcome
		cancel()
		if slices.Contains(c.ran, key) {
			continue // it was answered before it disconnected
		}
		other := lab.clientOf(lab.Nodes[(turn+1)%len(lab.Nodes)])
		c.branch = other.Branch(c.id, "", c.branch.Next())
		check.NoErr(c.act(lab.ctx, key))
		check.Equal(c.ran[len(c.ran)-1], key)
	}
	lab.verify(c)
}

func TestRacingOperatorsGetTrueResults(t *testing.T) {
	check := is.New(t)
	lab := start(t, nil)
	const racers, exitConflict = 4, 4
	codes := make([]int, racers)
	var group sync.WaitGroup
	for racer := range racers {
		text := strings.Replace(tableText, "200000", fmt.Sprint(300_000+racer), 1)
		path := filepath.Join(t.TempDir(), "table.csv")
		check.NoErr(os.WriteFile(path, []byte(text), 0o600))
		group.Go(func() {
			command := exec.CommandContext(lab.ctx, filepath.Join(programs, site.OperatorProgram),
				"--address", lab.Nodes[racer].Addresses.Operators.String(),
				"table", "publish", "--base", "1", "--author", fmt.Sprint(racer), path)
			output, _ := command.CombinedOutput() // the exit code reports the outcome
			codes[racer] = command.ProcessState.ExitCode()
			t.Logf("operator %d: exit code %d: %s", racer, codes[racer], output)
		})
	}
	group.Wait()
	winner := slices.Index(codes, 0)
	check.True(winner >= 0)
	for racer, code := range codes {
		check.True(racer == winner || code == exitConflict)
	}
	for _, node := range lab.Nodes {
		lab.await("version 2 on "+string(node.Name), func() bool {
			var shown operator.Table
			check.NoErr(lab.GetOperators(lab.ctx, node, "/v1/table", &shown))
			return shown.InForce == table.Version(2) && shown.Author == fmt.Sprint(winner)
		})
	}
}
