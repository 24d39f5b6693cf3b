package soak

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"leverstile.dev/platform/wiretest"
)

// crowds enables the tests of this file, which measure the memory of processes and therefore
// run apart from other tests.
var crowds = flag.Bool("soak.crowds", false, "run the tests of crowds of clients that don't behave")

// Limits of the processes under test, and size of the crowds.
const (
	crowdMemoryMB    = 96
	crowdDescriptors = 700
	crowdSize        = 450
	crowdTime        = 6 * time.Second
	maxHead          = 16_384
	maxBody          = 262_144
	// hangTimeout bounds waits for what must happen at some time.
	hangTimeout = 60 * time.Second
)

const crowdSettings = `node = %q
zone = "a"
ip = "127.0.0.1"
internal_ports = [%d, %d]
[listen_addresses]
front = %q
ready = %q
[limits]
cpu_share = 0.4
memory_mb = %d
max_fds = %d
[platform]
address = %q
min_ttl_ms = 1000
[bounds]
grace_s = 4
max_hold_ms = 6000
stop_timeout_ms = 900
harm_ms = 4000
contact_ms = 3000
thaw_slack_ms = 300
status_s = 120
pace_ms = 100
`

const crowdConfig = `{"version":%d,"routes":[
{"name":"q","host":"h.example","path_prefix":"/a/","timeout_ms":3000,"target_latency_ms":4000,"priority":0,"service":"svc","max_attempts":3,"stretch":6}],
"services":[{"name":"svc","admission_check":true}],
"limits":{"max_header_bytes":%d,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// crowdCell is a store, two workers and the processes that a crowd calls.
type crowdCell struct {
	t      *testing.T
	binary string
	store  *wiretest.Store
	log    *os.File
	nodes  []*crowdNode
	jobs   atomic.Uint64
}

// crowdNode is a process that a crowd calls.
type crowdNode struct {
	name                         string
	front, ready, peers, metrics string
	cmd                          *exec.Cmd
	done                         chan struct{}
	descriptors                  atomic.Int64 // the most that were open
}

// TestMain removes the program that crowdBinary has built.
func TestMain(m *testing.M) {
	code := m.Run()
	if *crowds {
		if binary, err := crowdBinary(); err == nil {
			_ = os.RemoveAll(filepath.Dir(binary))
		}
	}
	os.Exit(code)
}

// crowdBinary builds the program once for all tests.
var crowdBinary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "leverstile-crowd-")
	if err != nil {
		return "", err
	}
	binary := filepath.Join(dir, "leverstile")
	out, err := exec.Command("go", "build", "-o", binary, "leverstile.dev/cmd/leverstile").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return binary, nil
})

func newCrowdCell(t *testing.T, nodes, memoryMB, descriptors int) *crowdCell {
	t.Helper()
	if !*crowds || testing.Short() {
		t.Skip("needs -soak.crowds, apart from other load")
	}
	binary, err := crowdBinary()
	if err != nil {
		t.Fatal(err)
	}
	c := &crowdCell{t: t, binary: binary, store: wiretest.NewStore()}
	c.configure(1, maxHead, maxBody)
	if c.log, err = os.CreateTemp("", "crowd-*.log"); err != nil {
		t.Fatal(err)
	}
	for i := range 2 {
		w := wiretest.StartWorker(c.store, wiretest.WorkerOptions{ID: fmt.Sprintf("i-%d", i), Service: "svc", CPU: 16_000, MemoryMB: 64_000, Work: func(string) time.Duration { return 10 * time.Millisecond }})
		t.Cleanup(w.Server.Close)
	}
	t.Cleanup(c.close)
	for i := range nodes {
		c.startNode(i, memoryMB, descriptors)
	}
	for _, n := range c.nodes {
		c.serveOne(n, "before the crowd")
	}
	return c
}

func (c *crowdCell) configure(version, head, body int) {
	c.store.Put("op/config", fmt.Appendf(nil, crowdConfig, version, head, body))
}

func (c *crowdCell) startNode(i, memoryMB, descriptors int) {
	c.t.Helper()
	address := func() string { return fmt.Sprintf("127.0.0.1:%d", freePort(c.t)) }
	metricsPort, peersPort := freePort(c.t), freePort(c.t)
	n := &crowdNode{
		name: fmt.Sprintf("entry-%d", i), front: address(), ready: address(), done: make(chan struct{}),
		peers: fmt.Sprintf("127.0.0.1:%d", peersPort), metrics: fmt.Sprintf("127.0.0.1:%d", metricsPort),
	}
	file := filepath.Join(c.t.TempDir(), "node.toml")
	text := fmt.Sprintf(crowdSettings, n.name, peersPort, peersPort+1, n.front, n.ready, memoryMB, descriptors, c.store.Address())
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	n.cmd = exec.Command(c.binary, "node", "--metrics-port", strconv.Itoa(metricsPort))
	n.cmd.Env = append(os.Environ(), "LEVERSTILE_BOOT="+file)
	n.cmd.Stdout, n.cmd.Stderr = c.log, c.log
	if err := n.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	go func() { _ = n.cmd.Wait(); close(n.done) }()
	go n.countDescriptors()
	c.nodes = append(c.nodes, n)
}

// countDescriptors samples how many descriptors the process has open, until it ends.
func (n *crowdNode) countDescriptors() {
	dir := fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid)
	for {
		select {
		case <-n.done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		if open, err := os.ReadDir(dir); err == nil && int64(len(open)) > n.descriptors.Load() {
			n.descriptors.Store(int64(len(open)))
		}
	}
}

// peakMemory returns the most memory that the process has had resident, in bytes.
func (n *crowdNode) peakMemory() (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kib, err := strconv.ParseInt(fields[1], 10, 64)
			return kib << 10, err
		}
	}
	return 0, io.ErrUnexpectedEOF
}

func (n *crowdNode) alive() bool {
	select {
	case <-n.done:
		return false
	default:
		return true
	}
}

func (c *crowdCell) close() {
	for _, n := range c.nodes {
		_ = n.cmd.Process.Kill()
		<-n.done
	}
	c.store.Server.CloseClientConnections()
	c.store.Server.Close()
	_ = c.log.Close()
	if c.t.Failed() {
		c.t.Logf("logs of the processes: %s", c.log.Name())
		return
	}
	_ = os.Remove(c.log.Name())
}

// jobID returns the id of a job that was not submitted yet.
func (c *crowdCell) jobID() string { return fmt.Sprintf("%016x", 0xabc<<32+c.jobs.Add(1)) }

const ordinaryJob = `{"spec":"x","steps":[{"count":1,"cpu":500,"mem_mb":256,"estimated_ms":10}]}`

// serveOne submits an ordinary job until it is accepted, as its caller would.
func (c *crowdCell) serveOne(n *crowdNode, when string) {
	c.t.Helper()
	id, status := c.jobID(), 0
	for end := time.Now().Add(hangTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if !n.alive() {
			c.t.Errorf("%s has ended %s", n.name, when)
			return
		}
		var err error
		if status, err = submitOnce(n.front, id, ordinaryJob); err == nil && status == http.StatusOK {
			return
		}
	}
	c.t.Errorf("%s: an ordinary job was not accepted %s, the last status is %d", n.name, when, status)
}

// submitOnce submits a job on a connection of its own.
func submitOnce(address, id, body string) (status int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/a/"+id, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Host, req.Close = "h.example", true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// check requires that all processes live within their limits.
func (c *crowdCell) check(memoryMB, descriptors int) {
	c.t.Helper()
	for _, n := range c.nodes {
		if !n.alive() {
			c.t.Errorf("%s has ended", n.name)
			continue
		}
		peak, err := n.peakMemory()
		if err != nil {
			c.t.Error(err)
		}
		c.t.Logf("%s: peak of memory %d MB, %d descriptors", n.name, peak/1e6, n.descriptors.Load())
		if peak > int64(memoryMB)*1e6 {
			c.t.Errorf("%s: peak of memory %d MB, limit %d", n.name, peak/1e6, memoryMB)
		}
		if n.descriptors.Load() > int64(descriptors) {
			c.t.Errorf("%s: %d descriptors, limit %d", n.name, n.descriptors.Load(), descriptors)
		}
	}
}

// crowd runs clients that call an address, each again once its connection has ended.
type crowd struct {
	stop    context.CancelFunc
	ctx     context.Context
	running sync.WaitGroup
}

// crowdClient uses one connection. It returns when the connection has ended or ctx has.
type crowdClient func(ctx context.Context, conn net.Conn)

func startCrowd(size int, address string, c crowdClient) *crowd {
	x := &crowd{}
	x.ctx, x.stop = context.WithCancel(context.Background())
	for range size {
		x.running.Go(func() {
			for x.ctx.Err() == nil {
				x.connect(address, c)
				select {
				case <-x.ctx.Done():
				case <-time.After(50 * time.Millisecond):
				}
			}
		})
	}
	return x
}

func (x *crowd) connect(address string, c crowdClient) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(x.ctx, func() { _ = conn.Close() })()
	c(x.ctx, conn)
}

func (x *crowd) end() {
	x.stop()
	x.running.Wait()
}

// withCrowd runs a crowd against the first process, and an ordinary caller beside it and after it.
func (c *crowdCell) withCrowd(size int, address string, cl crowdClient) {
	c.t.Helper()
	x := startCrowd(size, address, cl)
	time.Sleep(crowdTime)
	for _, n := range c.nodes {
		c.serveOne(n, "beside the crowd")
	}
	x.end()
	for _, n := range c.nodes {
		c.serveOne(n, "after the crowd")
	}
	c.check(crowdMemoryMB, crowdDescriptors)
}

// TestCrowd guards against clients that make a process exceed its memory or its descriptors, or
// that lock ordinary callers out.
func TestCrowd(t *testing.T) {
	for _, kind := range crowdKinds {
		t.Run(kind.name, func(t *testing.T) {
			c := newCrowdCell(t, 1, crowdMemoryMB, crowdDescriptors)
			size := crowdSize
			if kind.size > 0 {
				size = kind.size
			}
			c.withCrowd(size, c.nodes[0].front, kind.client(c))
		})
	}
}

// TestCrowdElsewhere guards against clients that call the addresses which serve no customers.
func TestCrowdElsewhere(t *testing.T) {
	for _, at := range []struct {
		name    string
		address func(*crowdNode) string
	}{
		{"ready", func(n *crowdNode) string { return n.ready }},
		{"peers", func(n *crowdNode) string { return n.peers }},
		{"metrics", func(n *crowdNode) string { return n.metrics }},
	} {
		for _, kind := range []string{"connections", "large_heads", "whole_bodies"} {
			t.Run(at.name+"_"+kind, func(t *testing.T) {
				c := newCrowdCell(t, 1, crowdMemoryMB, crowdDescriptors)
				size, cl := crowdSize, crowdClient(sendLargeHead)
				switch kind {
				case "connections":
					size, cl = 3*crowdDescriptors, hold
				case "whole_bodies":
					cl = sendPeerBody
				}
				c.withCrowd(size, at.address(c.nodes[0]), cl)
			})
		}
	}
}

// TestCrowdAtPlainEntry guards against an owner that exceeds its limits by what a plain entry
// passes on.
func TestCrowdAtPlainEntry(t *testing.T) {
	for _, name := range []string{"large_jobs", "pipeline"} {
		t.Run(name, func(t *testing.T) {
			c := newCrowdCell(t, 2, crowdMemoryMB, crowdDescriptors)
			plain := c.nodes[0]
			if value, ok := c.store.Value("ls/own/lead"); ok && bytes.Contains(value, []byte(plain.name)) {
				plain = c.nodes[1]
			}
			c.withCrowd(crowdSize, plain.front, kindNamed(name).client(c))
		})
	}
}

// TestCrowdDrains guards against a process that does not end at SIGTERM while clients keep their
// connections open.
func TestCrowdDrains(t *testing.T) {
	for _, name := range []string{"idle", "held_bodies", "pipeline"} {
		t.Run(name, func(t *testing.T) {
			c := newCrowdCell(t, 1, crowdMemoryMB, crowdDescriptors)
			n := c.nodes[0]
			x := startCrowd(crowdSize, n.front, kindNamed(name).client(c))
			defer x.end()
			time.Sleep(crowdTime)
			c.check(crowdMemoryMB, crowdDescriptors)
			_ = n.cmd.Process.Signal(syscall.SIGTERM)
			select {
			case <-n.done:
			case <-time.After(hangTimeout):
				t.Error("the process has not ended")
			}
		})
	}
}

// TestCrowdWhileLimitsFall guards against limits that a new configuration lowers only for new
// connections.
func TestCrowdWhileLimitsFall(t *testing.T) {
	c := newCrowdCell(t, 1, crowdMemoryMB, crowdDescriptors)
	n := c.nodes[0]
	x := startCrowd(crowdSize, n.front, kindNamed("slow_bodies").client(c))
	time.Sleep(crowdTime / 2)
	c.configure(2, maxHead/4, maxBody/16)
	time.Sleep(crowdTime / 2)
	c.serveOne(n, "beside the crowd")
	x.end()
	c.serveOne(n, "after the crowd")
	c.check(crowdMemoryMB, crowdDescriptors)
}

// TestLegalRequestsAreServed guards against limits that a single request inside the limits of
// the configuration meets, also in a process with little memory.
func TestLegalRequestsAreServed(t *testing.T) {
	const littleMemoryMB, fewDescriptors = 48, 128
	c := newCrowdCell(t, 1, littleMemoryMB, fewDescriptors)
	n := c.nodes[0]
	for name, send := range legalRequests {
		id := c.jobID()
		status := 0
		for end := time.Now().Add(hangTimeout); status != http.StatusOK && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			var err error
			if status, err = send(n.front, id); err != nil {
				t.Errorf("%s: %v", name, err)
				break
			}
			if status != http.StatusOK && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
				break
			}
		}
		if status != http.StatusOK {
			t.Errorf("%s: status %d", name, status)
		}
	}
	if !n.alive() {
		t.Error("the process has ended")
	}
}
