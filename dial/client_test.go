package dial

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

func testClient(t *testing.T, perHost int) *Client {
	t.Helper()
	return testClientWithLimits(t, Limits{PerHost: perHost, MaxAnswer: 1 << 20})
}

func testClientWithLimits(t *testing.T, limits Limits) *Client {
	t.Helper()
	c := NewClient(limits, time.Second, time.Minute)
	t.Cleanup(c.Abort)
	return c
}

func post(c *Client, address string, timeout time.Duration) (int, error) {
	status := 0
	_, err := c.Post(Call{Address: address, Path: "/x", Header: "X-Life", Value: "a", Body: []byte("{}"), Timeout: timeout},
		func(s int, _ []byte) { status = s })
	return status, err
}

// TestClientOneTimeoutForAllSilentConnections checks for Client what
// TestOneTimeoutForAllSilentConnections checks for Transport.
func TestClientOneTimeoutForAllSilentConnections(t *testing.T) {
	const connections = 5
	s := newSilentServer(t)
	c := testClient(t, connections)
	for s.accepted.Load() < connections { // open several at once
		var calls sync.WaitGroup
		for range connections {
			calls.Go(func() {
				if _, err := post(c, s.Addr().String(), time.Minute); err != nil {
					t.Error(err)
				}
			})
		}
		calls.Wait()
	}
	s.generation.Add(1)
	if _, err := post(c, s.Addr().String(), 200*time.Millisecond); err == nil {
		t.Fatal("a call on a silent connection was answered")
	}
	if _, err := post(c, s.Addr().String(), time.Minute); err != nil {
		t.Fatal(err)
	}
}

// TestFinalReadAfterDeadline: bytes that have arrived are read even if the process reads
// only after the deadline. Otherwise a late process drops working connections.
func TestFinalReadAfterDeadline(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := testClient(t, 1)
	conn, err := c.open(Dialer(time.Second), l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	if _, err := peer.Write([]byte("answer")); err != nil {
		t.Fatal(err)
	}
	awaitBytes(t, conn.(*clientConn).Conn.(*net.TCPConn))
	if err := conn.SetReadDeadline(time.Now().Add(-time.Second)); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, 16)
	if n, err := conn.Read(got); err != nil || string(got[:n]) != "answer" {
		t.Fatalf("%q, %v", got[:n], err)
	}
	if _, err := conn.Read(got); !timedOut(err) {
		t.Fatalf("the read from a silent peer returned %v", err)
	}
}

// awaitBytes returns once the kernel holds bytes to read.
func awaitBytes(t *testing.T, conn *net.TCPConn) {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Read(func(fd uintptr) bool {
		n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK)
		return err == nil && n > 0
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestClientRetriesOnConnectionsClosedWhileIdle: without the retry, the first call after
// a reset of all connections is lost.
func TestClientRetriesOnConnectionsClosedWhileIdle(t *testing.T) {
	served := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { served++ }))
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	c := testClient(t, 2)
	for n := 1; n <= 2; n++ {
		if status, err := post(c, address, time.Minute); err != nil || status != http.StatusOK || served != n {
			t.Fatalf("call %d: %d, %v, %d served", n, status, err, served)
		}
		srv.CloseClientConnections()
	}
}

// TestAbort: Abort ends a call that waits for its answer.
func TestAbort(t *testing.T) {
	arrived, gone := make(chan struct{}, maxCallAttempts), make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-gone
	}))
	defer srv.Close()
	defer close(gone)
	c := testClient(t, 1)
	failed := make(chan error)
	go func() {
		_, err := post(c, strings.TrimPrefix(srv.URL, "http://"), time.Hour)
		failed <- err
	}()
	<-arrived
	c.Abort()
	if err := <-failed; err == nil {
		t.Error("the call was answered")
	}
}

// TestCallsAfterAbort: the connections that Abort closed are not used again. An
// owner that was elected again in the same process within a millisecond reached
// no worker for 3.8 s, because each poll failed on another closed connection.
func TestCallsAfterAbort(t *testing.T) {
	const idle = 4
	var arrived sync.WaitGroup
	arrived.Add(idle)
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Test") == "together" {
			arrived.Done()
			arrived.Wait()
		}
	}))
	defer srv.Close()
	c := testClient(t, idle)
	call := Call{Address: strings.TrimPrefix(srv.URL, "http://"), Path: "/", Header: "X-Test", Value: "together", Timeout: time.Minute}
	var running sync.WaitGroup
	for range idle {
		running.Go(func() {
			if _, err := c.Post(call, func(int, []byte) {}); err != nil {
				t.Error(err)
			}
		})
	}
	running.Wait()
	c.Abort()
	call.Value = "alone"
	for i := range idle {
		if _, err := c.Post(call, func(int, []byte) {}); err != nil {
			t.Errorf("call %d after Abort: %v", i, err)
		}
	}
}

// TestAbortWhileDialling: a connection that was being opened during Abort is not used
// for the aborted call.
func TestAbortWhileDialling(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer srv.Close()
	c := testClient(t, 1)
	dialer := Dialer(time.Minute)
	dialer.Control = func(string, string, syscall.RawConn) error {
		c.Abort()
		return nil
	}
	if conn, err := c.open(dialer, strings.TrimPrefix(srv.URL, "http://")); err == nil {
		_ = conn.Close()
		t.Error("the connection is used")
	}
	if len(c.conns) != 0 {
		t.Errorf("%d connections are kept", len(c.conns))
	}
}

// TestAbortEndsDialling: after Abort the caller does not wait for a peer that is cut off.
func TestAbortEndsDialling(t *testing.T) {
	c := testClient(t, 1)
	dialer := Dialer(time.Hour)
	began := make(chan struct{})
	dialer.Control = nil
	dialer.ControlContext = func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
		close(began)
		<-ctx.Done()
		return ctx.Err()
	}
	failed := make(chan error)
	go func() {
		_, err := c.open(dialer, "127.0.0.1:1")
		failed <- err
	}()
	<-began
	c.Abort()
	select {
	case err := <-failed:
		if err == nil {
			t.Error("a connection was opened")
		}
	case <-time.After(30 * time.Second):
		t.Error("the connection is still being opened")
	}
}

// TestClientBoundsConnections: calls beyond the bound wait for a connection.
func TestClientBoundsConnections(t *testing.T) {
	const perHost, calls = 2, 8
	s := newSilentServer(t)
	c := testClient(t, perHost)
	var running sync.WaitGroup
	for range calls {
		running.Go(func() {
			if _, err := post(c, s.Addr().String(), time.Minute); err != nil {
				t.Error(err)
			}
		})
	}
	running.Wait()
	if n := s.accepted.Load(); n > perHost {
		t.Errorf("%d connections", n)
	}
}

// TestManyHostsShareDescriptors: with many hosts each gets fewer connections,
// but at least two.
func TestManyHostsShareDescriptors(t *testing.T) {
	for _, x := range []struct{ hosts, perHost, mostOpen, want int }{
		{2, 6, 20, 6}, {4, 6, 20, 5}, {8, 6, 20, 2}, {30, 6, 20, 2}, {30, 6, 0, 6},
	} {
		c := testClientWithLimits(t, Limits{PerHost: x.perHost, MostOpen: x.mostOpen, MaxAnswer: 1 << 20})
		var hosts []*fasthttp.HostClient
		for range x.hosts {
			h := &fasthttp.HostClient{MaxConns: x.perHost}
			hosts = append(hosts, h)
			c.addHost(h)
		}
		for i, h := range hosts {
			if h.MaxConns != x.want {
				t.Errorf("%+v: host %d may have %d connections", x, i, h.MaxConns)
			}
		}
	}
}

// TestOnceCallIsSentOnce: a call that must not be repeated reaches the peer once,
// also if its connection ends without an answer.
func TestOnceCallIsSentOnce(t *testing.T) {
	for _, once := range []bool{true, false} {
		var arrived atomic.Int32
		srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			arrived.Add(1)
			panic(http.ErrAbortHandler) // the connection ends without an answer
		}))
		srv.Config.ErrorLog = log.New(io.Discard, "", 0)
		c := testClient(t, 1)
		sent, err := c.Post(Call{Address: srv.Listener.Addr().String(), Path: "/x", Header: "X-Life", Value: "a", Timeout: time.Minute, Once: once}, func(int, []byte) {})
		want := maxCallAttempts
		if once {
			want = 1
		}
		if err == nil || sent != want || int(arrived.Load()) != want {
			t.Errorf("once %v: sent %d times, arrived %d times, want %d; %v", once, sent, arrived.Load(), want, err)
		}
		srv.Close()
	}
}

// TestOnceCallUsesOpenConnection: a call that must not be repeated arrives after the peer
// closed or reset all idle connections, because nothing was sent on them. Otherwise, after
// a network failure, starts at each worker get no answer, and the runs that they order wait
// until the worker's list shows whether they run.
func TestOnceCallUsesOpenConnection(t *testing.T) {
	for _, reset := range []bool{false, true} {
		var arrived atomic.Int32
		var mu sync.Mutex
		var conns []net.Conn
		srv := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
		srv.Config.ConnState = func(conn net.Conn, s http.ConnState) {
			if s == http.StateNew {
				mu.Lock()
				defer mu.Unlock()
				conns = append(conns, conn)
			}
		}
		srv.Start()
		c := testClient(t, 2)
		call := Call{Address: srv.Listener.Addr().String(), Path: "/x", Header: "X-Life", Value: "a", Body: []byte("{}"), Timeout: time.Minute, Once: true}
		const calls = 20
		for n := range calls {
			status := 0
			sent, err := c.Post(call, func(s int, _ []byte) { status = s })
			if err != nil || sent != 1 || status != http.StatusOK || int(arrived.Load()) != n+1 {
				t.Fatalf("reset %v, call %d: sent %d times, %d arrived, %d, %v", reset, n, sent, arrived.Load(), status, err)
			}
			mu.Lock()
			for _, conn := range conns {
				if reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				_ = conn.Close()
			}
			conns = nil
			mu.Unlock()
			awaitClosed(t, c)
		}
		srv.Close()
	}
}

// awaitClosed waits until the peer's close has arrived on all connections.
func awaitClosed(t *testing.T, c *Client) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		raw, err := conn.Conn.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		err = raw.Control(func(fd uintptr) {
			err := error(unix.EINTR)
			for err == unix.EINTR {
				_, err = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}, -1)
			}
			if err != nil {
				t.Error(err)
			}
		})
		if err != nil {
			t.Error(err)
		}
	}
}

// TestBroken: a refused connection and one that the peer closes count as broken, a silent
// one does not.
func TestBroken(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	closing := make(chan bool, 1)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if <-closing {
				_ = conn.Close()
			}
		}
	}()
	closing <- true
	close(closing) // later connections stay open and silent
	c := testClient(t, 1)
	call := Call{Address: l.Addr().String(), Path: "/x", Header: "X-Life", Value: "a", Body: []byte("{}"), Once: true, Timeout: 200 * time.Millisecond}
	if _, err := c.Post(call, func(int, []byte) {}); !Broken(err) || Refused(err) {
		t.Errorf("a connection that the peer closes: %v", err)
	}
	if _, err := c.Post(call, func(int, []byte) {}); err == nil || Broken(err) {
		t.Errorf("a silent connection: %v", err)
	}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = free.Close()
	call.Address = free.Addr().String()
	if _, err := c.Post(call, func(int, []byte) {}); !Broken(err) || !Refused(err) {
		t.Errorf("a port where nobody listens: %v", err)
	}
}

// TestRequestIsOneWrite: a start with its payload is sent with one system call, and arrives
// in one piece.
func TestRequestIsOneWrite(t *testing.T) {
	const payload = 4000 // bytes, the maximum of a job
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	first := make(chan int, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		n, _ := conn.Read(make([]byte, 1<<16))
		first <- n
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}()
	call := Call{Address: l.Addr().String(), Path: "/x", Header: "X-Life", Value: "a", Body: make([]byte, payload), Timeout: time.Minute}
	if _, err := testClient(t, 1).Post(call, func(int, []byte) {}); err != nil {
		t.Fatal(err)
	}
	if n := <-first; n <= payload {
		t.Errorf("the first read has %d bytes of a body of %d", n, payload)
	}
}
