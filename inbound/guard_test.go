package inbound

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
)

// testServer is a server behind a guard. Its handler reads the body and takes memory for it.
type testServer struct {
	t       *testing.T
	guard   *Guard
	address string
	limits  atomic.Pointer[Limits]
	// entered receives a value for each request that was read; if release is not nil, the request
	// is answered when it is closed.
	entered chan struct{}
	release chan struct{}
}

const testHeadBytes = 16 << 10

func startServer(t *testing.T, budget Budget) *testServer {
	s := &testServer{t: t, entered: make(chan struct{}, 1000)}
	s.limits.Store(&Limits{HeadBytes: testHeadBytes, HeadTimeout: time.Minute, IdleTimeout: time.Minute, WriteTimeout: time.Minute})
	logger := &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}}
	s.guard = NewGuard(Options{Name: "test", Budget: budget, Limits: func() Limits { return *s.limits.Load() }}, logger, metrics.NewSet())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	srv := s.guard.Server(http.HandlerFunc(s.serve))
	go func() { _ = srv.Serve(s.guard.Listen(l)) }()
	t.Cleanup(func() { _ = srv.Close() })
	return s
}

func (s *testServer) serve(w http.ResponseWriter, r *http.Request) {
	body, err := ReadBody(w, r, 256<<10)
	if err == nil {
		err = Reserve(r.Context(), DecodeByteCost*int64(len(body)))
	}
	if err != nil {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.entered <- struct{}{}
	if s.release != nil {
		<-s.release
	}
	_, _ = fmt.Fprintf(w, "%d", len(body))
}

func (s *testServer) dial() net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	return c
}

// send sends a text on a connection of its own, which stays open.
func (s *testServer) send(text string) net.Conn {
	s.t.Helper()
	c := s.dial()
	_, _ = io.WriteString(c, text)
	return c
}

func request(body string, length int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

// status returns the status of the answer on a connection, 0 if there is none.
func status(c net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// wait waits for a condition that must hold at some time.
func (s *testServer) wait(what string, holds func() bool) {
	s.t.Helper()
	for end := time.Now().Add(30 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatal("never came: " + what)
		}
	}
}

func (s *testServer) unused() bool {
	connections, held := s.guard.usage()
	return connections == 0 && held == 0
}

// TestStalledRequestsGiveWay guards against clients that stop one byte short and thereby lock
// others out.
func TestStalledRequestsGiveWay(t *testing.T) {
	for name, budget := range map[string]Budget{
		"connections": {Connections: 4, Memory: 64 << 20},
		"memory":      {Connections: 100, Memory: 2 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, budget)
			for range 30 {
				s.send(request(strings.Repeat("x", 200_000), 200_001))
			}
			if got := status(s.send(request("body", 4))); got != http.StatusOK {
				t.Errorf("status %d", got)
			}
			if open, held := s.guard.usage(); open > budget.Connections || held > budget.Memory {
				t.Errorf("%d connections and %d bytes of %+v", open, held, budget)
			}
			s.wait("the bodies that don't fit are closed", func() bool {
				open, _ := s.guard.usage()
				return int64(open-1)*200_000 <= budget.Memory // one is the request that was answered
			})
		})
	}
}

// TestServedRequestIsAnswered guards against closing the connection of a request that was read as
// a whole. Clients that come while all connections are being served are turned away with 503.
func TestServedRequestIsAnswered(t *testing.T) {
	s := startServer(t, Budget{Connections: 2, Memory: 64 << 20})
	s.release = make(chan struct{})
	first, second := s.send(request("body", 4)), s.send(request("", 0))
	<-s.entered
	<-s.entered
	for range 10 {
		if got := status(s.dial()); got != http.StatusServiceUnavailable {
			t.Errorf("status %d of one client too many", got)
		}
	}
	close(s.release)
	for _, c := range []net.Conn{first, second} {
		if got := status(c); got != http.StatusOK {
			t.Errorf("status %d", got)
		}
	}
}

// TestHeadsAreBounded guards against heads larger than the limit, in one line or in many, and
// against refusing those that are not.
func TestHeadsAreBounded(t *testing.T) {
	for name, line := range map[string]string{"one line": "a:" + strings.Repeat("x", 14_000) + "\r\n", "many lines": strings.Repeat("a:\r\n", 3_500)} {
		s := startServer(t, Budget{Connections: 4, Memory: 4 << 20})
		if got := status(s.send("GET / HTTP/1.1\r\nHost: h\r\n" + line + "\r\n")); got != http.StatusOK {
			t.Errorf("%s inside the limit: status %d", name, got)
		}
		c := s.dial()
		go func() { _, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat(line, 100)) }()
		if got := status(c); got != http.StatusRequestHeaderFieldsTooLarge && got != 0 {
			t.Errorf("%s over the limit: status %d", name, got)
		}
		if _, held := s.guard.usage(); held > s.guard.budget.Memory {
			t.Errorf("%s: %d bytes held", name, held)
		}
	}
}

// TestLinesOfHeadsAreCounted guards against heads that take far more memory than they have bytes.
func TestLinesOfHeadsAreCounted(t *testing.T) {
	s := startServer(t, Budget{Connections: 100, Memory: 1 << 20})
	const heads, lines = 20, 3000
	for range heads {
		s.send("GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", lines))
	}
	s.wait("the heads that don't fit are closed", func() bool {
		open, _ := s.guard.usage()
		return int64(open-1)*lines*headLineCost <= s.guard.budget.Memory
	})
	if got := status(s.send(request("body", 4))); got != http.StatusOK {
		t.Errorf("status %d", got)
	}
}

// TestLimitsApplyToOpenConnections guards against a new configuration that only later connections
// heed.
func TestLimitsApplyToOpenConnections(t *testing.T) {
	s := startServer(t, Budget{Connections: 10, Memory: 4 << 20})
	for _, text := range []string{"", "POST / HT", request("x", 10)} {
		s.send(text)
	}
	s.wait("three connections", func() bool { n, _ := s.guard.usage(); return n == 3 })
	s.guard.sweep(time.Now())
	if n, _ := s.guard.usage(); n != 3 {
		t.Fatalf("%d connections are left", n)
	}
	s.limits.Store(&Limits{HeadBytes: testHeadBytes, HeadTimeout: time.Nanosecond, IdleTimeout: time.Nanosecond})
	s.wait("all connections closed", func() bool { s.guard.sweep(time.Now()); return s.unused() })
}

// TestMemoryIsGivenBack guards against requests whose memory still counts after their end, however
// they end.
func TestMemoryIsGivenBack(t *testing.T) {
	s := startServer(t, Budget{Connections: 10, Memory: 4 << 20})
	c := s.send(request("body", 4) + request("", 0) + request("more", 4)) // in a pipeline
	answers := bufio.NewReader(c)
	for range 3 {
		resp, err := http.ReadResponse(answers, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("%v, %v", resp, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	s.wait("nothing held between requests", func() bool { _, held := s.guard.usage(); return held == 0 })
	_, _ = io.WriteString(c, "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n") // net/http answers it without the handler
	if resp, err := http.ReadResponse(answers, nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", resp, err)
	}
	s.wait("nothing held after a request without the handler", func() bool { _, held := s.guard.usage(); return held == 0 })
	_ = c.Close()
	for _, text := range []string{"", "\r\n\r\n", "GET / HT", "nonsense\r\n\r\n", request("x", 100), request("", 1<<30), request("x", 1), "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"} {
		_ = s.send(text).Close()
	}
	s.wait("nothing held after all connections", s.unused)
}

// TestRunEnds guards against a loop that outlives its process's other parts.
func TestRunEnds(t *testing.T) {
	s := startServer(t, Budget{Connections: 1, Memory: 1 << 20})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := s.guard.Run(ctx); err != nil {
		t.Error(err)
	}
}
