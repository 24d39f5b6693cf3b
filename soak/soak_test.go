package soak

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"leverstile.dev/platform/wiretest"
)

var (
	soakSeeds = flag.Uint64("soak.seeds", 2, "number of seeds")
	soakFirst = flag.Uint64("soak.first", 1, "first seed")
	soakFor   = flag.Duration("soak.for", 8*time.Second, "length of the faults of one seed")
)

// failedSeeds are kept as regression cases, with a line on the cause.
var failedSeeds = []uint64{}

// settle bounds the wait for the end of all jobs once the faults are over.
const settle = 90 * time.Second

const config = `{"version":%d,"routes":[{"name":"q","host":"h.example","path_prefix":"/a/","timeout_ms":3000,"target_latency_ms":250,
"priority":0,"service":"svc","max_attempts":1000,"stretch":2}],"services":[{"name":"svc","admission_check":true}],"limits":{"max_body_bytes":100000}}`

const settings = `node = %q
zone = "a"
ip = "127.0.0.1"
internal_ports = [%d, %d]
heartbeat_ms = 1000
[listen_addresses]
front = "127.0.0.1:%d"
ready = "127.0.0.1:%d"
[limits]
cpu_share = 0.4
[platform]
address = %q
min_ttl_ms = 1000
[bounds]
grace_s = 4
max_hold_ms = 6000
stop_timeout_ms = 900
harm_ms = 4000
thaw_slack_ms = 300
status_s = 600
pace_ms = 100
`

// process is one leverstile node. paused guards against stopping it twice.
type process struct {
	name  string
	front string
	dir   string
	proxy *proxy
	cmd   *exec.Cmd
	done  chan struct{}
}

// world is one seed's run. Its lock guards the maps.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	binary  string
	store   *wiretest.Store
	workers []*wiretest.Worker
	procs   []*process
	log     *os.File

	mu       sync.Mutex
	running  map[string]int
	started  map[string]bool // jobs with a start
	doubled  []string
	accepted map[string]bool
	refused  map[string]bool // only ever refused
}

func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "leverstile")
	build := exec.Command("go", "build", "-o", binary, "leverstile.dev/cmd/leverstile")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	seeds := append([]uint64{}, failedSeeds...)
	count := *soakSeeds
	if testing.Short() {
		count = min(count, 1)
	}
	for n := range count {
		seeds = append(seeds, *soakFirst+n)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, binary, seed) })
	}
}

func soak(t *testing.T, binary string, seed uint64) {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 3)), binary: binary, store: wiretest.NewStore(),
		running: map[string]int{}, started: map[string]bool{}, accepted: map[string]bool{}, refused: map[string]bool{},
	}
	w.store.Put("op/config", fmt.Appendf(nil, config, 1))
	log, err := os.CreateTemp("", fmt.Sprintf("soak-%d-*.log", seed))
	if err != nil {
		t.Fatal(err)
	}
	w.log = log
	for i := range 4 {
		worker := wiretest.NewWorker(w.store, fmt.Sprintf("i-%d", i), "svc", time.Duration(50+100*i)*time.Millisecond)
		worker.OnRun(w.note)
		worker.FailIf(func(task string, start int) bool { return start == 1 && strings.HasSuffix(task, "3") })
		w.workers = append(w.workers, worker)
	}
	for i := range 3 {
		w.procs = append(w.procs, w.newProcess(i))
	}
	defer w.close()
	w.awaitServing()
	w.faults()
	w.calm()
	w.check()
	if t.Failed() {
		t.Logf("logs of the processes: %s", log.Name())
		return
	}
	_ = os.Remove(log.Name())
}

// Ports of processes come from below the range of which the system takes ports
// for connections: between two lives of a process its port must stay free.
const (
	firstPort = 10_000
	lastPort  = 32_000
)

func freePort(t *testing.T) int {
	for range 100 {
		port := firstPort + rand.IntN(lastPort-firstPort)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = l.Close()
		return port
	}
	t.Fatal("no free port")
	return 0
}

func (w *world) newProcess(i int) *process {
	p := &process{name: fmt.Sprintf("entry-%d", i), dir: w.t.TempDir()}
	var err error
	if p.proxy, err = newProxy(w.store.Address()); err != nil {
		w.t.Fatal(err)
	}
	peers, front, ready := freePort(w.t), freePort(w.t), freePort(w.t)
	p.front = fmt.Sprintf("127.0.0.1:%d", front)
	text := fmt.Sprintf(settings, p.name, peers, peers+1, front, ready, p.proxy.listener.Addr().String())
	if err := os.WriteFile(filepath.Join(p.dir, "node.toml"), []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
	w.start(p)
	return p
}

// start runs a process, and again if it ends at once, as the platform does.
func (w *world) start(p *process) {
	for range 10 {
		w.startOnce(p)
		select {
		case <-p.done:
			time.Sleep(100 * time.Millisecond)
		case <-time.After(200 * time.Millisecond):
			return
		}
	}
	w.t.Errorf("%s does not stay up", p.name)
}

func (w *world) startOnce(p *process) {
	p.cmd = exec.Command(w.binary, "node", "--metrics-port", "0")
	p.cmd.Env = append(os.Environ(), "LEVERSTILE_BOOT="+filepath.Join(p.dir, "node.toml"))
	p.cmd.Stdout, p.cmd.Stderr = w.log, w.log
	if err := p.cmd.Start(); err != nil {
		w.t.Errorf("%s: %v", p.name, err)
	}
	done := make(chan struct{})
	p.done = done
	cmd := p.cmd
	go func() { _ = cmd.Wait(); close(done) }()
}

// end signals a process of this soak and waits until it is gone.
func (p *process) end(sig syscall.Signal) {
	_ = p.cmd.Process.Signal(sig)
	select {
	case <-p.done:
	case <-time.After(8 * time.Second):
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// note is told of each start and end at a worker.
func (w *world) note(task string, delta int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running[task] += delta
	if w.running[task] > 1 {
		w.doubled = append(w.doubled, task)
	}
	if delta > 0 {
		w.started[task[:strings.IndexByte(task, '.')]] = true
	}
}

const jobBody = `{"spec":"s","steps":[{"count":4,"cpu":500,"mem_mb":100},{"count":2,"cpu":500,"mem_mb":100,"after_revision":[0]}]}`

var client = &http.Client{Timeout: 4 * time.Second}

// call makes a customer's call; 0 means no answer.
func (w *world) call(p *process, method, id, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+p.front+"/a/"+id, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = "h.example"
	resp, err := client.Do(req)
	if err != nil {
		if isDial(err) {
			return http.StatusServiceUnavailable, "" // never sent
		}
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(text)
}

func isDial(err error) bool { return strings.Contains(err.Error(), "dial tcp") }

// submit hands in a job once and notes what the customer knows of it.
func (w *world) submit(p *process, id string) {
	status, _ := w.call(p, http.MethodPost, id, jobBody)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch status {
	case http.StatusOK:
		w.accepted[id] = true
		delete(w.refused, id)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		w.refused[id] = true
	}
}

func (w *world) awaitServing() {
	for end := time.Now().Add(settle); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		w.submit(w.procs[0], fmt.Sprintf("%016x", 0xffff))
		w.mu.Lock()
		ok := w.accepted[fmt.Sprintf("%016x", 0xffff)]
		w.mu.Unlock()
		if ok {
			return
		}
	}
	w.t.Fatal("never served")
}

// faults submits jobs while faults come in series and overlap.
func (w *world) faults() {
	var calls sync.WaitGroup
	var faults sync.WaitGroup
	end := time.Now().Add(*soakFor)
	next := time.Now()
	busy := make([]bool, len(w.procs)) // guarded by w.mu
	for id := 0; time.Now().Before(end); id++ {
		p := w.procs[w.rng.IntN(len(w.procs))]
		name := fmt.Sprintf("%016x", id)
		calls.Go(func() { w.submit(p, name) })
		time.Sleep(time.Duration(20+w.rng.IntN(60)) * time.Millisecond)
		if time.Now().Before(next) {
			continue
		}
		next = time.Now().Add(time.Duration(200+w.rng.IntN(1500)) * time.Millisecond)
		i, kind, length := w.rng.IntN(len(w.procs)), w.rng.IntN(9), time.Duration(200+w.rng.IntN(3500))*time.Millisecond
		w.mu.Lock()
		taken := busy[i]
		busy[i] = true
		w.mu.Unlock()
		if taken {
			continue
		}
		faults.Go(func() {
			w.fault(w.procs[i], kind, length)
			w.mu.Lock()
			busy[i] = false
			w.mu.Unlock()
		})
	}
	faults.Wait()
	calls.Wait()
}

// fault is one fault of a process or of the store, from its begin to its end.
func (w *world) fault(p *process, kind int, length time.Duration) {
	_, _ = fmt.Fprintf(w.log, "{\"event\":\"soak_fault\",\"entry\":%q,\"kind\":%d,\"length\":%q}\n", p.name, kind, length)
	switch kind {
	case 0:
		p.end(syscall.SIGKILL)
		time.Sleep(length / 2)
		w.start(p)
	case 1:
		p.end(syscall.SIGTERM)
		w.start(p)
	case 2:
		_ = p.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(length)
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
	case 3, 4, 5, 6:
		p.proxy.set([]mode{delaying, silent, deafOne, resetting}[kind-3])
		time.Sleep(length)
		p.proxy.set(passing)
	case 7:
		faults := []wiretest.Fault{wiretest.FaultBusy, wiretest.FaultLost, wiretest.FaultDrop}
		fault := faults[int(length/time.Millisecond)%len(faults)]
		w.store.SetFault(func(string, string) wiretest.Fault { return fault })
		time.Sleep(length)
		w.store.SetFault(nil)
	case 8:
		w.store.Compact()
	}
}

func (w *world) calm() {
	w.store.SetFault(nil)
	for _, p := range w.procs {
		p.proxy.set(passing)
	}
}

// check waits for all accepted jobs, and compares what customers were told
// with what workers did.
func (w *world) check() {
	w.mu.Lock()
	ids := make([]string, 0, len(w.accepted))
	for id := range w.accepted {
		ids = append(ids, id)
	}
	w.mu.Unlock()
	end := time.Now().Add(settle)
	for n, id := range ids {
		for {
			status, text := w.call(w.procs[n%len(w.procs)], http.MethodGet, id, "")
			if status == http.StatusOK && strings.Contains(text, "succeeded") {
				break
			}
			if status == http.StatusGone {
				w.t.Errorf("job %s was accepted and is gone", id)
				break
			}
			if time.Now().After(end) {
				w.t.Errorf("job %s was accepted and is not done: %d %s", id, status, text)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, task := range w.doubled {
		w.t.Errorf("task %s ran twice at a time", task)
	}
	for id := range w.refused {
		if w.started[id] {
			w.t.Errorf("job %s was refused and ran", id)
		}
	}
	w.t.Logf("%d jobs accepted and done, %d refused and not run", len(ids), len(w.refused))
}

func (w *world) close() {
	for _, p := range w.procs {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		p.end(syscall.SIGKILL)
		_ = p.proxy.listener.Close()
	}
	for _, worker := range w.workers {
		worker.Server.CloseClientConnections()
		worker.Server.Close()
	}
	w.store.Server.CloseClientConnections()
	w.store.Server.Close()
	_ = w.log.Close()
}
