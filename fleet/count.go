package fleet

import (
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	sent, read *metrics.Counter
}

// CountConn returns conn with all its bytes counted, headers included, because
// control traffic has a limit. A nil conn stays nil.
func CountConn(conn net.Conn, sent, read *metrics.Counter) net.Conn {
	if conn == nil {
		return nil
	}
	return &countedConn{conn, sent, read}
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(n)
	return n, err
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(n)
	return n, err
}

// CountListener counts the bytes of all connections that it accepts.
type CountListener struct {
	net.Listener
	Sent, Read *metrics.Counter
}

// Accept implements net.Listener.
func (l *CountListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return CountConn(conn, l.Sent, l.Read), err
}
