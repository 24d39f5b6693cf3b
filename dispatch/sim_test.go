package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"leverstile.dev/job"
)

// simWorker is a stand-in of a worker behind the port: it checks terms,
// deadlines, run numbers and room, and lists ends until they are forgotten.
type simWorker struct {
	sim    *sim
	info   WorkerInfo
	rate   float64 // of its clock
	offset int64
	born   time.Duration
	alive  bool
	cut    bool // calls to it get lost
	bad    bool // it fails all that it starts
	// cutAbove loses calls of later terms only, if set: the next owner can't
	// reach a worker that this one reaches.
	cutAbove uint64
	term     uint64
	lease    int64
	running  map[job.TaskID]*simRun
	ended    []EndedTask
	endedNo  uint64
	highest  map[job.TaskID]uint64 // highest run stopped or ended here
	seen     uint64
	lapsed   time.Duration // when its lease was last found to be over
}

type simRun struct {
	task  job.TaskID
	run   uint64
	ends  time.Duration // when its work is done
	fails bool
	since time.Duration
}

// percent returns the part of the run's work that is done.
func (r *simRun) percent(now time.Duration) int {
	return int(100 * (now - r.since) / max(r.ends-r.since, 1))
}

func (w *simWorker) clock() int64 {
	return w.offset + int64(float64((w.sim.now-w.born).Milliseconds())*w.rate)
}

// advance ends what is over by now.
func (w *simWorker) advance() {
	if !w.alive {
		return
	}
	if w.clock() >= w.lease {
		w.lapsed = w.sim.now
		for _, r := range w.sorted() {
			w.end(r, EndLapsed)
		}
	}
	for _, r := range w.sorted() {
		if r.ends > w.sim.now {
			continue
		}
		if r.fails {
			w.end(r, EndFailed)
		} else {
			w.end(r, EndDone)
		}
	}
}

func (w *simWorker) sorted() []*simRun {
	list := make([]*simRun, 0, len(w.running))
	for _, r := range w.running {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].task.String() < list[j].task.String() })
	return list
}

func (w *simWorker) end(r *simRun, kind EndKind) {
	delete(w.running, r.task)
	w.endedNo++
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.ended = append(w.ended, EndedTask{Number: w.endedNo, Task: r.task, Run: r.run, Kind: kind})
	w.sim.oracle.ended(w, r, kind)
}

// hold carries out a HoldOrder.
func (w *simWorker) hold(h HoldOrder) (HoldReply, Outcome) {
	w.advance()
	if !w.alive || h.Worker != w.info.ID {
		return HoldReply{}, OutcomeOtherLife
	}
	if h.Term < w.term && !w.sim.noFence {
		return HoldReply{}, OutcomeFenced
	}
	w.term = max(w.term, h.Term)
	if h.DeadlineMS > 0 {
		w.lease = max(w.lease, min(h.DeadlineMS, w.clock()+w.sim.params.MaxTaskLease.Milliseconds()))
	}
	if h.Seen > w.seen {
		w.seen = h.Seen
		w.sim.oracle.forgotten(w, h.Seen)
	}
	for len(w.ended) > 0 && w.ended[0].Number <= w.seen {
		w.ended = w.ended[1:]
	}
	reply := HoldReply{ClockMS: w.clock(), Ended: append([]EndedTask(nil), w.ended...)}
	for _, r := range w.sorted() {
		reply.Running = append(reply.Running, RunningTask{Task: r.task, Run: r.run, Percent: r.percent(w.sim.now)})
	}
	return reply, OutcomeOK
}

// order carries out an Order.
func (w *simWorker) order(o Order) Answer {
	w.advance()
	if !w.alive || o.Worker != w.info.ID {
		return Answer{Outcome: OutcomeOtherLife}
	}
	if o.Term < w.term && !w.sim.noFence {
		return Answer{Outcome: OutcomeFenced, ClockMS: w.clock()}
	}
	w.term = max(w.term, o.Term)
	switch o.Kind {
	case OrderStart:
		return w.startRun(o)
	case OrderStop:
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		if r := w.running[o.Task]; r != nil && r.run <= o.Run {
			w.end(r, EndStopped)
		}
	}
	return Answer{Outcome: OutcomeOK, ClockMS: w.clock()}
}

func (w *simWorker) startRun(o Order) Answer {
	w.lease = max(w.lease, min(o.DeadlineMS, w.clock()+w.sim.params.MaxTaskLease.Milliseconds()))
	clock := w.clock()
	if r := w.running[o.Task]; r != nil && r.run == o.Run {
		return Answer{Outcome: OutcomeOK, ClockMS: clock}
	}
	switch {
	case o.Run <= w.highest[o.Task]:
		return Answer{Outcome: OutcomeOld, ClockMS: clock}
	case clock >= o.DeadlineMS:
		return Answer{Outcome: OutcomeLate, ClockMS: clock}
	case w.running[o.Task] != nil:
		return Answer{Outcome: OutcomeOld, ClockMS: clock}
	}
	work := time.Duration(200+w.sim.rng.IntN(2500)) * time.Millisecond
	if w.sim.specs[o.Task.Job].Steps[o.Task.Step].Lasting {
		work = time.Hour
	}
	r := &simRun{task: o.Task, run: o.Run, ends: w.sim.now + work, since: w.sim.now, fails: w.bad || w.sim.rng.Float64() < w.sim.failShare}
	w.running[o.Task] = r
	w.sim.oracle.started(w, r)
	return Answer{Outcome: OutcomeOK, ClockMS: clock}
}

// oracle checks the promises from what workers do.
type oracle struct {
	sim    *sim
	broken []string
	// runs holds where each task runs now.
	runs map[job.TaskID][]*simWorker
	// done holds tasks whose end "done" a worker was told to forget; such an
	// end is durable, whatever happens next.
	done map[job.TaskID]bool
	// doneAt holds ends "done" that are listed, by worker and number.
	doneAt map[*simWorker]map[uint64]job.TaskID
	// everDone holds tasks that ended done at least once.
	everDone map[job.TaskID]bool
	// startedAt is when each task was last started, doneSince when the ends in
	// doneAt came.
	startedAt map[job.TaskID]time.Duration
	doneSince map[*simWorker]map[uint64]time.Duration
	// failures holds the failed ends of each task at workers that live on, and
	// exhausted the starts after as many of them as the queue allows.
	failures  map[job.TaskID][]*simFailure
	exhausted []exhaustedStart
}

// simFailure is a failed end in a worker's list; it counts once the worker was
// told to forget it, unless its lease lapsed meanwhile.
type simFailure struct {
	worker  *simWorker
	number  uint64
	at      time.Duration
	counted bool
}

// exhaustedStart is a start of a task that had no attempts left, if these
// failures all come to count.
type exhaustedStart struct {
	what     string
	failures []*simFailure
}

// checkBudget fails once a start without attempts left is certain.
func (o *oracle) checkBudget() {
	for _, x := range o.exhausted {
		n := 0
		for _, f := range x.failures {
			if f.counted {
				n++
			}
		}
		if n >= o.sim.maxAttempts {
			o.fail("%s after %d failures", x.what, n)
		}
	}
}

func (o *oracle) fail(format string, args ...any) {
	o.broken = append(o.broken, fmt.Sprintf("%v: ", o.sim.now)+fmt.Sprintf(format, args...))
}

func (o *oracle) started(w *simWorker, r *simRun) {
	if len(o.runs[r.task]) > 0 {
		o.fail("task %s run %d starts at %s while it runs at %s", r.task, r.run, w.info.ID, o.runs[r.task][0].info.ID)
	}
	if o.sim.strict && o.everDone[r.task] {
		o.fail("task %s run %d starts at %s though it has ended done", r.task, r.run, w.info.ID)
	}
	if o.done[r.task] {
		o.fail("task %s run %d starts at %s after its end was acknowledged", r.task, r.run, w.info.ID)
	}
	spec := o.sim.specs[r.task.Job]
	for _, earlier := range spec.Steps[r.task.Step].After {
		for i := range spec.Steps[earlier].Count {
			if !o.everDone[job.TaskID{Job: r.task.Job, Step: earlier, Index: i}] {
				o.fail("task %s starts before step %d is done", r.task, earlier)
			}
		}
	}
	if o.sim.cancelled[r.task.Job] > 0 && o.sim.now > o.sim.cancelled[r.task.Job]+simHorizon+2*time.Second {
		o.fail("task %s starts long after its job was cancelled", r.task)
	}
	taken := int64(0)
	for id := range w.running {
		taken += amountOf(&o.sim.specs[id.Job].Steps[id.Step]).cpu
	}
	if taken > w.info.CPUMilli {
		o.fail("task %s starts at %s, of which %d of %d are taken then", r.task, w.info.ID, taken, w.info.CPUMilli)
	}
	o.runs[r.task] = append(o.runs[r.task], w)
	o.startedAt[r.task] = o.sim.now
	if list := o.failures[r.task]; len(list) >= o.sim.maxAttempts {
		what := fmt.Sprintf("task %s run %d starts at %s at %v", r.task, r.run, w.info.ID, o.sim.now)
		o.exhausted = append(o.exhausted, exhaustedStart{what, slices.Clone(list)})
		o.checkBudget()
	}
}

func (o *oracle) ended(w *simWorker, r *simRun, kind EndKind) {
	list := o.runs[r.task][:0]
	for _, x := range o.runs[r.task] {
		if x != w {
			list = append(list, x)
		}
	}
	o.runs[r.task] = list
	if kind == EndFailed {
		o.failures[r.task] = append(o.failures[r.task], &simFailure{worker: w, number: w.endedNo, at: o.sim.now})
	}
	if kind != EndDone {
		return
	}
	o.everDone[r.task] = true
	if o.doneAt[w] == nil {
		o.doneAt[w] = map[uint64]job.TaskID{}
	}
	o.doneAt[w][w.endedNo] = r.task
	if o.doneSince[w] == nil {
		o.doneSince[w] = map[uint64]time.Duration{}
	}
	o.doneSince[w][w.endedNo] = o.sim.now
}

// forgotten is told that a worker may forget ends. An end "done" that counts
// must not be followed by a start, be it before or after this; one whose worker
// let its lease lapse since counts no more.
func (o *oracle) forgotten(w *simWorker, seen uint64) {
	for n, t := range o.doneAt[w] {
		if n <= seen {
			ended := o.doneSince[w][n]
			if w.lapsed < ended {
				o.done[t] = true
				if o.startedAt[t] > ended {
					o.fail("the end of task %s at %s, of %v, is acknowledged though the task was started at %v", t, w.info.ID, ended, o.startedAt[t])
				}
			}
			delete(o.doneAt[w], n)
		}
	}
	for _, list := range o.failures {
		for _, f := range list {
			f.counted = f.counted || f.worker == w && f.number <= seen && w.lapsed < f.at
		}
	}
	o.checkBudget()
}

// crashed forgets what ran at a worker.
func (o *oracle) crashed(w *simWorker) {
	for _, r := range w.running {
		list := o.runs[r.task][:0]
		for _, x := range o.runs[r.task] {
			if x != w {
				list = append(list, x)
			}
		}
		o.runs[r.task] = list
	}
}

// delivery is a call or an answer on its way.
type delivery struct {
	at  time.Duration
	n   int
	run func()
}

// simOwner is one process that runs a core.
type simOwner struct {
	core *Core
	// lag is how late a process that lacks processor time does each thing: it
	// sends what it decided, and reads what was answered, up to lag later.
	lag      time.Duration
	dead     bool
	paused   bool
	cutStore bool
	polling  map[WorkerID]bool
	leadEnd  time.Duration // when its lease at the store is over
	writing  bool
}

// sim drives owners against workers and a store, with faults, in virtual time.
type sim struct {
	rng          *rand.Rand
	now          time.Duration
	params       Params
	workers      []*simWorker
	lives        int
	owner        *simOwner
	old          []*simOwner
	term         uint64
	queue        []delivery
	sent         int
	oracle       *oracle
	failShare    float64
	maxAttempts  int
	lossShare    float64
	specs        map[string]*job.Spec
	order        []string
	cancelled    map[string]time.Duration
	progress     map[string][]byte // the store
	roster       []byte
	storeDown    bool
	takeovers    int
	renewalsLost time.Duration // until then
	// Safeguards that are off.
	dropRoster, ackEarly, noFence, shortLease, dropTasks, unawareLate, hastyRetry bool
	// strict: no task starts again that has ended done, known to the owner or
	// not. That holds while workers can be reached and the owner lives.
	strict bool

	adopted int
	closed  int // entries found closed at takeovers
	trace   []string
}

const (
	simTTL     = 2500 * time.Millisecond
	simHorizon = 12 * time.Second
)

func newSim(seed uint64, workers int) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 7)), specs: map[string]*job.Spec{}, progress: map[string][]byte{},
		cancelled: map[string]time.Duration{}, maxAttempts: 50,
		params: Params{MaxTaskLease: 6 * time.Second, TaskLease: DefaultTaskLease, JobKept: time.Hour, OwnerTTL: simTTL, OwnerHorizon: simHorizon, RecoveryWait: RecoveryWaitFor(simTTL, simHorizon)},
	}
	s.oracle = &oracle{sim: s, runs: map[job.TaskID][]*simWorker{}, done: map[job.TaskID]bool{}, doneAt: map[*simWorker]map[uint64]job.TaskID{}, everDone: map[job.TaskID]bool{}, startedAt: map[job.TaskID]time.Duration{}, doneSince: map[*simWorker]map[uint64]time.Duration{}, failures: map[job.TaskID][]*simFailure{}}
	for i := range workers {
		s.workers = append(s.workers, s.newWorker(i))
	}
	return s
}

func (s *sim) newWorker(place int) *simWorker {
	s.lives++
	rate := 1.0
	if s.rng.IntN(2) == 0 {
		rate = 0.98
	}
	return &simWorker{
		sim: s, alive: true, rate: rate, offset: int64(s.rng.IntN(1_000_000)) + 1, born: s.now,
		info:    WorkerInfo{ID: WorkerID(fmt.Sprintf("w%d-%d", place, s.lives)), VM: fmt.Sprintf("m%d", place), Address: fmt.Sprintf("addr%d", place), Service: "svc", CPUMilli: 4000, MemoryMiB: 8000},
		running: map[job.TaskID]*simRun{}, highest: map[job.TaskID]uint64{},
	}
}

func (s *sim) instant() Instant { return Instant{Steady: s.now, UnixMS: s.now.Milliseconds()} }

func (s *sim) later(d time.Duration, run func()) {
	s.sent++
	s.queue = append(s.queue, delivery{s.now + d, s.sent, run})
}

func (w *simWorker) unreached(term uint64) bool {
	return w.cut || w.cutAbove > 0 && term > w.cutAbove
}

// call models a call: it may be lost before or after it is carried out, or be
// carried out seconds later without an answer.
func (s *sim) call(o *simOwner, w *simWorker, term uint64, do func(w *simWorker), answered func(), lost func()) {
	if o.lag > 0 {
		late := func() time.Duration { return time.Duration(s.rng.Int64N(int64(o.lag))) }
		send, read, in, out := late(), late(), answered, lost
		answered = func() { s.later(read, in) }
		lost = func() { s.later(read, out) }
		if read > callTimeout {
			answered = lost // it gives up before it reads
		}
		s.later(send, func() { s.travel(w, term, do, answered, lost) })
		return
	}
	s.travel(w, term, do, answered, lost)
}

// callTimeout is how long a call waits for its answer.
const callTimeout = 400 * time.Millisecond

func (s *sim) travel(w *simWorker, term uint64, do func(w *simWorker), answered func(), lost func()) {
	travel := time.Duration(1+s.rng.IntN(15)) * time.Millisecond
	roll := s.rng.Float64()
	switch {
	case w == nil || w.unreached(term) || roll < s.lossShare:
		s.later(callTimeout, lost)
	case roll < 2*s.lossShare:
		s.later(travel, func() { do(w) })
		s.later(callTimeout, lost)
	case roll < 3*s.lossShare:
		s.later(time.Duration(2+s.rng.IntN(10))*time.Second, func() { do(w) })
		s.later(callTimeout, lost)
	default:
		s.later(travel, func() {
			if w.unreached(term) {
				s.later(callTimeout, lost)
				return
			}
			do(w)
			s.later(time.Duration(1+s.rng.IntN(60))*time.Millisecond, answered)
		})
	}
}

func (s *sim) byAddress(address string) *simWorker {
	for _, w := range s.workers {
		if w.info.Address == address {
			return w
		}
	}
	return nil
}

// takeover starts a new owner on what the store holds.
func (s *sim) takeover() {
	if s.owner != nil {
		s.old = append(s.old, s.owner)
		s.takeovers++
	}
	s.term++
	o := &simOwner{polling: map[WorkerID]bool{}, leadEnd: s.now + simTTL}
	o.core = New(s.params, s.term, func(d Decision) {
		if d.Event == "run_adopted" {
			s.adopted++
		}
		s.trace = append(s.trace, fmt.Sprintf("%v term %d: %v", s.now, o.core.Term(), d))
	})
	roster := s.roster
	if s.dropRoster {
		roster = nil
	}
	list, err := DecodeRoster(roster)
	if err != nil {
		panic(err)
	}
	for i := range list {
		if list[i].Closed {
			s.closed++
		}
		if s.dropTasks {
			list[i].Tasks = nil
		}
	}
	o.core.Recover(list, s.instant())
	o.core.SetConfig(&job.Config{Version: 1, Queues: []job.Queue{{Name: "q", Service: "svc", MaxAttempts: s.maxAttempts, Stretch: 2}}})
	s.list(o)
	for _, id := range s.order {
		var p *job.Progress
		if v, ok := s.progress[id]; ok {
			if p, err = DecodeProgress(v); err != nil {
				panic(err)
			}
		}
		o.core.AddJob(s.specs[id], p, true, s.instant())
	}
	for id := range s.cancelled {
		o.core.Cancel(id, s.instant())
	}
	o.core.Renewed(s.now)
	s.owner = o
}

func (s *sim) list(o *simOwner) {
	var list []WorkerInfo
	for _, w := range s.workers {
		if w.alive {
			list = append(list, w.info)
		}
	}
	o.core.SetWorkers(list, s.instant())
}

func (s *sim) submit(spec *job.Spec) {
	s.specs[spec.ID] = spec
	s.order = append(s.order, spec.ID)
	for _, o := range append(slices.Clone(s.old), s.owner) {
		if o != nil {
			s.watched(o, func() { o.core.AddJob(spec, nil, false, s.instant()) })
		}
	}
}

// watched delivers a change of the store to an owner, once it reaches it.
func (s *sim) watched(o *simOwner, f func()) {
	if o.cutStore || s.storeDown {
		s.later(100*time.Millisecond, func() { s.watched(o, f) })
		return
	}
	s.answer(o, f)
}

func (s *sim) cancel(id string) {
	if s.cancelled[id] == 0 {
		s.cancelled[id] = s.now
		for _, o := range append(slices.Clone(s.old), s.owner) {
			if o != nil {
				s.watched(o, func() { o.core.Cancel(id, s.instant()) })
			}
		}
	}
}

// flush writes progress, unless the store is down or another owner has taken
// over: the store checks that.
func (s *sim) flush(o *simOwner) {
	if s.storeDown || o.cutStore || o != s.owner || o.writing {
		return
	}
	records, err := o.core.Records(5)
	if err != nil {
		panic(err)
	}
	var roster []byte
	var ids []WorkerID
	if o.core.RosterStale() {
		if roster, ids, err = o.core.Roster(); err != nil {
			panic(err)
		}
	}
	if len(records) == 0 && roster == nil {
		return
	}
	if s.ackEarly {
		o.core.Persisted(records)
	}
	o.writing = true
	s.later(time.Duration(2+s.rng.IntN(30))*time.Millisecond, func() {
		if o == s.owner && !s.storeDown {
			for _, r := range records {
				s.progress[r.Job] = r.Value
			}
			if roster != nil {
				s.roster = roster
			}
			s.later(2*time.Millisecond, func() {
				o.writing = false
				if !o.dead {
					o.core.Persisted(records)
					if roster != nil {
						o.core.RosterStored(ids)
					}
				}
			})
			return
		}
		o.writing = false
	})
}

// drive lets one owner act.
func (s *sim) drive(o *simOwner) {
	if o.dead || o.paused || o.core.Deposed() {
		return
	}
	for _, id := range o.core.Workers() {
		if !o.polling[id] {
			s.poll(o, id)
		}
	}
	if s.shortLease {
		for _, w := range o.core.workers {
			w.lastDeadline -= 1500
		}
	}
	if !s.unawareLate {
		o.core.Late(o.lag, s.instant())
	}
	o.core.Tick(s.instant())
	s.dispatch(o)
	s.flush(o)
}

func (s *sim) dispatch(o *simOwner) {
	for _, order := range o.core.TakeOrders() {
		var answer Answer
		s.call(o, s.byAddress(order.Address), order.Term, func(w *simWorker) { answer = w.order(order) },
			func() { s.answer(o, func() { o.core.OrderDone(order, answer, s.instant()) }) },
			func() {
				s.answer(o, func() { o.core.OrderDone(order, Answer{Outcome: OutcomeUnknown}, s.instant()) })
			})
	}
}

func (s *sim) answer(o *simOwner, f func()) {
	if o.dead {
		return
	}
	if o.paused {
		s.later(50*time.Millisecond, func() { s.answer(o, f) })
		return
	}
	f()
	s.dispatch(o)
}

func (s *sim) poll(o *simOwner, id WorkerID) {
	plan := o.core.PlanHold(id, s.instant())
	if !plan.Send {
		return
	}
	o.polling[id] = true
	var reply HoldReply
	var outcome Outcome
	finish := func(reply HoldReply, outcome Outcome) {
		pause := s.holdDone(o.core, plan.Order, reply, outcome)
		s.later(pause+time.Duration(s.rng.IntN(300))*time.Millisecond, func() { o.polling[id] = false })
	}
	s.call(o, s.byAddress(plan.Order.Address), plan.Order.Term, func(w *simWorker) { reply, outcome = w.hold(plan.Order) },
		func() { s.answer(o, func() { finish(reply, outcome) }) },
		func() { s.answer(o, func() { finish(HoldReply{}, OutcomeUnknown) }) })
}

// holdDone takes in an answer. With hastyRetry, tasks that failed are started
// again as if all workers of the previous owner had answered.
func (s *sim) holdDone(core *Core, order HoldOrder, reply HoldReply, outcome Outcome) time.Duration {
	w := core.workers[order.Worker]
	if s.hastyRetry && w != nil && w.synced {
		waiting, open := core.unresolved, core.openUnresolved
		core.unresolved, core.openUnresolved = nil, 0
		defer func() { core.unresolved, core.openUnresolved = waiting, open }()
	}
	return core.HoldDone(order, reply, outcome, s.instant())
}

// step advances virtual time by one tick and lets all act.
func (s *sim) step() {
	end := s.now + 20*time.Millisecond
	for {
		next := -1
		for i, d := range s.queue {
			if d.at <= end && (next < 0 || d.at < s.queue[next].at || d.at == s.queue[next].at && d.n < s.queue[next].n) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		d := s.queue[next]
		s.queue = append(s.queue[:next], s.queue[next+1:]...)
		s.now = max(s.now, d.at)
		d.run()
	}
	s.now = end
	for _, w := range s.workers {
		w.advance()
	}
	if s.now < s.renewalsLost {
		// Renewals are carried out or not; the owner hears of none.
	} else if s.owner != nil && !s.owner.dead && !s.owner.paused && !s.owner.cutStore && !s.storeDown {
		s.owner.leadEnd = s.now + simTTL
		s.owner.core.Renewed(s.now)
		s.list(s.owner)
	}
	if s.owner == nil || !s.storeDown && s.now > s.owner.leadEnd {
		s.takeover()
	}
	for _, o := range append(slices.Clone(s.old), s.owner) {
		s.drive(o)
	}
}

func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end && len(s.oracle.broken) == 0; {
		s.step()
	}
}

// crash ends a worker's life; another one comes at its address.
func (s *sim) crash(i int) {
	w := s.workers[i]
	if !w.alive {
		return
	}
	w.advance()
	s.oracle.crashed(w)
	w.alive = false
	w.running = map[job.TaskID]*simRun{}
	s.later(time.Duration(200+s.rng.IntN(4000))*time.Millisecond, func() { s.workers[i] = s.newWorker(i) })
}
