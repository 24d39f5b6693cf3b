package node_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	jobsv1 "leverstile.dev/api/gen/leverstile/jobs/v1"
	"leverstile.dev/api/gen/leverstile/jobs/v1/jobsv1connect"
	"leverstile.dev/dispatch"
	"leverstile.dev/node"
	"leverstile.dev/platform"
	"leverstile.dev/platform/wiretest"
)

// eventually bounds waits for events; nothing is asserted about how long they take.
const eventually = 30 * time.Second

const configText = `{"version":%d,"routes":[{"name":"q","host":"h.example","path_prefix":"/a/","timeout_ms":3000,"target_latency_ms":250,
"priority":0,"service":"svc","max_attempts":3,"stretch":2}],"services":[{"name":"svc","admission_check":true}],"limits":{"max_body_bytes":100000}}`

// cell is a simulated platform with nodes on loopback ports.
type cell struct {
	t               *testing.T
	store           *wiretest.Store
	workers         []*wiretest.Worker
	nodes           []*testNode
	mu              sync.Mutex
	running         map[string]int
	concurrentTasks []string
	jobKept         time.Duration
	advisor         string // address of the placement policy
	cloud           string // address of the interface that takes orders for VMs
	// wrap, if set, wraps the store that a node uses.
	wrap func(node string, s node.Store) node.Store
}

type testNode struct {
	node  *node.Node
	front *httptest.Server
	peers *http.Server
	// address serves other entries and the jobs service.
	address string
	stop    context.CancelFunc
	done    sync.WaitGroup
}

func newCell(t *testing.T, nodes, workers int) *cell {
	c := &cell{t: t, store: wiretest.NewStore(), running: map[string]int{}, jobKept: time.Minute}
	t.Cleanup(c.close)
	c.store.Put("op/config", fmt.Appendf(nil, configText, 1))
	for i := range workers {
		w := wiretest.NewWorker(c.store, fmt.Sprintf("i-%d", i), "svc", 30*time.Millisecond)
		w.OnRun(c.recordRun)
		c.workers = append(c.workers, w)
	}
	for i := range nodes {
		c.nodes = append(c.nodes, c.startNode(fmt.Sprintf("entry-%d", i)))
	}
	return c
}

// recordRun records starts and ends of runs; a task that runs twice at a time is a failure.
func (c *cell) recordRun(task string, delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[task] += delta
	if c.running[task] > 1 {
		c.concurrentTasks = append(c.concurrentTasks, task)
	}
}

func (c *cell) startNode(name string) *testNode {
	set := metrics.NewSet()
	store := platform.NewStore(c.store.Address(), set)
	var seen node.Store = store
	if c.wrap != nil {
		seen = c.wrap(name, store)
	}
	params := dispatch.Params{MaxTaskLease: 6 * time.Second, OverTarget: 4 * time.Second, JobKept: c.jobKept, RemoteFactor: 1}
	ports := node.Ports{Store: seen, Lister: store, Workers: platform.NewWorkers(set, 0), Advisor: platform.NewAdvisor(c.advisor), VMs: platform.NewVMs(c.cloud, name)}
	return startNodeWith(name, params, ports, set)
}

// startNodeAt starts a node that uses a store directly.
func startNodeAt(address, name string, set *metrics.Set) *testNode {
	store := platform.NewStore(address, set)
	params := dispatch.Params{MaxTaskLease: 6 * time.Second, OverTarget: 4 * time.Second, JobKept: time.Minute, RemoteFactor: 1}
	return startNodeWith(name, params, node.Ports{Store: store, Lister: store, Workers: platform.NewWorkers(set, 0), Advisor: platform.NewAdvisor(""), VMs: platform.NewVMs("", name)}, set)
}

func startNodeWith(name string, params dispatch.Params, ports node.Ports, set *metrics.Set) *testNode {
	return startNodeBehind(name, params, ports, set, func(address string) string { return address })
}

// startNodeBehind starts a node that others call at the address that wrap returns for its own.
func startNodeBehind(name string, params dispatch.Params, ports node.Ports, set *metrics.Set, wrap func(string) string) *testNode {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	logger := &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}}
	n := node.New(node.Options{
		Entry: name, PeerAddress: wrap(l.Addr().String()), OperatorPrefix: platform.OperatorPrefix, ConfigKey: platform.ConfigKey, EvacuationPrefix: platform.EvacuationPrefix,
		DecodeConfig: platform.DecodeConfig, DecodeWave: platform.DecodeWave, WaveStatus: platform.WaveStatus,
		FreezeSlack: 5 * time.Second, // a loaded machine is no freeze
		Params:      params,
	}, ports, logger, set)
	tn := &testNode{node: n, address: l.Addr().String(), peers: &http.Server{Handler: n.PeersHandler()}}
	ctx, cancel := context.WithCancel(context.Background())
	tn.stop = cancel
	tn.done.Go(func() { _ = tn.peers.Serve(l) })
	tn.done.Go(func() { _ = n.RunOperators(ctx) })
	tn.done.Go(func() { _ = n.RunElection(ctx) })
	tn.front = httptest.NewServer(platform.NewCallHandler(n, logger, set))
	return tn
}

func (tn *testNode) close() {
	tn.stop()
	_ = tn.peers.Close()
	tn.front.CloseClientConnections()
	tn.front.Close()
	tn.done.Wait()
}

func (c *cell) close() {
	for _, n := range c.nodes {
		n.close()
	}
	for _, w := range c.workers {
		w.Server.CloseClientConnections()
		w.Server.Close()
	}
	c.store.Server.CloseClientConnections()
	c.store.Server.Close()
}

// call makes a customer's call at a node.
func (c *cell) call(n int, method, id, body string) (int, string, http.Header) {
	c.t.Helper()
	req, err := http.NewRequest(method, c.nodes[n].front.URL+"/a/"+id, strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	req.Host = "h.example"
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return resp.StatusCode, string(text), resp.Header
}

// await retries until ok returns true, and fails the test if it does not.
func (c *cell) await(what string, ok func() bool) {
	c.t.Helper()
	for end := time.Now().Add(eventually); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	c.t.Fatal("never came: " + what)
}

// submit submits a job until it is accepted.
func (c *cell) submit(n int, id, body string) {
	c.t.Helper()
	c.await("acceptance of "+id, func() bool {
		status, _, _ := c.call(n, "POST", id, body)
		return status == http.StatusOK
	})
}

func (c *cell) awaitState(n int, id, state string) {
	c.t.Helper()
	c.await(id+" "+state, func() bool {
		status, text, _ := c.call(n, "GET", id, "")
		return status == http.StatusOK && strings.Contains(text, `"`+state+`"`)
	})
}

func (c *cell) checkRuns() {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.concurrentTasks) > 0 {
		c.t.Errorf("tasks ran twice at a time: %v", c.concurrentTasks)
	}
}

const twoSteps = `{"spec":"s","steps":[{"count":4,"cpu":500,"mem_mb":100},{"count":2,"cpu":500,"mem_mb":100,"after_revision":[0]}]}`

func id(n int) string { return fmt.Sprintf("%016x", n) }

func TestJobsRunWhicheverEntryAcceptsThem(t *testing.T) {
	c := newCell(t, 3, 3)
	for i := range 9 {
		c.submit(i%3, id(i), twoSteps)
	}
	for i := range 9 {
		c.awaitState((i+1)%3, id(i), "succeeded")
	}
	starts := 0
	for _, w := range c.workers {
		for _, n := range w.Starts() {
			starts += n
		}
	}
	if starts != 9*6 {
		t.Errorf("%d starts of %d tasks", starts, 9*6)
	}
	c.checkRuns()
}

func TestSameJobAtTwoEntriesIsOneJob(t *testing.T) {
	c := newCell(t, 2, 2)
	c.submit(0, id(1), twoSteps)
	c.submit(1, id(1), twoSteps)
	c.awaitState(0, id(1), "succeeded")
	c.submit(1, id(1), twoSteps)
	c.submit(0, id(2), twoSteps)
	c.awaitState(1, id(2), "succeeded")
	for _, w := range c.workers {
		for task, n := range w.Starts() {
			if n != 1 {
				t.Errorf("task %s started %d times", task, n)
			}
		}
	}
}

func TestRejectedCalls(t *testing.T) {
	c := newCell(t, 1, 1)
	c.submit(0, id(1), twoSteps)
	for _, x := range []struct {
		method, id, body string
		want             int
	}{
		{"GET", id(7), "", http.StatusGone}, {"DELETE", id(7), "", http.StatusGone},
		{"POST", id(8), "{", http.StatusBadRequest}, {"POST", "nonsense", twoSteps, http.StatusBadRequest},
		{"POST", id(8), `{"steps":[{"count":1}],"spec":"` + strings.Repeat("x", 100_001) + `"}`, http.StatusRequestEntityTooLarge},
	} {
		if status, _, _ := c.call(0, x.method, x.id, x.body); status != x.want {
			t.Errorf("%s %s: %d, want %d", x.method, x.id, status, x.want)
		}
	}
	req, err := http.NewRequest("POST", c.nodes[0].front.URL+"/elsewhere/"+id(1), strings.NewReader(twoSteps))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNotFound {
		t.Errorf("no such queue: %d", resp.StatusCode)
	}
}

func TestCancelStopsTasks(t *testing.T) {
	c := newCell(t, 2, 1)
	c.submit(0, id(1), `{"spec":"s","steps":[{"count":2,"cpu":500,"long_running":true}]}`)
	c.awaitState(1, id(1), "running")
	if status, _, _ := c.call(1, "DELETE", id(1), ""); status != http.StatusOK {
		t.Fatalf("cancel: %d", status)
	}
	c.awaitState(0, id(1), "cancelled")
	c.await("its tasks are gone", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, n := range c.running {
			if n > 0 {
				return false
			}
		}
		return true
	})
}

// An answer of the store that is lost leaves the outcome open: the customer
// gets 504, never an answer that the job was not accepted.
func TestStoreAnswersDecideSubmitStatus(t *testing.T) {
	c := newCell(t, 1, 1)
	c.submit(0, id(1), twoSteps)
	c.awaitState(0, id(1), "succeeded")
	only := func(f wiretest.Fault) func(method, path string) wiretest.Fault {
		return func(_, path string) wiretest.Fault {
			if path == "/kv-txn" {
				return f
			}
			return wiretest.FaultNone
		}
	}
	c.store.SetFault(only(wiretest.FaultBusy))
	status, _, header := c.call(0, "POST", id(2), twoSteps)
	if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("refused by the store: %d, Retry-After %q", status, header.Get("Retry-After"))
	}
	c.store.SetFault(nil)
	for _, k := range c.store.Keys("ls/in/job/") {
		if strings.HasSuffix(k, id(2)) {
			t.Error("a job that was refused is in the store")
		}
	}
	c.store.SetFault(only(wiretest.FaultDrop))
	if status, _, _ := c.call(0, "POST", id(3), twoSteps); status != http.StatusGatewayTimeout {
		t.Errorf("connection to the store lost: %d", status)
	}
	c.store.SetFault(nil)
	c.submit(0, id(3), twoSteps)
	c.awaitState(0, id(3), "succeeded")
}

// An owner that stops hands over; running tasks are not started again.
func TestOwnersAreReplaced(t *testing.T) {
	c := newCell(t, 3, 2)
	next := 0
	for round := range 3 {
		for range 6 {
			c.submit(2, id(next), twoSteps)
			next++
		}
		if round < 2 {
			c.nodes[round].close()
		}
	}
	for i := range next {
		c.awaitState(2, id(i), "succeeded")
	}
	c.checkRuns()
	for _, w := range c.workers {
		for task, n := range w.Starts() {
			if n != 1 {
				t.Errorf("task %s started %d times", task, n)
			}
		}
	}
	c.nodes = c.nodes[2:]
}

func TestDrainedNodeIsNotReadyAndServes(t *testing.T) {
	c := newCell(t, 2, 1)
	c.submit(0, id(1), twoSteps)
	c.await("readiness", c.nodes[0].node.Ready)
	c.nodes[0].node.Drain()
	if c.nodes[0].node.Ready() {
		t.Error("a node that drains is ready")
	}
	c.submit(0, id(2), twoSteps)
	c.awaitState(0, id(2), "succeeded")
	c.checkRuns()
}

func TestConfigVersionNeverDecreases(t *testing.T) {
	c := newCell(t, 1, 1)
	version := func() int64 {
		if conf := c.nodes[0].node.Config(); conf != nil {
			return conf.Version
		}
		return 0
	}
	c.store.Put("op/config", fmt.Appendf(nil, configText, 9))
	c.await("version 9", func() bool { return version() == 9 })
	c.store.Put("op/config", fmt.Appendf(nil, configText, 3))
	c.store.Compact()
	c.store.Put("op/config", fmt.Appendf(nil, configText, 12))
	c.await("version 12", func() bool {
		if v := version(); v < 9 {
			t.Fatalf("back to version %d", v)
		}
		return version() == 12
	})
}

func TestRecordsOfOldJobsAreRemoved(t *testing.T) {
	c := newCell(t, 0, 1)
	c.jobKept = 10 * time.Millisecond
	c.nodes = append(c.nodes, c.startNode("entry-0"))
	c.submit(0, id(1), twoSteps)
	c.await("removal", func() bool {
		status, _, _ := c.call(0, "GET", id(1), "")
		return status == http.StatusGone && len(c.store.Keys("ls/in/"))+len(c.store.Keys("ls/progress/")) == 0
	})
}

// Records of old jobs are removed also while jobs arrive without a pause. Otherwise the
// store grows all day, and so does what the next owner reads before its first order.
func TestRecordsOfOldJobsAreRemovedUnderLoad(t *testing.T) {
	const jobs, maxKept = 60, 30
	c := newCell(t, 0, 2)
	c.jobKept = 10 * time.Millisecond
	c.nodes = append(c.nodes, c.startNode("entry-0"))
	next := 1
	submitNext := func() {
		c.submit(0, id(next), twoSteps)
		c.await(id(next), func() bool { return c.startsOf(id(next)) == 6 })
		next++
	}
	for next <= jobs {
		submitNext()
	}
	c.await("the removal of old jobs while others arrive", func() bool {
		submitNext()
		return len(c.store.Keys("ls/in/job/")) <= maxKept
	})
}

// The jobs service serves the same jobs at every entry.
func TestJobsService(t *testing.T) {
	c := newCell(t, 2, 1)
	c.submit(0, id(1), `{"spec":"s","steps":[{"count":1,"cpu":500,"long_running":true}]}`)
	c.awaitState(1, id(1), "running")
	ctx := context.Background()
	for n, tn := range c.nodes {
		jobs := jobsv1connect.NewJobsClient(http.DefaultClient, "http://"+tn.address)
		own := id(10 + n)
		spec := fmt.Sprintf(`{"id":%q,"queue":"q","steps":[{"count":2,"cpu_milli":100}]}`, own)
		if _, err := jobs.Submit(ctx, connect.NewRequest(&jobsv1.SubmitRequest{Spec: []byte(spec)})); err != nil {
			t.Fatal(err)
		}
		c.await(own, func() bool {
			resp, err := jobs.Get(ctx, connect.NewRequest(&jobsv1.GetRequest{Id: own}))
			return err == nil && resp.Msg.GetState() == "succeeded"
		})
		c.await("an explanation", func() bool {
			resp, err := jobs.Explain(ctx, connect.NewRequest(&jobsv1.ExplainRequest{Id: id(1)}))
			return err == nil && strings.Contains(resp.Msg.GetText(), `"worker":"i-0"`)
		})
		for _, bad := range []string{"{", `{"id":"x","queue":"q","steps":[{"count":1}]}`, strings.Replace(spec, `"q"`, `"nowhere"`, 1)} {
			if _, err := jobs.Submit(ctx, connect.NewRequest(&jobsv1.SubmitRequest{Spec: []byte(bad)})); err == nil {
				t.Errorf("%s is accepted", bad)
			}
		}
	}
	jobs := jobsv1connect.NewJobsClient(http.DefaultClient, "http://"+c.nodes[1].address)
	if resp, err := jobs.Cancel(ctx, connect.NewRequest(&jobsv1.CancelRequest{Id: id(1)})); err != nil || resp.Msg.GetRecorded() != jobsv1.Recorded_RECORDED_YES {
		t.Errorf("cancel: %v, %v", resp, err)
	}
	c.awaitState(0, id(1), "cancelled")
	if resp, err := jobs.Cancel(ctx, connect.NewRequest(&jobsv1.CancelRequest{Id: id(99)})); err != nil || resp.Msg.GetRecorded() != jobsv1.Recorded_RECORDED_NOT_FOUND {
		t.Errorf("cancel of no job: %v, %v", resp, err)
	}
	c.await("a count", func() bool {
		resp, err := jobs.Pending(ctx, connect.NewRequest(&jobsv1.PendingRequest{Queue: "q"}))
		return err == nil && resp.Msg.GetPending() == 0
	})
}
