package dial

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// Transport is an http.RoundTripper with a pool of connections for each host.
// A call to a host that times out closes the host's idle connections: the cause
// often affects all of them, and each would cost another timeout.
type Transport struct {
	perHost     int
	idleTimeout time.Duration
	dialer      *net.Dialer

	mu    sync.Mutex // guards hosts
	hosts map[string]*host
}

// host is the connection pool of one address, with the time of its last use.
type host struct {
	pool     *http.Transport
	lastUsed time.Time
}

// NewTransport returns a Transport. perHost is the maximum number of idle connections
// that are kept to a host, each for at most idleTimeout.
func NewTransport(perHost int, dialTimeout, idleTimeout time.Duration) *Transport {
	return &Transport{
		perHost: perHost, idleTimeout: idleTimeout, dialer: Dialer(dialTimeout), hosts: map[string]*host{},
	}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	pool := t.pool(req.URL.Host)
	resp, err := pool.RoundTrip(req)
	if err != nil && timedOut(err) {
		pool.CloseIdleConnections()
	}
	return resp, err
}

// CloseIdleConnections closes the idle connections to all hosts.
func (t *Transport) CloseIdleConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.hosts {
		h.pool.CloseIdleConnections()
	}
}

// pool returns the pool of an address, and creates it if needed.
func (t *Transport) pool(address string) *http.Transport {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.hosts[address]
	if h == nil {
		t.removeUnused(now)
		h = &host{pool: &http.Transport{
			DialContext:         t.dialer.DialContext,
			MaxIdleConnsPerHost: t.perHost,
			IdleConnTimeout:     t.idleTimeout,
			DisableCompression:  true,
		}}
		t.hosts[address] = h
	}
	h.lastUsed = now
	return h.pool
}

// removeUnused removes the pools of addresses that were not called for so long
// that none of their connections can be open.
func (t *Transport) removeUnused(now time.Time) {
	for address, h := range t.hosts {
		if now.Sub(h.lastUsed) > 2*t.idleTimeout {
			h.pool.CloseIdleConnections()
			delete(t.hosts, address)
		}
	}
}

// timedOut reports whether a call failed because the peer was silent. A failed dial
// is excluded, as it proves nothing about open connections.
func timedOut(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return false
	}
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded) ||
		errors.Is(err, fasthttp.ErrTimeout) || errors.Is(err, syscall.ETIMEDOUT)
}
