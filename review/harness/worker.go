package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Times and limits of a worker, as in the users' site files.
const (
	heartbeat     = 1100 * time.Millisecond
	missedBeats   = 3
	maxLease      = 6 * time.Second
	gangTimeout   = 3 * time.Second
	stopTime      = 100 * time.Millisecond
	maxHoldWait   = 2 * time.Second
	maxEndsListed = 500
	clockStartMS  = 1000
	workTick      = 5 * time.Millisecond
)

// task is what a worker must know of a task to run it.
type task struct {
	cpu, memory int
	work        time.Duration
	// gangSize is the number of members of its gang, 0 if it is in none.
	gangSize int
	// lasting tasks never end as done: they fail once their work is over.
	lasting bool
}

// worker is a stand-in of a machine with one life of a worker after the other. Its lock
// guards the fields below it; world's lock may be taken while it is held.
type worker struct {
	name, machine, service, zone string
	cpu, memory                  int
	store                        *store
	world                        *world
	address                      string

	mu     sync.Mutex
	server *http.Server
	down   bool
	number int // of the life, from 1
	life
}

// life is the state of a worker that a crash erases.
type life struct {
	id       string
	began    time.Time
	token    uint64
	leaseEnd int64
	running  map[string]*taskRun
	ended    []end
	endCount uint64
	highest  map[string]uint64
	changed  chan struct{}
}

type taskRun struct {
	task    string
	run     uint64
	spec    task
	gang    *gang     // nil: it is in no gang
	began   time.Time // when it was started
	ends    time.Time // when its work is done; zero: not known yet
	stopped time.Time // when its stop is complete; zero: it is not being stopped
}

type end struct {
	number uint64
	task   string
	run    uint64
	how    string
}

// startWorker starts a worker on a free loopback port and lists it in the store.
func startWorker(w *world, name, service, zone string, cpu, memory int) (*worker, error) {
	x := &worker{name: name, machine: "m-" + name, service: service, zone: zone, cpu: cpu, memory: memory, store: w.store, world: w}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	x.address = l.Addr().String()
	x.begin(l)
	go x.heartbeatLoop()
	go x.workLoop()
	return x, nil
}

// begin begins a life. After a crash it has a new id, runs nothing and has seen no token.
func (x *worker) begin(l net.Listener) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.number++
	x.down = false
	x.life = life{
		id: fmt.Sprintf("%s-%d", x.name, x.number), began: time.Now(), running: map[string]*taskRun{}, highest: map[string]uint64{}, changed: make(chan struct{}),
	}
	number := x.number
	x.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { x.serve(w, r, number) })}
	go func(s *http.Server) { _ = s.Serve(l) }(x.server)
	x.list()
}

// crash ends a life with all that runs. The next one begins at the same address after the
// time down; the entry of this one lapses after three heartbeats without a write.
func (x *worker) crash(down time.Duration) {
	x.mu.Lock()
	id := x.id
	x.world.note("worker %s crashes with %d runs", id, len(x.running))
	x.down = true
	for _, r := range x.running {
		x.leave(r, "crashed")
	}
	_ = x.server.Close()
	x.mu.Unlock()
	time.AfterFunc(missedBeats*heartbeat, func() { x.store.delete("servers/" + id) })
	time.AfterFunc(down, func() {
		l, err := net.Listen("tcp", x.address)
		if err != nil {
			x.world.fail("worker %s: %v", x.name, err)
			return
		}
		x.begin(l)
	})
}

func (x *worker) heartbeatLoop() {
	for range time.Tick(heartbeat) {
		x.mu.Lock()
		if !x.down {
			x.list()
		}
		x.mu.Unlock()
	}
}

// list writes the worker's entry.
func (x *worker) list() {
	x.store.put("servers/"+x.id, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":%q,"version":"1","slots":8,"state":"ready","cold_remaining_ms":0,"sequence":%d,"capacity":{"cpu":%d,"mem_mb":%d,"gpu":0},"labels":["a","r-%s"],"machine":%q}`,
		x.service, x.address, x.zone, time.Since(x.began).Milliseconds(), x.cpu, x.memory, x.zone, x.machine))
}

// clock returns the worker's steady clock in milliseconds.
func (x *worker) clock() int64 { return time.Since(x.began).Milliseconds() + clockStartMS }

func (x *worker) workLoop() {
	for range time.Tick(workTick) {
		x.mu.Lock()
		x.advance()
		x.mu.Unlock()
	}
}

// advance ends the runs that are done, stopped or broken, or whose lease is over.
func (x *worker) advance() {
	if x.down {
		return
	}
	now := time.Now()
	for _, r := range x.running {
		broken, alone := x.world.gangState(r, now)
		switch {
		case !r.ends.IsZero() && now.After(r.ends) && r.spec.lasting:
			x.finish(r, "failed")
		case !r.ends.IsZero() && now.After(r.ends):
			x.finish(r, "done")
		case broken:
			x.finish(r, "broken")
		case alone:
			x.finish(r, "alone")
		case !r.stopped.IsZero() && now.After(r.stopped):
			x.finish(r, "stopped")
		case x.clock() > x.leaseEnd:
			x.finish(r, "lapsed")
		}
	}
}

// leave ends a run without listing its end.
func (x *worker) leave(r *taskRun, how string) {
	delete(x.running, r.task)
	x.world.leaveGang(r, how)
	x.world.recordRun(x.id, r.task, r.run, how)
}

func (x *worker) finish(r *taskRun, how string) {
	x.leave(r, how)
	x.highest[r.task] = max(x.highest[r.task], r.run)
	x.endCount++
	x.ended = append(x.ended, end{x.endCount, r.task, r.run, how})
	close(x.changed)
	x.changed = make(chan struct{})
}

// workerCall is the body of all calls to workers.
type workerCall struct {
	Task         string `json:"task"`
	Run          uint64 `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadline_ms"`
	FencingToken uint64 `json:"fencing_token"`
	LastSeen     uint64 `json:"last_seen"`
	WaitMS       int64  `json:"wait_ms"`
}

// serve serves a call to the life of that number.
func (x *worker) serve(w http.ResponseWriter, r *http.Request, number int) {
	var c workerCall
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.down || x.number != number {
		panic(http.ErrAbortHandler) // the connection is closed without an answer
	}
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != x.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	x.advance()
	if c.FencingToken < x.token {
		x.refuse(w, "fence")
		return
	}
	x.token = c.FencingToken
	if c.DeadlineMS > 0 {
		x.leaseEnd = max(x.leaseEnd, min(c.DeadlineMS, x.clock()+maxLease.Milliseconds()))
	}
	switch r.URL.Path {
	case "/run-start":
		x.start(w, c)
	case "/run-stop":
		x.stop(c)
		reply(w, http.StatusOK, map[string]any{"clock_ms": x.clock()})
	case "/hold":
		x.hold(w, r, c, number)
	default:
		reply(w, http.StatusOK, map[string]any{"clock_ms": x.clock()})
	}
}

func (x *worker) refuse(w http.ResponseWriter, reason string) {
	reply(w, http.StatusConflict, map[string]any{"clock_ms": x.clock(), "reason": reason})
}

func (x *worker) start(w http.ResponseWriter, c workerCall) {
	spec, known := x.world.taskOf(c.Task)
	r := x.running[c.Task]
	switch {
	case !known:
		w.WriteHeader(http.StatusBadRequest)
		return
	case r != nil && r.run == c.Run:
	case c.DeadlineMS <= x.clock():
		x.refuse(w, "late")
		return
	case r != nil || c.Run <= x.highest[c.Task]:
		x.refuse(w, "old")
		return
	case !x.fits(spec):
		x.refuse(w, "room")
		return
	default:
		r = &taskRun{task: c.Task, run: c.Run, spec: spec, began: time.Now()}
		if spec.gangSize > 0 {
			x.world.joinGang(r)
		} else {
			r.ends = r.began.Add(spec.work)
		}
		x.running[c.Task] = r
		x.world.recordRun(x.id, c.Task, c.Run, "started")
	}
	reply(w, http.StatusOK, map[string]any{"clock_ms": x.clock()})
}

func (x *worker) fits(t task) bool {
	cpu, memory := t.cpu, t.memory
	for _, r := range x.running {
		cpu, memory = cpu+r.spec.cpu, memory+r.spec.memory
	}
	return cpu <= x.cpu && memory <= x.memory
}

func (x *worker) stop(c workerCall) {
	x.highest[c.Task] = max(x.highest[c.Task], c.Run)
	if r := x.running[c.Task]; r != nil && r.run <= c.Run && r.stopped.IsZero() {
		r.stopped = time.Now().Add(stopTime)
	}
}

// hold answers with the lists, after a run has ended or the time to wait is over.
func (x *worker) hold(w http.ResponseWriter, r *http.Request, c workerCall, number int) {
	x.ended = slices.DeleteFunc(x.ended, func(e end) bool { return e.number <= c.LastSeen })
	timeout := time.After(min(time.Duration(c.WaitMS)*time.Millisecond, maxHoldWait))
	for waiting := c.WaitMS > 0; waiting && len(x.ended) == 0; {
		changed := x.changed
		x.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		x.mu.Lock()
		if x.down || x.number != number {
			panic(http.ErrAbortHandler)
		}
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range x.running {
		running = append(running, []any{r.task, r.run, "", r.percent()})
	}
	for _, e := range x.ended[:min(len(x.ended), maxEndsListed)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	reply(w, http.StatusOK, map[string]any{"clock_ms": x.clock(), "running": running, "finished": ended})
}

// percent returns the share of its work that a run has done.
func (r *taskRun) percent() int {
	if r.ends.IsZero() {
		return 0
	}
	left := time.Until(r.ends)
	return min(max(int(100-100*left.Seconds()/r.spec.work.Seconds()), 0), 100)
}

// busy returns the processors in use.
func (x *worker) busy() (cpu int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, r := range x.running {
		cpu += r.spec.cpu
	}
	return cpu
}

// runsOf returns how many tasks of a job run.
func (x *worker) runsOf(job string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for t := range x.running {
		if strings.HasPrefix(t, job+".") {
			n++
		}
	}
	return n
}
