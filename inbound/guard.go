// Package inbound bounds what the clients of an HTTP server can make its process hold: open
// connections, and the memory of heads, bodies and what they are decoded to. All connections of
// a Guard share one budget, so that the bound holds for any number of clients. When it is used
// up, the connection whose client makes the least progress is closed.
package inbound

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/phuslu/log"
)

// sweepInterval is how often connections are checked for timeouts.
const sweepInterval = 500 * time.Millisecond

// closeReason is why a connection was closed or refused, as in metrics and logs.
type closeReason string

// Reasons for which the guard closes connections.
const (
	// closedForConnection and closedForMemory: in favour of another client.
	closedForConnection closeReason = "connections"
	closedForMemory     closeReason = "memory"
	closedLargeHead     closeReason = "head_size"
	closedSlowHead      closeReason = "head_timeout"
	closedSlowBody      closeReason = "body_timeout"
	closedIdle          closeReason = "idle_timeout"
	closedUnread        closeReason = "answer_unread"
	// refusedConnection: none of the open connections could be closed for a new one.
	refusedConnection closeReason = "refused"
)

// ErrOverloaded means that a request needs more memory than is left, or that its connection was
// closed in favour of others. The request was not carried out.
const ErrOverloaded = errors.ConstError("no memory left for the request")

// Guard bounds the connections of one HTTP server.
type Guard struct {
	name   string
	budget Budget
	limits func() Limits
	log    *log.Logger
	set    *metrics.Set

	mu    sync.Mutex // guards what follows, and the fields of conn that say so
	conns map[*conn]struct{}
	held  int64
	// closed counts the connections closed since the last log line, by reason.
	closed map[closeReason]int
}

// Options are the settings of a Guard.
type Options struct {
	// Name is that of the listener in metrics and logs.
	Name   string
	Budget Budget
	// Limits returns those in force; they also apply to open connections.
	Limits func() Limits
}

// NewGuard returns a guard. Run applies its timeouts.
func NewGuard(o Options, logger *log.Logger, set *metrics.Set) *Guard {
	g := &Guard{
		name: o.Name, budget: o.Budget, limits: o.Limits, log: logger, set: set,
		conns: map[*conn]struct{}{}, closed: map[closeReason]int{},
	}
	set.NewGauge(`leverstile_inbound_connections{listener="`+o.Name+`"}`, func() float64 {
		open, _ := g.usage()
		return float64(open)
	})
	set.NewGauge(`leverstile_inbound_memory_bytes{listener="`+o.Name+`"}`, func() float64 {
		_, held := g.usage()
		return float64(held)
	})
	return g
}

func (g *Guard) usage() (connections int, held int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns), g.held
}

// Server returns an HTTP server for the handler. It must serve a listener of Listen.
func (g *Guard) Server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:     g.handler(handler),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState: func(c net.Conn, state http.ConnState) {
			if c, ok := c.(*conn); ok && state == http.StateIdle {
				c.becomeIdle()
			}
		},
		// The guard applies the limits in force, which may change, and these are only upper bounds.
		MaxHeaderBytes:    maxHeadBytes,
		ReadHeaderTimeout: maxTimeout, IdleTimeout: maxTimeout,
	}
}

// Bounds beyond which no limit is applied.
const (
	maxHeadBytes = 1 << 20
	maxTimeout   = 5 * time.Minute
)

// Listen returns a listener whose connections count against the budget.
func (g *Guard) Listen(l net.Listener) net.Listener { return &listener{l, g} }

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener. Connections that are refused are not returned.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if guarded := l.guard.admit(c); guarded != nil {
			return guarded, nil
		}
	}
}

// admit adds a connection, and closes another one for it if there are as many as the budget
// allows. It returns nil if no connection can be closed: all are being served.
func (g *Guard) admit(c net.Conn) *conn {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.conns) >= g.budget.Connections {
		victim := slowest(g.conns, now)
		if victim == nil {
			g.count(refusedConnection)
			writeStatus(c, http.StatusServiceUnavailable)
			_ = c.Close()
			return nil
		}
		g.close(victim, closedForConnection)
	}
	added := &conn{Conn: c, guard: g}
	added.progress.enter(phaseIdle, now)
	g.conns[added] = struct{}{}
	return added
}

// reserve takes memory for a connection's request, and closes other connections if there is too
// little left. The lock is held.
func (g *Guard) reserve(c *conn, n int64, now time.Time) error {
	for !c.closed && !fits(c.progress.held, n, g.held, g.budget.Memory) {
		victim := heaviest(g.conns, now)
		if victim == nil || victim == c {
			return ErrOverloaded
		}
		g.close(victim, closedForMemory)
	}
	if c.closed {
		return ErrOverloaded
	}
	c.progress.held += n
	g.held += n
	return nil
}

// release gives the memory of a connection's request back. The lock is held.
func (g *Guard) release(c *conn) {
	g.held -= c.progress.held
	c.progress.held = 0
}

// close closes a connection, which makes the goroutine that serves it end. The lock is held.
func (g *Guard) close(c *conn, reason closeReason) {
	g.count(reason)
	g.remove(c)
	_ = c.Conn.Close()
}

// remove takes a connection out of the budget. The lock is held.
func (g *Guard) remove(c *conn) {
	c.closed = true
	g.release(c)
	delete(g.conns, c)
}

func (g *Guard) count(reason closeReason) {
	g.closed[reason]++
	g.set.GetOrCreateCounter(`leverstile_inbound_closed_total{listener="` + g.name + `",reason="` + string(reason) + `"}`).Inc()
}

// Run closes connections that exceed a timeout, until ctx ends. It logs at most one line per
// sweep.
func (g *Guard) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			g.sweep(now)
		}
	}
}

func (g *Guard) sweep(now time.Time) {
	limits := g.limits()
	g.mu.Lock()
	for c := range g.conns {
		if reason := c.progress.overdue(limits, now); reason != "" {
			g.close(c, reason)
		}
	}
	closed, open, held := g.closed, len(g.conns), g.held
	if len(closed) > 0 {
		g.closed = map[closeReason]int{}
	}
	g.mu.Unlock()
	g.logClosed(closed, open, held)
}

// logClosed logs how many connections were closed. Idle ones are routine.
func (g *Guard) logClosed(closed map[closeReason]int, open int, held int64) {
	delete(closed, closedIdle)
	if len(closed) == 0 {
		return
	}
	e := g.log.Warn().Str("event", "connections_closed").Str("listener", g.name).Int("open", open).Int64("held_bytes", held)
	for reason, n := range closed {
		e = e.Int(string(reason), n)
	}
	e.Msg("")
}
