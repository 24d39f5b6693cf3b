package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// taskShape is what a stand-in of a worker has to know of a task that it runs.
type taskShape struct {
	cpu, memMB  int
	work        time.Duration
	longRunning bool
	fills       bool
	checkpoints bool
	ticket      bool
	// gang is how many tasks of the step work only together, 0 if they don't.
	gang int
}

// gangTimeout is how long a member of a gang waits for the others (gang_timeout_ms).
const gangTimeout = 3 * time.Second

// gangs holds, for each run of a gang, the members that are present and since when all are.
type gangs struct {
	mu       sync.Mutex
	present  map[string]int
	complete map[string]time.Time
}

func newGangs() *gangs { return &gangs{present: map[string]int{}, complete: map[string]time.Time{}} }

func gangKey(r *run) string { return fmt.Sprintf("%s/%d", stepOf(r.task), r.number) }

// join adds a member, and leave removes one.
func (g *gangs) join(r *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := gangKey(r)
	if g.present[key]++; g.present[key] == r.shape.gang {
		g.complete[key] = time.Now()
	}
}

func (g *gangs) leave(r *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.present[gangKey(r)]--
}

// completeSince returns when the last member joined, zero before that.
func (g *gangs) completeSince(r *run) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.complete[gangKey(r)]
}

// Times of a stand-in of a worker.
const (
	maxLease     = 6 * time.Second
	stopTime     = 100 * time.Millisecond
	startupTime  = 300 * time.Millisecond
	workerBeat   = 1100 * time.Millisecond
	maxEnds      = 500
	maxHoldWait  = 2 * time.Second
	workerTick   = 5 * time.Millisecond
	clockAtStart = 100_000
)

// worker is a stand-in of a worker that checks its capacity.
type worker struct {
	id, vm, address, service, rack string
	cpu, memMB                     int
	shape                          func(task string) taskShape
	record                         *recorder
	store                          *store
	began                          time.Time
	gangs                          *gangs
	// validTicket checks a ticket; nil if none are needed.
	validTicket func(step, worker, ticket string) bool

	mu       sync.Mutex
	token    uint64
	leaseEnd int64
	running  map[string]*run
	highest  map[string]uint64 // by task, the highest run that was stopped or has ended
	ends     []end
	numbers  uint64
	changed  chan struct{}
	sequence int
}

type run struct {
	task      string
	number    uint64
	shape     taskShape
	started   time.Time
	stoppedAt time.Time // zero unless it is being stopped
}

type end struct {
	number uint64
	task   string
	run    uint64
	how    string
	saved  string
}

func startWorker(s *store, rec *recorder, n int, service string, cpu, memMB int, shape func(string) taskShape) (*worker, error) {
	w := &worker{
		id: fmt.Sprintf("i-%04d", n), vm: fmt.Sprintf("m-%04d", n), service: service, rack: fmt.Sprintf("r1-%d", n/8),
		cpu: cpu, memMB: memMB, shape: shape, record: rec, store: s, began: time.Now(),
		running: map[string]*run{}, highest: map[string]uint64{}, changed: make(chan struct{}),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.serve)
	mux.HandleFunc("POST /run-stop", w.serve)
	mux.HandleFunc("POST /hold", w.serve)
	mux.HandleFunc("POST /pace", w.serve)
	go func() { _ = http.Serve(l, mux) }()
	go w.beat()
	go func() {
		for range time.Tick(workerTick) {
			w.mu.Lock()
			w.advance()
			w.mu.Unlock()
		}
	}()
	return w, nil
}

func (w *worker) clock() int64 { return clockAtStart + time.Since(w.began).Milliseconds() }

// beat lists the worker in the store.
func (w *worker) beat() {
	for {
		w.sequence++
		w.store.put("servers/"+w.id, map[string]any{
			"service": w.service, "address": w.address, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": map[string]int{"cpu": w.cpu, "mem_mb": w.memMB, "gpu": 0}, "labels": []string{"a", w.rack}, "machine": w.vm,
			"clock_ms": w.clock(), "sequence": w.sequence,
		})
		time.Sleep(workerBeat)
	}
}

type workerCall struct {
	Task         string `json:"task"`
	Run          uint64 `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadline_ms"`
	FencingToken uint64 `json:"fencing_token"`
	LastSeen     uint64 `json:"last_seen"`
	WaitMS       int64  `json:"wait_ms"`
	Ticket       string `json:"ticket"`
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	var c workerCall
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.advance()
	if c.FencingToken < w.token {
		w.refuse(rw, "fence")
		return
	}
	w.token = c.FencingToken
	if deadline := min(c.DeadlineMS, w.clock()+maxLease.Milliseconds()); deadline > w.leaseEnd {
		w.leaseEnd = deadline
	}
	switch r.URL.Path {
	case "/run-start":
		w.start(rw, c)
	case "/run-stop":
		w.stop(rw, c)
	case "/hold":
		w.hold(rw, c)
	default:
		w.ok(rw, nil)
	}
}

func (w *worker) ok(rw http.ResponseWriter, body map[string]any) {
	if body == nil {
		body = map[string]any{}
	}
	body["clock_ms"] = w.clock()
	reply(rw, http.StatusOK, body)
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	reply(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason})
}

func (w *worker) start(rw http.ResponseWriter, c workerCall) {
	shape := w.shape(c.Task)
	old := w.running[c.Task]
	switch {
	case c.DeadlineMS <= w.clock():
		w.refuse(rw, "late")
	case old != nil && old.number == c.Run:
		w.ok(rw, nil)
	case c.Run <= w.highest[c.Task]:
		w.refuse(rw, "old")
	case shape.ticket && w.validTicket != nil && !w.validTicket(stepOf(c.Task), w.id, c.Ticket):
		w.record.add("%s refuses %s run %d: ticket", w.id, c.Task, c.Run)
		w.refuse(rw, "ticket")
	case !w.fits(shape):
		w.refuse(rw, "room")
	default:
		r := &run{task: c.Task, number: c.Run, shape: shape, started: time.Now()}
		w.running[c.Task] = r
		if shape.gang > 0 {
			w.gangs.join(r)
		}
		w.record.started(c.Task, c.Run, w.id)
		w.ok(rw, nil)
	}
}

func (w *worker) fits(shape taskShape) bool {
	cpu, mem := shape.cpu, shape.memMB
	if shape.fills {
		cpu = 0
	}
	for _, r := range w.running {
		if !r.shape.fills {
			cpu += r.shape.cpu
		}
		mem += r.shape.memMB
	}
	return cpu <= w.cpu && mem <= w.memMB
}

func (w *worker) stop(rw http.ResponseWriter, c workerCall) {
	w.highest[c.Task] = max(w.highest[c.Task], c.Run)
	if r := w.running[c.Task]; r != nil && r.number <= c.Run && r.stoppedAt.IsZero() {
		r.stoppedAt = time.Now()
		w.record.stopOrdered(c.Task, c.Run, w.id, r.percent() == 100)
	}
	w.ok(rw, nil)
}

// percent returns how far the run's work, or its startup, has come.
func (r *run) percent() int {
	whole := r.shape.work
	if r.shape.longRunning {
		whole = startupTime
	}
	return int(min(100*time.Since(r.started)/max(whole, 1), 100))
}

func (w *worker) hold(rw http.ResponseWriter, c workerCall) {
	for len(w.ends) > 0 && w.ends[0].number <= c.LastSeen {
		w.ends = w.ends[1:]
	}
	until := time.Now().Add(min(time.Duration(c.WaitMS)*time.Millisecond, maxHoldWait))
	for len(w.ends) == 0 && time.Now().Before(until) {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		}
		w.mu.Lock()
		w.advance()
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.running {
		running = append(running, []any{r.task, r.number, r.saved(), r.percent(), r.shape.cpu})
	}
	for _, e := range w.ends[:min(len(w.ends), maxEnds)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	w.ok(rw, map[string]any{"running": running, "finished": finished})
}

func (r *run) saved() string {
	if !r.shape.checkpoints || time.Since(r.started) < time.Second {
		return ""
	}
	return fmt.Sprintf("%08x%08x", r.number, time.Since(r.started).Milliseconds())
}

// advance ends the runs that are done, were stopped or have lost their lease.
func (w *worker) advance() {
	for task, r := range w.running {
		switch {
		case w.clock() > w.leaseEnd:
			w.end(r, "lapsed")
		case !r.stoppedAt.IsZero() && time.Since(r.stoppedAt) >= stopTime:
			w.end(r, "stopped")
		case r.stoppedAt.IsZero() && r.shape.gang > 0:
			since := w.gangs.completeSince(r)
			switch {
			case since.IsZero() && time.Since(r.started) >= gangTimeout:
				w.end(r, "alone")
			case !since.IsZero() && time.Since(since) >= r.shape.work:
				w.end(r, "done")
			default:
				continue
			}
		case r.stoppedAt.IsZero() && !r.shape.longRunning && time.Since(r.started) >= r.shape.work:
			w.end(r, "done")
		default:
			continue
		}
		delete(w.running, task)
	}
}

func (w *worker) end(r *run, how string) {
	if r.shape.gang > 0 {
		w.gangs.leave(r)
	}
	w.numbers++
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.ends = append(w.ends, end{w.numbers, r.task, r.number, how, r.saved()})
	w.record.ended(r.task, r.number, w.id, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// used returns the processors that tasks take.
func (w *worker) used() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	cpu := 0
	for _, r := range w.running {
		if !r.shape.fills {
			cpu += r.shape.cpu
		}
	}
	return cpu
}
