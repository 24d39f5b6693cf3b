package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"leverstile.dev/router"
)

// HeaderNotRun is set by an endpoint on a 503 answer to state that it did not
// start the request and why: "full" or "leaving".
const HeaderNotRun = "Leverstile-Not-Run"

// Values of HeaderNotRun.
const (
	notRunFull    = "full"
	notRunLeaving = "leaving"
)

// transport sends requests to the endpoints of one service.
type transport struct {
	mu sync.RWMutex
	rt *http.Transport
}

func newTransport() *transport { return &transport{rt: newRoundTripper(0)} }

func newRoundTripper(limit int) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxConnsPerHost:     limit,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
}

// setLimit bounds the number of connections to each endpoint.
func (t *transport) setLimit(limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rt.MaxConnsPerHost == limit {
		return
	}
	old := t.rt
	t.rt = newRoundTripper(limit)
	old.CloseIdleConnections()
}

func (t *transport) current() *http.Transport {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.rt
}

func (t *transport) close() { t.current().CloseIdleConnections() }

// unrewindableBody is a request body that can't be rewound. After a connection error
// net/http automatically retries a request if the method is safe or an
// Idempotency-Key is set, and the body is empty or can be rewound. With this
// body it never does, as the router decides on retries.
type unrewindableBody struct{ io.Reader }

// Close implements io.Closer.
func (unrewindableBody) Close() error { return nil }

// attemptResult is the start of an endpoint's answer, or the reason for its absence.
type attemptResult struct {
	resp *http.Response
	kind router.Kind
	err  error
}

// attempt sends one request to one endpoint. An error is classified by what it
// proves: if there was no connection, nothing was sent; otherwise the outcome
// is unknown.
func (t *transport) attempt(ctx context.Context, req *http.Request) attemptResult {
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	resp, err := t.current().RoundTrip(req.WithContext(ctx))
	if err != nil {
		if connected {
			return attemptResult{kind: router.Lost, err: errors.Trace(err)}
		}
		return attemptResult{kind: router.Unsent, err: errors.Trace(err)}
	}
	return attemptResult{resp: resp, kind: classify(resp)}
}

func classify(resp *http.Response) router.Kind {
	if resp.StatusCode == http.StatusServiceUnavailable {
		switch resp.Header.Get(HeaderNotRun) {
		case notRunFull:
			return router.Refused
		case notRunLeaving:
			return router.Leaving
		}
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return router.Fault
	}
	return router.Answered
}

// hopByHop are the headers that apply to a single connection (RFC 9110, section
// 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyHeaders copies all headers that are not hop-by-hop.
func copyHeaders(dst, src http.Header) {
	drop := map[string]bool{}
	for _, h := range hopByHop {
		drop[h] = true
	}
	for _, v := range src["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			drop[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range src {
		if !drop[name] {
			dst[name] = append([]string(nil), values...)
		}
	}
}
