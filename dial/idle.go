package dial

import (
	"errors"
	"net"
	"syscall"
)

// errNotSent means that the peer had closed the connection before any part of the request was written.
var errNotSent = errors.New("dial: the peer had closed the connection; nothing was sent")

// idleCheck detects whether the peer has closed a connection that nobody reads.
type idleCheck struct {
	raw  syscall.RawConn
	peek func(fd uintptr)
	byte [1]byte
	n    int
	err  error
}

// newIdleCheck returns a check of a connection; without a socket the check never reports a close.
func newIdleCheck(conn net.Conn) *idleCheck {
	c := &idleCheck{}
	if s, ok := conn.(syscall.Conn); ok {
		c.raw, _ = s.SyscallConn()
	}
	c.peek = func(fd uintptr) {
		c.n, _, c.err = syscall.Recvfrom(int(fd), c.byte[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}
	return c
}

// closed reports whether the peer has closed or reset the connection. It consumes no
// bytes and does not wait.
func (c *idleCheck) closed() bool {
	if c.raw == nil || c.raw.Control(c.peek) != nil {
		return false // the next use returns the error
	}
	if c.err != nil {
		return !errors.Is(c.err, syscall.EAGAIN) && !errors.Is(c.err, syscall.EINTR)
	}
	return c.n == 0
}
