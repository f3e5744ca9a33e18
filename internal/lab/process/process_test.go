package process

import (
	"errors"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const stopTimeout = 20 * time.Second

func startShell(t *testing.T, script string) *Process {
	t.Helper()
	started, err := Start(Command{
		Name: "shell", Program: "/bin/sh", Arguments: []string{"-c", script}, LogDirectory: t.TempDir(),
	})
	is.New(t).NoErr(err)
	t.Cleanup(started.Kill)
	return started
}

func TestReadyAndGracefulStop(t *testing.T) {
	check := is.New(t)
	started := startShell(t, `trap 'exit 0' TERM; echo noise; echo ready 127.0.0.9:80; while :; do sleep 0.01; done`)
	address, err := started.Ready(t.Context())
	check.NoErr(err)
	check.Equal(address, netip.MustParseAddrPort("127.0.0.9:80"))
	check.NoErr(started.Pause())
	check.NoErr(started.Resume())
	check.NoErr(started.Stop(stopTimeout))
	check.True(started.Stop(stopTimeout) != nil)
}

func TestReadyErrorIncludesOutputAndStatus(t *testing.T) {
	check := is.New(t)
	started := startShell(t, `echo the reason >&2; exit 3`)
	_, err := started.Ready(t.Context())
	check.True(err != nil && strings.Contains(err.Error(), "the reason") && strings.Contains(err.Error(), "exit status 3"))
}

func TestCrashFindsPanicsAndDataRaces(t *testing.T) {
	check := is.New(t)
	for script, crash := range map[string]string{
		`echo all is well`: "",
		`echo fine; echo 'http: panic serving 127.0.0.1: oh'`: "http: panic serving 127.0.0.1: oh",
		`echo 'WARNING: DATA RACE' >&2`:                       "WARNING: DATA RACE",
	} {
		started := startShell(t, script)
		<-started.Done()
		check.Equal(started.CrashLine(), crash)
	}
}

func TestStopKillsProcessAfterTimeout(t *testing.T) {
	check := is.New(t)
	started := startShell(t, `trap '' TERM; echo ready 127.0.0.9:80; while :; do sleep 0.01; done`)
	_, err := started.Ready(t.Context())
	check.NoErr(err)
	check.True(errors.Is(started.Stop(100*time.Millisecond), ErrStillRunning))
	<-started.Done()
}
