package standin

import (
	"encoding/json"
	"sort"
	"strconv"
	"sync"
	"time"

	"leverstile.dev/fleet"
)

// WorkerFaults are the faults that a Worker injects.
type WorkerFaults struct {
	// Unreachable drops every call.
	Unreachable bool `json:"unreachable"`
	// FailEverything makes each attempt fail as soon as it starts.
	FailEverything bool `json:"fail_everything"`
	// NoTermCheck, NoExpiryCheck, NoSeqCheck and NoBootCheck switch off a fence
	// against outdated requests, and NoCapacityCheck the check of the VM's
	// capacity; tests use them to show that their checks detect a missing fence.
	NoTermCheck     bool `json:"-"`
	NoExpiryCheck   bool `json:"-"`
	NoSeqCheck      bool `json:"-"`
	NoBootCheck     bool `json:"-"`
	NoCapacityCheck bool `json:"-"`
}

// Job is the payload of a stand-in task. Work is the run time in milliseconds of
// a task that nothing slows down.
type Job struct {
	WorkMS int64           `json:"work_ms"`
	Used   fleet.Resources `json:"used,omitzero"`
	Fails  bool            `json:"fails,omitempty"`
}

// Run is an attempt that a worker started, as recorded for tests.
type Run struct {
	fleet.AttemptRef
	Worker  string
	Began   time.Duration
	Ended   time.Duration // zero while running
	State   fleet.AttemptState
	Resumed int64 // work in ms that the checkpoint contained
}

// attempt is an attempt that the worker runs.
type attempt struct {
	fleet.Start
	job       Job
	done      time.Duration // work done until updated
	updated   time.Duration
	throttled bool
	startedAt time.Duration
	run       *Run
}

// session is the worker's state for the owner of one cell.
type session struct {
	term, seq  uint64
	leaseUntil time.Duration
	running    map[fleet.AttemptRef]*attempt
	ended      map[fleet.AttemptRef]fleet.Report
}

// throttleDivisor is the factor by which a throttled attempt runs slower.
const throttleDivisor = 4

// Worker is a platform worker. Each call passes the time, as it has no clock of
// its own. A Reboot deletes its sessions.
type Worker struct {
	ID       string
	Capacity fleet.Resources
	// EnforceLimits applies an attempt's limits to what it uses: with less
	// processor time it runs slower, with less memory it fails.
	EnforceLimits bool

	mu      sync.Mutex
	boot    uint64
	booted  time.Duration
	cells   map[string]*session
	faults  WorkerFaults
	changed chan struct{}
	// runs holds all attempts that were started, over all reboots.
	runs []*Run
	// SlowdownOf, if set, returns the slow-downs of the VM's services for the
	// numbers of running tasks by kind, without throttled tasks.
	SlowdownOf func(kinds map[string]int, now time.Duration) []fleet.Slowdown
	// SampleLag is the delay after which samples of Measure reach the owner.
	SampleLag      time.Duration
	pendingSamples []delayedSamples
}

// delayedSamples are samples that replies contain from a time on.
type delayedSamples struct {
	visibleAt time.Duration
	usage     []fleet.Usage
	slowdowns []fleet.Slowdown
}

// NewWorker returns a worker without attempts.
func NewWorker(id string, capacity fleet.Resources) *Worker {
	return &Worker{ID: id, Capacity: capacity, boot: 1, cells: map[string]*session{}, changed: make(chan struct{})}
}

// SetFaults replaces the injected faults.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Faults returns the injected faults.
func (w *Worker) Faults() WorkerFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// Reboot stops all attempts at once, deletes all sessions and starts a new incarnation.
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

// Runs returns a copy of the records of all started attempts.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]Run, 0, len(w.runs))
	for _, r := range w.runs {
		out = append(out, *r)
	}
	return out
}

// Running returns the attempts that run at now, and the resources given to them.
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

func (w *Worker) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// advance updates the attempts to the time now: they make progress, and end when
// their work is done or their lease expires.
func (w *Worker) advance(now time.Duration) {
	changed := false
	for _, s := range w.cells {
		leaseEnd := s.leaseUntil + w.booted - time.Second
		for ref, a := range s.running {
			end, state := w.projectedEnd(a, leaseEnd)
			if end > now {
				a.progress(now, w.speed(a))
				continue
			}
			a.progress(end, w.speed(a))
			w.endAttempt(s, ref, a, end, state)
			changed = true
		}
	}
	if changed {
		w.notify()
	}
}

// projectedEnd returns when and how an attempt ends if no request changes it.
func (w *Worker) projectedEnd(a *attempt, leaseEnd time.Duration) (time.Duration, fleet.AttemptState) {
	left := time.Duration(a.job.WorkMS)*time.Millisecond - a.done
	starved := w.EnforceLimits && a.job.Used.MemoryMiB > a.Given.MemoryMiB
	if starved {
		left = time.Duration(a.job.WorkMS)*time.Millisecond/2 - a.done
	}
	done := a.updated + time.Duration(float64(max(left, 0))/w.speed(a))
	if done >= leaseEnd {
		return max(leaseEnd, a.startedAt), fleet.AttemptStopped
	}
	if a.job.Fails || starved || w.faults.FailEverything {
		return done, fleet.AttemptFailed
	}
	return done, fleet.AttemptFinished
}

// speed returns the speed of an attempt relative to one that nothing slows down.
func (w *Worker) speed(a *attempt) float64 {
	speed := 1.0
	if a.throttled {
		speed /= throttleDivisor
	}
	if w.EnforceLimits && a.job.Used.CPUMilli > a.Given.CPUMilli {
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

func (w *Worker) endAttempt(s *session, ref fleet.AttemptRef, a *attempt, at time.Duration, state fleet.AttemptState) {
	delete(s.running, ref)
	a.run.Ended, a.run.State = at, state
	r := fleet.Report{AttemptRef: ref, State: state}
	if state == fleet.AttemptStopped {
		r.Checkpoint = strconv.AppendInt(nil, a.done.Milliseconds(), 10)
	}
	s.ended[ref] = r
}

// Sync applies a request at the time now and returns the worker's reply.
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
	if !w.accepts(s, req) {
		reply.Refused = fleet.RefusedStale
		return reply
	}
	s.term, s.seq = req.Term, req.Seq
	refused := w.applyRequest(now, s, req)
	w.report(now, s, req, reply)
	reply.Ended = append(reply.Ended, refused...)
	w.notify()
	return reply
}

func (w *Worker) session(req *fleet.SyncRequest) *session {
	if s := w.cells[req.Cell]; s != nil {
		return s
	}
	// A session without tasks is kept, as it contains the last term of its cell.
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

func (w *Worker) accepts(s *session, req *fleet.SyncRequest) bool {
	if req.Term != s.term {
		return req.Term > s.term || w.faults.NoTermCheck
	}
	return req.Seq > s.seq || w.faults.NoSeqCheck
}

func (w *Worker) applyRequest(now time.Duration, s *session, req *fleet.SyncRequest) []fleet.Report {
	for _, ref := range req.Acks {
		delete(s.ended, ref)
	}
	for _, ref := range req.Stops {
		if a := s.running[ref]; a != nil {
			w.endAttempt(s, ref, a, now, fleet.AttemptStopped)
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

// start starts an attempt unless it runs or has ended already. It returns false
// if the attempt can't start: the request is not current, or the VM's capacity
// does not suffice.
func (w *Worker) start(now time.Duration, s *session, st fleet.Start, current bool) bool {
	if s.running[st.AttemptRef] != nil {
		return true
	}
	if _, ended := s.ended[st.AttemptRef]; ended {
		return true
	}
	if !current || !w.faults.NoCapacityCheck && !st.Given.Add(w.resourcesInUse()).Fits(w.Capacity) {
		return false
	}
	a := &attempt{Start: st, updated: now, startedAt: now}
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

func (w *Worker) resourcesInUse() fleet.Resources {
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
	w.addDueSamples(now, reply)
}

func (w *Worker) addDueSamples(now time.Duration, reply *fleet.SyncReply) {
	var late []delayedSamples
	for _, d := range w.pendingSamples {
		if d.visibleAt > now {
			late = append(late, d)
			continue
		}
		reply.Usage = append(reply.Usage, d.usage...)
		reply.Slowdowns = append(reply.Slowdowns, d.slowdowns...)
	}
	w.pendingSamples = late
}

func sortReports(r []fleet.Report) {
	sort.Slice(r, func(i, j int) bool {
		if r[i].Task != r[j].Task {
			return r[i].Task < r[j].Task
		}
		return r[i].Attempt < r[j].Attempt
	})
}

// Measure records a usage and slow-down sample at now. The sample reaches the
// owner with the first reply after SampleLag.
func (w *Worker) Measure(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	at := w.clock(now).Milliseconds()
	d := delayedSamples{visibleAt: now + w.SampleLag}
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
	w.pendingSamples = append(w.pendingSamples, d)
}
