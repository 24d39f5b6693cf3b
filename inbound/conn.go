package inbound

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"time"
)

// readBufferBytes is the size of net/http's buffer: up to that much of a connection may have been
// read beyond the head or the body that it follows.
const readBufferBytes = 4096

// refusalWriteTimeout bounds the write of an answer to a client that is turned away. The answer
// fits into an empty socket buffer.
const refusalWriteTimeout = 10 * time.Millisecond

// conn is a connection of a Guard. Its read and write methods are used by net/http.
type conn struct {
	net.Conn
	guard *Guard

	// The guard's lock guards what follows.
	progress progress
	// headBytes is the size of the head so far.
	headBytes int64
	// buffered is the cost of the lines in the last read, which may belong to the next head.
	buffered int64
	closed   bool
}

// Read implements net.Conn. It counts what was read before net/http sees it.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		if err := c.record(b[:n]); err != nil {
			return 0, err
		}
	}
	return n, err
}

// record counts bytes of the client.
func (c *conn) record(b []byte) error {
	now := time.Now()
	lines := headLineCost * int64(bytes.Count(b[:min(len(b), readBufferBytes)], []byte{'\n'}))
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	if c.progress.phase == phaseIdle {
		c.progress.enter(phaseHead, now)
	}
	c.progress.advance(len(b), now)
	if c.progress.phase != phaseHead {
		c.buffered = lines
		return nil
	}
	return c.recordHead(int64(len(b)), lines, now)
}

// recordHead counts bytes of a head. The lock is held.
func (c *conn) recordHead(n, lines int64, now time.Time) error {
	c.headBytes += n
	if limit := c.guard.limits().HeadBytes; limit > 0 && c.headBytes > limit+readBufferBytes {
		writeStatus(c.Conn, http.StatusRequestHeaderFieldsTooLarge)
		c.guard.close(c, closedLargeHead)
		return net.ErrClosed
	}
	cost := headByteCost*n + lines + c.buffered
	c.buffered = 0
	if err := c.guard.reserve(c, cost, now); err != nil {
		if !c.closed {
			writeStatus(c.Conn, http.StatusServiceUnavailable)
			c.guard.close(c, closedForMemory)
		}
		return err
	}
	return nil
}

// Write implements net.Conn. It records for how long the client does not read.
func (c *conn) Write(b []byte) (int, error) {
	c.setBlocked(time.Now())
	n, err := c.Conn.Write(b)
	c.setBlocked(time.Time{})
	return n, err
}

func (c *conn) setBlocked(since time.Time) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.progress.blocked = since
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.guard.mu.Lock()
	c.guard.remove(c)
	c.guard.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite lets net/http end an answer before it closes the connection.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// becomeIdle ends a request whose body was read to its end.
func (c *conn) becomeIdle() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.release(c)
	c.headBytes = 0
	c.progress.enter(phaseIdle, time.Now())
}

// writeStatus writes an answer to a client whose request was not read. Errors don't matter: the
// connection is closed next.
func writeStatus(c net.Conn, status int) {
	_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: 1\r\n"
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), retry)
}
