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

// Figures of Client.
const (
	// lastLook is how long a read goes on after its deadline. Bytes that have
	// arrived by then are taken at once; a round trip takes 1 to 16 ms. It
	// keeps a process that is itself late from taking its own lateness for the
	// peer's silence.
	lastLook = 25 * time.Millisecond
	// callAttempts bounds the tries of a call whose connection turns out to
	// have been closed while it was idle: the other idle ones of the host are
	// closed before the second try, which opens a new one.
	callAttempts = 2
	// headerBuffer is for the headers of an answer, which must fit; requestBuffer
	// is for a request, which is written in one piece if it fits. Each call under
	// way holds one of both.
	headerBuffer  = 2048
	requestBuffer = 4608
	// leastPerHost connections are open to a host however many hosts there are:
	// one that waits for an answer, and one for other calls.
	leastPerHost = 2
	// hostForgotten is the time after which an unused host counts no more.
	hostForgotten = 2 * time.Minute
)

// Client makes short calls to many hosts, on connections that notice
// when their peer falls silent. It writes and reads in the calling goroutine,
// which takes half of the processor time that http.Client takes.
//
// A call that times out closes the idle connections to its host: what silenced
// one of them has often silenced all, and each would cost another timeout. A
// call has timed out only if nothing has arrived when the process gets to look;
// see lastLook.
type Client struct {
	http     fasthttp.Client
	perHost  int
	mostOpen int

	mu    sync.Mutex // guards what follows
	conns map[*clientConn]struct{}
	hosts []calledHost
	// dialling ends with the next Abort.
	dialling     context.Context
	stopDialling context.CancelFunc
}

// calledHost is a host that was called, and since when.
type calledHost struct {
	*fasthttp.HostClient
	since time.Time
}

// unused reports whether the host has had no connection and no call for long.
func (h calledHost) unused(now time.Time) bool {
	return h.ConnsCount() == 0 && now.Sub(h.since) > hostForgotten && now.Sub(h.LastUseTime()) > hostForgotten
}

// Call is a POST of a JSON body.
type Call struct {
	Address, Path string
	// Header and Value are one header beside the usual ones.
	Header, Value string
	Body          []byte
	// Once is set for a call that must not be sent again by the client: what a
	// refusal of it proves holds for one copy only, and the caller counts copies.
	Once bool
	// Timeout bounds the call, opening a connection included.
	Timeout time.Duration
}

// Limits bound what a Client holds.
type Limits struct {
	// PerHost is the most connections that are open to a host; further calls to
	// it wait for one. With many hosts it is lowered so that MostOpen are open to
	// all of them together, but not below two; 0 is no bound.
	PerHost, MostOpen int
	// MaxAnswer is the most bytes of an answer's body.
	MaxAnswer int
}

// NewClient returns a client. An idle connection is kept for idleTimeout.
func NewClient(limits Limits, dialTimeout, idleTimeout time.Duration) *Client {
	c := &Client{perHost: limits.PerHost, mostOpen: limits.MostOpen, conns: map[*clientConn]struct{}{}}
	c.dialling, c.stopDialling = context.WithCancel(context.Background())
	dialer := Dialer(dialTimeout)
	c.http = fasthttp.Client{
		NoDefaultUserAgentHeader:  true,
		MaxConnsPerHost:           limits.PerHost,
		MaxConnWaitTimeout:        idleTimeout, // the call's own timeout is shorter
		MaxIdleConnDuration:       idleTimeout,
		MaxResponseBodySize:       limits.MaxAnswer,
		ReadBufferSize:            headerBuffer,
		WriteBufferSize:           requestBuffer,
		MaxIdemponentCallAttempts: 1, // Post tries again, and tells so
		DialTimeout:               func(address string, _ time.Duration) (net.Conn, error) { return c.open(dialer, address) },
		ConfigureClient: func(host *fasthttp.HostClient) error {
			host.Transport = closingTransport{}
			c.addHost(host)
			return nil
		},
	}
	return c
}

// Post makes a call and passes its answer to read, which must not keep the
// body. After an error the call may have been carried out. Post returns how often
// the call was sent: after more than once, an answer speaks of the last copy only.
func (c *Client) Post(call Call, read func(status int, body []byte)) (sent int, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	call.fill(req)
	sent, err = c.send(req, resp, call.attempts(), time.Now().Add(call.Timeout))
	if err != nil {
		return sent, err
	}
	read(resp.StatusCode(), resp.Body())
	return sent, nil
}

// attempts returns how often the client may send the call.
func (call *Call) attempts() int {
	if call.Once {
		return 1
	}
	return callAttempts
}

// fill writes the call into a request.
func (call *Call) fill(req *fasthttp.Request) {
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set(call.Header, call.Value)
	req.URI().SetScheme("http")
	req.URI().SetHost(call.Address)
	req.URI().SetPath(call.Path)
	req.SetBodyRaw(call.Body)
}

// send sends a request, and again while its connection turns out to be closed. A try whose
// connection was found closed before it was used counts as none.
func (c *Client) send(req *fasthttp.Request, resp *fasthttp.Response, attempts int, deadline time.Time) (sent int, err error) {
	for unsent := 0; sent < attempts && unsent < callAttempts; {
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

// addHost counts a host that is called for the first time, and divides MostOpen
// among all hosts in use. An owner of 890 workers had 3,936 of its 4,100
// descriptors in use with six connections to each.
func (c *Client) addHost(host *fasthttp.HostClient) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.hosts = slices.DeleteFunc(c.hosts, func(h calledHost) bool { return h.unused(now) })
	c.hosts = append(c.hosts, calledHost{host, now})
	if c.mostOpen <= 0 || len(c.hosts)*c.perHost <= c.mostOpen {
		return
	}
	most := max(c.mostOpen/len(c.hosts), leastPerHost)
	for _, h := range c.hosts {
		h.SetMaxConns(most)
	}
}

// errAborted: Abort came while a connection was being opened.
var errAborted = errors.New("dial: the call was broken off")

// Abort breaks off the calls under way and closes all connections. Later calls
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
		_ = conn.Conn.Close() // its call sees the error
	}
	// The idle ones must leave the pool: each would cost a later call.
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

// register makes a connection known to Abort. It reports false if Abort was called
// since the connection began to be opened: the context has ended then.
func (c *Client) register(ctx context.Context, conn *clientConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	c.conns[conn] = struct{}{}
	return true
}

// clientConn is a connection whose reads have a last look, and which notices before a
// request that the peer has closed it.
type clientConn struct {
	net.Conn
	client  *Client
	aborted atomic.Bool
	idle    *idleCheck
	// answered is set from the first bytes of an answer to the next request. One call at a
	// time uses the connection.
	answered bool
}

// Write implements net.Conn. It fails with errNotSent if the peer closed the connection
// after the answer before.
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
		return n, os.ErrDeadlineExceeded // not taken for a close by the peer, which is tried again
	}
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if err := c.Conn.SetReadDeadline(time.Now().Add(lastLook)); err != nil {
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

// closingTransport closes the idle connections of a host after a call that says
// something of all of them.
type closingTransport struct{}

// RoundTrip implements fasthttp.RoundTripper.
func (closingTransport) RoundTrip(host *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (bool, error) {
	retry, err := fasthttp.DefaultTransport.RoundTrip(host, req, resp)
	if err != nil && (timedOut(err) || closedWhileIdle(err)) {
		host.CloseIdleConnections()
	}
	return retry, err
}

// closedWhileIdle reports whether the peer had closed the connection, which it
// may have done while nobody used it.
func closedWhileIdle(err error) bool {
	return errors.Is(err, errNotSent) || errors.Is(err, io.EOF) || errors.Is(err, fasthttp.ErrConnectionClosed) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Refused reports whether a call failed because its connection was refused: nothing of it was
// sent.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Broken reports whether a call failed because its connection was refused or broken off,
// so that the process at the other end may have ended; a peer that is cut off is silent.
func Broken(err error) bool {
	return err != nil && (closedWhileIdle(err) || Refused(err))
}
