// Package dial opens TCP connections, and keeps HTTP connections, that detect
// when their peer falls silent: a connection can permanently stop carrying packets
// without a reset, while new ones to the same address work.
package dial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts of the detection of silent connections.
const (
	// AckTimeout is how long sent data may stay unacknowledged by the peer's
	// kernel. Round trips take 1 to 16 ms; a peer that is only slow to answer
	// still acknowledges.
	AckTimeout = 500 * time.Millisecond
	// probeIdle and probeInterval are the pauses before and between keep-alive
	// probes; a second is the minimum of Linux. The probes cover connections
	// that wait for an answer or are idle.
	probeIdle     = time.Second
	probeInterval = time.Second
	// probeCount is the number of unanswered probes that end a connection.
	probeCount = 2
)

// Dialer returns a dialer whose connections fail with an error once their
// peer is silent. timeout bounds the opening of a connection.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: setAckTimeout,
	}
}

// setAckTimeout sets TCP_USER_TIMEOUT, in milliseconds.
func setAckTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(AckTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
