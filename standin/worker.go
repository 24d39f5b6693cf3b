package standin

import (
	"encoding/json"
	"sort"
	"strconv"
	"sync"
	"time"

	"leverstile.dev/fleet"
)

// WorkerFaults are the faults that a Worker shows.
type WorkerFaults struct {
	// Unreachable drops every call.
	Unreachable bool `json:"unreachable"`
	// FailEverything makes each attempt fail at once.
	FailEverything bool `json:"fail_everything"`
	// NoTermCheck, NoExpiryCheck, NoSeqCheck and NoBootCheck remove a fence, and
	// NoRoomCheck the guard on the VM's capacity; tests use them to show that an
	// oracle notices.
	NoTermCheck   bool `json:"-"`
	NoExpiryCheck bool `json:"-"`
	NoSeqCheck    bool `json:"-"`
	NoBootCheck   bool `json:"-"`
	NoRoomCheck   bool `json:"-"`
}

// Job is what the payload of a stand-in task says. Work is in milliseconds of
// run time alone on the VM.
type Job struct {
	WorkMS int64           `json:"work_ms"`
	Used   fleet.Resources `json:"used,omitzero"`
	Fails  bool            `json:"fails,omitempty"`
}

// Run is one attempt that a worker began, for the books of tests.
type Run struct {
	fleet.AttemptRef
	Worker  string
	Began   time.Duration
	Ended   time.Duration // zero while running
	State   fleet.AttemptState
	Resumed int64 // work in ms that the checkpoint brought along
}

type attempt struct {
	fleet.Start
	job       Job
	done      time.Duration // work done before updated
	updated   time.Duration
	throttled bool
	began     time.Duration
	run       *Run
}

type session struct {
	term, seq  uint64
	leaseUntil time.Duration
	running    map[fleet.AttemptRef]*attempt
	ended      map[fleet.AttemptRef]fleet.Report
}

// throttleDivisor is how much slower a throttled attempt runs.
const throttleDivisor = 4

// Worker is a platform worker. Its clock is the reading given to each call.
// It keeps nothing over a Reboot.
type Worker struct {
	ID       string
	Capacity fleet.Resources
	// Guards hold attempts to what they were given: less processor than used
	// slows an attempt down, less memory ends it with a failure.
	Guards bool

	mu      sync.Mutex
	boot    uint64
	booted  time.Duration
	cells   map[string]*session
	faults  WorkerFaults
	changed chan struct{}
	// Runs is the worker's own book of all attempts that began.
	runs []*Run
	// SlowdownOf, if set, measures the services on the VM against the kinds
	// of the tasks that run there.
	SlowdownOf func(kinds map[string]int, now time.Duration) []fleet.Slowdown
	// SampleLag is how late samples of Measure reach the owner.
	SampleLag time.Duration
	reports   []delayedReport
}

type delayedReport struct {
	at        time.Duration // when it may be told
	usage     []fleet.Usage
	slowdowns []fleet.Slowdown
}

// NewWorker returns a worker with nothing running.
func NewWorker(id string, capacity fleet.Resources) *Worker {
	return &Worker{ID: id, Capacity: capacity, boot: 1, cells: map[string]*session{}, changed: make(chan struct{})}
}

// SetFaults replaces the faults in force.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Faults returns the faults in force.
func (w *Worker) Faults() WorkerFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// Reboot ends everything at once and forgets it.
func (w *Worker) Reboot(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	for _, s := range w.cells {
		for _, a := range s.running {
			a.run.Ended, a.run.State = now, fleet.AttemptStopped
		}
	}
	w.cells = map[string]*session{}
	w.boot++
	w.booted = now
}

// Runs returns a copy of the worker's book.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]Run, 0, len(w.runs))
	for _, r := range w.runs {
		out = append(out, *r)
	}
	return out
}

// Running returns the attempts that run at now, and the room they hold.
func (w *Worker) Running(now time.Duration) ([]fleet.AttemptRef, fleet.Resources) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	var refs []fleet.AttemptRef
	var held fleet.Resources
	for _, s := range w.cells {
		for ref, a := range s.running {
			refs = append(refs, ref)
			held = held.Add(a.Given)
		}
	}
	return refs, held
}

func (w *Worker) clock(now time.Duration) time.Duration { return now - w.booted + time.Second }

func (w *Worker) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// advance lets time pass: work gets done, leases lapse.
func (w *Worker) advance(now time.Duration) {
	changed := false
	for _, s := range w.cells {
		lapses := s.leaseUntil + w.booted - time.Second
		for ref, a := range s.running {
			end, state := w.endOf(a, lapses)
			if end > now {
				a.progress(now, w.speed(a))
				continue
			}
			a.progress(end, w.speed(a))
			w.end(s, ref, a, end, state)
			changed = true
		}
	}
	if changed {
		w.wake()
	}
}

// endOf returns when an attempt ends if nothing else happens, and how.
func (w *Worker) endOf(a *attempt, lapses time.Duration) (time.Duration, fleet.AttemptState) {
	left := time.Duration(a.job.WorkMS)*time.Millisecond - a.done
	starved := w.Guards && a.job.Used.MemoryMiB > a.Given.MemoryMiB
	if starved {
		left = time.Duration(a.job.WorkMS)*time.Millisecond/2 - a.done
	}
	done := a.updated + time.Duration(float64(max(left, 0))/w.speed(a))
	if done >= lapses {
		return max(lapses, a.began), fleet.AttemptStopped
	}
	if a.job.Fails || starved || w.faults.FailEverything {
		return done, fleet.AttemptFailed
	}
	return done, fleet.AttemptFinished
}

// speed is how fast an attempt gets on, as a part of its speed alone.
func (w *Worker) speed(a *attempt) float64 {
	speed := 1.0
	if a.throttled {
		speed /= throttleDivisor
	}
	if w.Guards && a.job.Used.CPUMilli > a.Given.CPUMilli {
		speed *= float64(a.Given.CPUMilli) / float64(a.job.Used.CPUMilli)
	}
	return speed
}

func (a *attempt) progress(now time.Duration, speed float64) {
	if now <= a.updated {
		return
	}
	a.done += time.Duration(float64(now-a.updated) * speed)
	a.updated = now
}

func (w *Worker) end(s *session, ref fleet.AttemptRef, a *attempt, at time.Duration, state fleet.AttemptState) {
	delete(s.running, ref)
	a.run.Ended, a.run.State = at, state
	r := fleet.Report{AttemptRef: ref, State: state}
	if state == fleet.AttemptStopped {
		r.Checkpoint = strconv.AppendInt(nil, a.done.Milliseconds(), 10)
	}
	s.ended[ref] = r
}

// Sync takes one request at the clock reading now.
func (w *Worker) Sync(now time.Duration, req *fleet.SyncRequest) *fleet.SyncReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	reply := &fleet.SyncReply{Boot: w.boot, ClockMS: w.clock(now).Milliseconds()}
	s := w.session(req)
	if s == nil {
		reply.Refused = fleet.RefusedCell
		return reply
	}
	if !w.takes(s, req) {
		reply.Refused = fleet.RefusedStale
		return reply
	}
	s.term, s.seq = req.Term, req.Seq
	refused := w.obey(now, s, req)
	w.report(now, s, req, reply)
	reply.Ended = append(reply.Ended, refused...)
	w.wake()
	return reply
}

func (w *Worker) session(req *fleet.SyncRequest) *session {
	if s := w.cells[req.Cell]; s != nil {
		return s
	}
	// A session without tasks stays: it remembers the term of its cell.
	for _, s := range w.cells {
		if len(s.running)+len(s.ended) > 0 {
			return nil
		}
	}
	s := &session{
		running: map[fleet.AttemptRef]*attempt{},
		ended:   map[fleet.AttemptRef]fleet.Report{},
	}
	w.cells[req.Cell] = s
	return s
}

func (w *Worker) takes(s *session, req *fleet.SyncRequest) bool {
	if req.Term != s.term {
		return req.Term > s.term || w.faults.NoTermCheck
	}
	return req.Seq > s.seq || w.faults.NoSeqCheck
}

func (w *Worker) obey(now time.Duration, s *session, req *fleet.SyncRequest) []fleet.Report {
	for _, ref := range req.Acks {
		delete(s.ended, ref)
	}
	for _, ref := range req.Stops {
		if a := s.running[ref]; a != nil {
			w.end(s, ref, a, now, fleet.AttemptStopped)
		}
	}
	throttled := map[fleet.AttemptRef]bool{}
	for _, ref := range req.Throttled {
		throttled[ref] = true
	}
	for ref, a := range s.running {
		a.throttled = throttled[ref]
	}
	until := time.Duration(req.LeaseUntilMS) * time.Millisecond
	current := (req.Boot == w.boot || w.faults.NoBootCheck) && (w.clock(now) <= until || w.faults.NoExpiryCheck)
	if current && until > 0 {
		s.leaseUntil = max(s.leaseUntil, until)
	}
	var refused []fleet.Report
	for _, st := range req.Starts {
		if !w.start(now, s, st, current) {
			refused = append(refused, fleet.Report{AttemptRef: st.AttemptRef, State: fleet.AttemptRefused})
		}
	}
	return refused
}

// start begins an attempt unless it is known already. It returns false if the
// attempt can't begin: not current, or no room left on the VM.
func (w *Worker) start(now time.Duration, s *session, st fleet.Start, current bool) bool {
	if s.running[st.AttemptRef] != nil {
		return true
	}
	if _, ended := s.ended[st.AttemptRef]; ended {
		return true
	}
	if !current || !w.faults.NoRoomCheck && !st.Given.Add(w.held()).Fits(w.Capacity) {
		return false
	}
	a := &attempt{Start: st, updated: now, began: now}
	_ = json.Unmarshal(st.Payload, &a.job)
	if w.faults.FailEverything {
		a.job.WorkMS = 0
	}
	resumed, _ := strconv.ParseInt(string(st.Checkpoint), 10, 64)
	a.done = time.Duration(resumed) * time.Millisecond
	a.run = &Run{AttemptRef: st.AttemptRef, Worker: w.ID, Began: now, State: fleet.AttemptRunning, Resumed: resumed}
	w.runs = append(w.runs, a.run)
	s.running[st.AttemptRef] = a
	return true
}

func (w *Worker) held() fleet.Resources {
	var sum fleet.Resources
	for _, s := range w.cells {
		for _, a := range s.running {
			sum = sum.Add(a.Given)
		}
	}
	return sum
}

func (w *Worker) report(now time.Duration, s *session, req *fleet.SyncRequest, reply *fleet.SyncReply) {
	for ref, a := range s.running {
		reply.RunningHash += ref.Hash()
		if req.Full {
			reply.Running = append(reply.Running, fleet.Report{AttemptRef: ref, State: fleet.AttemptRunning, Given: a.Given})
		}
	}
	for _, r := range s.ended {
		reply.Ended = append(reply.Ended, r)
	}
	sortReports(reply.Running)
	sortReports(reply.Ended)
	w.deliver(now, reply)
}

func (w *Worker) deliver(now time.Duration, reply *fleet.SyncReply) {
	var late []delayedReport
	for _, d := range w.reports {
		if d.at > now {
			late = append(late, d)
			continue
		}
		reply.Usage = append(reply.Usage, d.usage...)
		reply.Slowdowns = append(reply.Slowdowns, d.slowdowns...)
	}
	w.reports = late
}

func sortReports(r []fleet.Report) {
	sort.Slice(r, func(i, j int) bool {
		if r[i].Task != r[j].Task {
			return r[i].Task < r[j].Task
		}
		return r[i].Attempt < r[j].Attempt
	})
}

// Measure takes a usage and slow-down sample at now. It reaches the owner with
// the first reply after SampleLag.
func (w *Worker) Measure(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	at := w.clock(now).Milliseconds()
	d := delayedReport{at: now + w.SampleLag}
	kinds := map[string]int{}
	for _, s := range w.cells {
		for _, a := range s.running {
			if !a.throttled {
				kinds[a.Kind]++
			}
			used := a.job.Used
			if used.IsZero() {
				used = a.Given
			}
			d.usage = append(d.usage, fleet.Usage{Task: a.Task, Kind: a.Kind, Used: used, AtMS: at})
		}
	}
	sort.Slice(d.usage, func(i, j int) bool { return d.usage[i].Task < d.usage[j].Task })
	if w.SlowdownOf != nil {
		d.slowdowns = w.SlowdownOf(kinds, now)
		for i := range d.slowdowns {
			d.slowdowns[i].AtMS = at
		}
	}
	w.reports = append(w.reports, d)
}
