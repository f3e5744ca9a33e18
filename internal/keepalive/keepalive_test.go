package keepalive

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDialerSetsSocketOptions(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	conn, err := Dialer(time.Second).Dial("tcp4", listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	option := func(level, name int) int {
		value := 0
		is.NoErr(raw.Control(func(descriptor uintptr) { value, err = syscall.GetsockoptInt(int(descriptor), level, name) }))
		is.NoErr(err)
		return value
	}
	is.Equal(option(syscall.IPPROTO_TCP, tcpUserTimeout), 1200)
	is.Equal(option(syscall.SOL_SOCKET, syscall.SO_KEEPALIVE), 1)
	is.Equal(option(syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE), 1)
	is.Equal(option(syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL), 1)
	is.Equal(option(syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT), 1)
}
