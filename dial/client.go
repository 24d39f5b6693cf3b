package dial

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// Limits and timeouts of Client.
const (
	// finalReadGrace is how long a read continues after its deadline. Bytes that have
	// arrived by then are read at once; a round trip takes 1 to 16 ms. Without it, a
	// process that is itself late would take its own lateness for the peer's silence.
	finalReadGrace = 25 * time.Millisecond
	// maxCallAttempts bounds the attempts of a call whose connection turns out to
	// have been closed while it was idle: the other idle connections to the host are
	// closed before the second attempt, which opens a new one.
	maxCallAttempts = 2
	// headerBufferBytes is for the headers of an answer, which must fit;
	// requestBufferBytes is for a request, which is written in one piece if it fits.
	// Each call in progress uses one buffer of both kinds.
	headerBufferBytes  = 2048
	requestBufferBytes = 4608
	// minPerHost connections may be open to a host however many hosts there are:
	// one that waits for an answer, and one for other calls.
	minPerHost = 2
	// hostUnusedTimeout is the time after which an unused host no longer counts.
	hostUnusedTimeout = 2 * time.Minute
)

// Client makes short calls to many hosts, on connections that detect
// when their peer falls silent. It writes and reads in the calling goroutine,
// which takes half of the processor time that http.Client takes.
//
// A call that times out closes the idle connections to its host: the cause often
// affects all of them, and each would cost another timeout. A call has timed out
// only if nothing has arrived by the time the process reads; see finalReadGrace.
type Client struct {
	http    fasthttp.Client
	perHost int
	maxOpen int

	mu    sync.Mutex // guards what follows
	conns map[*clientConn]struct{}
	hosts []calledHost
	// dialling is cancelled by the next Abort.
	dialling     context.Context
	stopDialling context.CancelFunc
}

// calledHost is a host that was called, with the time of its first call.
type calledHost struct {
	*fasthttp.HostClient
	firstCall time.Time
}

// unused reports whether the host has had no connection and no call for hostUnusedTimeout.
func (h calledHost) unused(now time.Time) bool {
	return h.ConnsCount() == 0 && now.Sub(h.firstCall) > hostUnusedTimeout && now.Sub(h.LastUseTime()) > hostUnusedTimeout
}

// Call is a POST of a JSON body.
type Call struct {
	Address, Path string
	// Header and Value are one header in addition to the usual ones.
	Header, Value string
	Body          []byte
	// Once is set for a call that the client must not send again: a refusal proves
	// something only for the copy that it answers, and the caller counts copies.
	Once bool
	// Timeout bounds the call, opening a connection included.
	Timeout time.Duration
}

// Limits bound the resources of a Client.
type Limits struct {
	// PerHost is the maximum number of connections that are open to a host; further
	// calls to it wait for one. With many hosts it is lowered so that at most MostOpen
	// connections are open to all of them together, but not below two; a MostOpen of 0
	// is no bound.
	PerHost, MostOpen int
	// MaxAnswer is the maximum size of an answer's body in bytes.
	MaxAnswer int
}

// NewClient returns a client. An idle connection is kept for idleTimeout.
func NewClient(limits Limits, dialTimeout, idleTimeout time.Duration) *Client {
	c := &Client{perHost: limits.PerHost, maxOpen: limits.MostOpen, conns: map[*clientConn]struct{}{}}
	c.dialling, c.stopDialling = context.WithCancel(context.Background())
	dialer := Dialer(dialTimeout)
	c.http = fasthttp.Client{
		NoDefaultUserAgentHeader:  true,
		MaxConnsPerHost:           limits.PerHost,
		MaxConnWaitTimeout:        idleTimeout, // the call's own timeout is shorter
		MaxIdleConnDuration:       idleTimeout,
		MaxResponseBodySize:       limits.MaxAnswer,
		ReadBufferSize:            headerBufferBytes,
		WriteBufferSize:           requestBufferBytes,
		MaxIdemponentCallAttempts: 1, // Post retries itself, and reports how often it sent the call
		DialTimeout:               func(address string, _ time.Duration) (net.Conn, error) { return c.open(dialer, address) },
		ConfigureClient: func(host *fasthttp.HostClient) error {
			host.Transport = closingTransport{}
			c.addHost(host)
			return nil
		},
	}
	return c
}

// Post makes a call and passes its answer to read, which must not retain the
// body. After an error the call may have been carried out. Post returns how often
// the call was sent: after more than one copy, an answer is only about the last.
func (c *Client) Post(call Call, read func(status int, body []byte)) (sent int, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	call.buildRequest(req)
	sent, err = c.send(req, resp, call.attempts(), time.Now().Add(call.Timeout))
	if err != nil {
		return sent, err
	}
	read(resp.StatusCode(), resp.Body())
	return sent, nil
}

// attempts returns how often the client may send the call at most.
func (call *Call) attempts() int {
	if call.Once {
		return 1
	}
	return maxCallAttempts
}

// buildRequest writes the call into a request.
func (call *Call) buildRequest(req *fasthttp.Request) {
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set(call.Header, call.Value)
	req.URI().SetScheme("http")
	req.URI().SetHost(call.Address)
	req.URI().SetPath(call.Path)
	req.SetBodyRaw(call.Body)
}

// send sends a request, and sends it again if its connection turns out to be closed. An
// attempt whose connection was found closed before it was used does not count as sent.
func (c *Client) send(req *fasthttp.Request, resp *fasthttp.Response, attempts int, deadline time.Time) (sent int, err error) {
	for unsent := 0; sent < attempts && unsent < maxCallAttempts; {
		left := time.Until(deadline)
		if left <= 0 {
			return sent, fasthttp.ErrTimeout
		}
		req.SetTimeout(left)
		err = c.http.Do(req, resp)
		if errors.Is(err, errNotSent) {
			unsent++
			continue
		}
		sent++
		if err == nil || !closedWhileIdle(err) {
			return sent, err
		}
	}
	return sent, err
}

// addHost adds a host that is called for the first time, and divides MostOpen
// among all hosts in use. With six connections to each of 890 workers, an owner
// used 3,936 of its 4,100 descriptors.
func (c *Client) addHost(host *fasthttp.HostClient) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.hosts = slices.DeleteFunc(c.hosts, func(h calledHost) bool { return h.unused(now) })
	c.hosts = append(c.hosts, calledHost{host, now})
	if c.maxOpen <= 0 || len(c.hosts)*c.perHost <= c.maxOpen {
		return
	}
	most := max(c.maxOpen/len(c.hosts), minPerHost)
	for _, h := range c.hosts {
		h.SetMaxConns(most)
	}
}

// errAborted means that Abort was called while a connection was being opened.
var errAborted = errors.New("dial: the call was aborted")

// Abort aborts the calls in progress and closes all connections. Later calls
// open new ones.
func (c *Client) Abort() {
	c.mu.Lock()
	c.stopDialling()
	c.dialling, c.stopDialling = context.WithCancel(context.Background())
	open := make([]*clientConn, 0, len(c.conns))
	for conn := range c.conns {
		open = append(open, conn)
	}
	c.mu.Unlock()
	for _, conn := range open {
		conn.aborted.Store(true)
		_ = conn.Conn.Close() // its call gets the error
	}
	// The idle connections must leave the pool: each would fail a later call.
	c.http.CloseIdleConnections()
}

func (c *Client) dialContext() context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dialling
}

func (c *Client) open(dialer *net.Dialer, address string) (net.Conn, error) {
	ctx := c.dialContext()
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	cc := &clientConn{Conn: conn, client: c, idle: newIdleCheck(conn)}
	if !c.register(ctx, cc) {
		_ = conn.Close()
		return nil, errAborted
	}
	return cc, nil
}

// register records a connection for Abort. It returns false if Abort was called
// since the dial started: the context has ended then.
func (c *Client) register(ctx context.Context, conn *clientConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	c.conns[conn] = struct{}{}
	return true
}

// clientConn is a connection whose reads continue for finalReadGrace after the deadline,
// and which detects before a request that the peer has closed it.
type clientConn struct {
	net.Conn
	client  *Client
	aborted atomic.Bool
	idle    *idleCheck
	// answered is set from the first bytes of an answer until the next request. Only one
	// call at a time uses the connection.
	answered bool
}

// Write implements net.Conn. It fails with errNotSent if the peer closed the connection
// after the previous answer.
func (c *clientConn) Write(b []byte) (int, error) {
	if c.answered && c.idle.closed() {
		return 0, errNotSent
	}
	c.answered = false
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.answered = c.answered || n > 0
	if err != nil && c.aborted.Load() {
		return n, os.ErrDeadlineExceeded // a close by the peer would be retried
	}
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if err := c.Conn.SetReadDeadline(time.Now().Add(finalReadGrace)); err != nil {
		return 0, err
	}
	n, err = c.Conn.Read(b)
	c.answered = c.answered || n > 0
	return n, err
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	c.client.mu.Lock()
	delete(c.client.conns, c)
	c.client.mu.Unlock()
	return c.Conn.Close()
}

// closingTransport closes the idle connections of a host after a call that failed
// in a way that probably affects all of them.
type closingTransport struct{}

// RoundTrip implements fasthttp.RoundTripper.
func (closingTransport) RoundTrip(host *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (bool, error) {
	retry, err := fasthttp.DefaultTransport.RoundTrip(host, req, resp)
	if err != nil && (timedOut(err) || closedWhileIdle(err)) {
		host.CloseIdleConnections()
	}
	return retry, err
}

// closedWhileIdle reports whether the peer had closed the connection, possibly
// while it was idle.
func closedWhileIdle(err error) bool {
	return errors.Is(err, errNotSent) || errors.Is(err, io.EOF) || errors.Is(err, fasthttp.ErrConnectionClosed) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Refused reports whether a call failed because its connection was refused, so that
// nothing was sent.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Broken reports whether a call failed because its connection was refused, closed or reset,
// so that the process at the other end may have ended; a peer that is cut off stays silent.
func Broken(err error) bool {
	return err != nil && (closedWhileIdle(err) || Refused(err))
}
