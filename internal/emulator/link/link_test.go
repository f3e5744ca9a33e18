package link

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/sockets"
)

// arrivalTimeout bounds waits for expected events; silenceWindow is how long a test checks that nothing
// arrives.
const (
	arrivalTimeout = 10 * time.Second
	silenceWindow  = 100 * time.Millisecond
)

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

func echoTCP(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := sockets.Accept(func(connection net.Conn) { _, _ = io.Copy(connection, connection) })
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	return netip.MustParseAddrPort(listener.Addr().String())
}

func startTCP(t *testing.T, network *Network) (*Relay, net.Conn) {
	t.Helper()
	check := is.New(t)
	relay, err := network.RelayTCP(Route{From: "a", To: "b", Listen: anyPort, Target: echoTCP(t)})
	check.NoErr(err)
	t.Cleanup(func() { _ = relay.Close() })
	connection, err := net.Dial("tcp", relay.Address().String())
	check.NoErr(err)
	t.Cleanup(func() { _ = connection.Close() })
	return relay, connection
}

func silent(t *testing.T, connection net.Conn) {
	t.Helper()
	check := is.New(t)
	check.NoErr(connection.SetReadDeadline(time.Now().Add(silenceWindow)))
	_, err := connection.Read(make([]byte, 1))
	check.True(errors.Is(err, os.ErrDeadlineExceeded))
}

func receive(t *testing.T, connection net.Conn, want string) {
	t.Helper()
	check := is.New(t)
	check.NoErr(connection.SetReadDeadline(time.Now().Add(arrivalTimeout)))
	got := make([]byte, len(want))
	_, err := io.ReadFull(connection, got)
	check.NoErr(err)
	check.Equal(string(got), want)
}

func write(t *testing.T, connection net.Conn, text string) {
	t.Helper()
	_, err := connection.Write([]byte(text))
	is.New(t).NoErr(err)
}

func TestTCPStallsDuringCutAndContinues(t *testing.T) {
	network := NewNetwork(1)
	_, connection := startTCP(t, network)
	write(t, connection, "one")
	receive(t, connection, "one")
	network.Cut("a", "b")
	write(t, connection, "two")
	silent(t, connection)
	network.Heal("a", "b")
	receive(t, connection, "two")
}

func TestTCPCutOneWay(t *testing.T) {
	network := NewNetwork(1)
	_, connection := startTCP(t, network)
	write(t, connection, "one")
	receive(t, connection, "one")
	network.CutOneWay("b", "a")
	write(t, connection, "two")
	silent(t, connection)
	network.Heal("a", "b")
	receive(t, connection, "two")
}

func TestTCPConnectionsWaitWhileCut(t *testing.T) {
	network := NewNetwork(1)
	network.CutOneWay("b", "a")
	_, connection := startTCP(t, network)
	write(t, connection, "one")
	silent(t, connection)
	network.Heal("a", "b")
	receive(t, connection, "one")
}

func TestTCPDelayAndEnd(t *testing.T) {
	check := is.New(t)
	network := NewNetwork(1)
	network.Set("a", "b", Condition{Delay: 60 * time.Millisecond})
	network.Set("b", "a", Condition{Delay: 40 * time.Millisecond})
	_, connection := startTCP(t, network)
	started := time.Now()
	write(t, connection, "one")
	check.NoErr(connection.(*net.TCPConn).CloseWrite())
	receive(t, connection, "one")
	check.True(time.Since(started) >= 100*time.Millisecond)
	_, err := connection.Read(make([]byte, 1))
	check.True(errors.Is(err, io.EOF))
}

func TestCloseEndsHeldConnections(t *testing.T) {
	check := is.New(t)
	network := NewNetwork(1)
	relay, connection := startTCP(t, network)
	write(t, connection, "one")
	receive(t, connection, "one")
	network.Cut("a", "b")
	write(t, connection, "two")
	check.NoErr(relay.Close())
	check.NoErr(connection.SetReadDeadline(time.Now().Add(arrivalTimeout)))
	_, err := connection.Read(make([]byte, 1))
	check.True(err != nil && !errors.Is(err, os.ErrDeadlineExceeded))
}

func TestUDPIsDroppedByACut(t *testing.T) {
	check := is.New(t)
	echo, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(anyPort))
	check.NoErr(err)
	defer echo.Close()
	go func() {
		buffer := make([]byte, 100)
		for {
			count, caller, err := echo.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			_, _ = echo.WriteToUDPAddrPort(buffer[:count], caller)
		}
	}()
	network := NewNetwork(1)
	target := echo.LocalAddr().(*net.UDPAddr).AddrPort()
	relay, err := network.RelayUDP(Route{To: "b", Listen: anyPort, Target: target})
	check.NoErr(err)
	defer relay.Close()
	connection, err := net.Dial("udp", relay.Address().String())
	check.NoErr(err)
	defer connection.Close()
	write(t, connection, "one")
	receive(t, connection, "one")
	network.CutOneWay("127.0.0.1", "b")
	write(t, connection, "two")
	silent(t, connection)
	network.Set("127.0.0.1", "b", Condition{Delay: time.Millisecond})
	write(t, connection, "six")
	receive(t, connection, "six")
}
