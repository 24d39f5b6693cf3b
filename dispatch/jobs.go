package dispatch

import (
	"time"

	"leverstile.dev/dispatch/copies"
	"leverstile.dev/job"
)

// jobState is an accepted job with its steps, its progress and what the store has of it.
type jobState struct {
	spec     *job.Spec
	progress job.Progress
	// steps holds those of the open occurrences, in the order of occurrences. It is nil once
	// the state is final and nothing runs.
	steps []*stepRun
	// nextOccurrence is the first one that is not due or was not opened for lack of space; the
	// earlier ones are open or done. occurrenceEnded is set if an open one may have ended.
	nextOccurrence  int
	occurrenceEnded bool
	stored          bool // before the takeover
	// version counts changes of progress; persisted is the version that the
	// store has. A state is shown, and an end acknowledged, once persisted.
	version, persisted uint64
	shown              job.State
	started            bool // a worker has started one of its tasks
	// cancelled is set by the customer; nothing of the job starts any more.
	cancelled bool
	// active is the number of attempts that may be running.
	active int
	// idleSince is when the job's last attempt ended, for jobs that have
	// tasks to run.
	idleSince time.Duration
	// acceptedAt is when the job was accepted, by the owner's steady clock; endedAt is
	// when it became final, or at the latest when this owner took over.
	acceptedAt, endedAt time.Duration
	// copies is the number of copies that the job has had in this term.
	copies   int
	outcomes jobOutcomes
	// memory counts the job's memory: recordCost for its record, openCost for each open
	// occurrence. waiting is set while its only one waits for memory, compacted once only what
	// customers may ask for is kept.
	memory               *sizeClass
	recordCost, openCost int64
	waiting, compacted   bool
}

// stepRun is one step of one occurrence of a job.
type stepRun struct {
	job                 *jobState
	spec                *job.Step
	occurrence          int
	index               int
	tasks               []*task
	remaining           int // tasks that are not done
	pendingPredecessors int // steps of the occurrence that must be done first
	// ready is the number of tasks in phaseReady; queued is set while the
	// step is in Core.openSteps.
	ready  int
	queued bool
	// gangRun is the run number of the gang that is active, 0 for none.
	gangRun         uint64
	perWork         map[*worker]int // attempts by worker, only with MaxPerWorker
	checkpoint      checkpoint      // of a gang
	advice          *stepAdvice     // of the placement policy, if the queue has one
	awaitsPolicy    bool            // it lacked tickets in the latest pass
	waitLoggedAt    time.Duration   // when it was last logged that the step waits
	runTimeSamples  int             // samples of its tasks' run time; see addMeasurement
	shortestRunTime time.Duration   // the shortest run time measured
	suspects        int             // tasks that may have crashed their workers
	suspectRetryAt  time.Duration   // when starting its suspects is tried again
	preemptedAt     time.Duration   // when tasks were last preempted for it
	basis           rankBasis
	// preemptCheckedAt is when tasks to preempt for it were last searched.
	preemptCheckedAt time.Duration
	// runTimes are the run times of finished tasks in ascending order, kept for steps that may
	// have copies; copyWatched is set while the step is in Core.copySteps.
	runTimes    []time.Duration
	copyWatched bool
}

// phase is the state of a task.
type phase uint8

const (
	// phaseWaiting: an earlier step is not done, or its time has not come.
	phaseWaiting phase = iota
	// phaseUnknown: the previous owner may have started it at a worker that
	// has not answered yet, or that worker may list a failure of it; see
	// mayHaveFailedBefore.
	phaseUnknown
	phaseReady
	phaseStarting
	phaseRunning
	phaseStopping
	phaseDone
)

func (p phase) String() string {
	return [...]string{"waiting", "unknown", "ready", "starting", "running", "stopping", "done"}[p]
}

// task is one task of a step. attempt is set in phaseStarting, phaseRunning and
// phaseStopping, and only then, or while a run of a task in phaseDone is being stopped. copy is a
// second run of a task of a speculative step; it is set only while attempt is. The phase is that of
// attempt.
type task struct {
	step       *stepRun
	index      int
	phase      phase
	attempt    *attempt
	copy       *attempt
	copyAfter  time.Duration // until then no second run is started
	checkpoint checkpoint    // unless it is of a gang
	// lastStart is the newest run that this owner ordered or adopted, previousStart the
	// one before it.
	lastStart, previousStart startedRun
	// notBefore delays a start after a failure.
	notBefore time.Duration
	// avoid is the worker where the last attempt failed.
	avoid WorkerID
	// readySince is when the task last became ready.
	readySince time.Duration
	// lostRuns counts the runs that were given up without a list that reported their ends:
	// each may have failed.
	lostRuns int
	// endUnknown is set if the last attempt counts as ended though no list reported its
	// end. Such a task starts again only while the lease is held for certain: the next
	// owner may know how the attempt ended.
	endUnknown bool
	// speedMoves counts the moves off slow workers.
	speedMoves int
	// quickFailures counts the failures in a row of a long-running task before it settled.
	quickFailures int
	// failedInTerm is set once this owner has read a failure of the task; for a gang it
	// is set at the first task.
	failedInTerm bool
	// crashes is how many workers in a row crashed at its start, counted for a gang at
	// its first task; crashVersion is the job's version that records it;
	// unconfirmedCrashes is how many more of its runs may have been crashes, see lostIncarnation.
	crashes, unconfirmedCrashes int
	crashVersion                uint64
	// crashComparedAt is when its newest crash is compared with those of other workers; see
	// crashComparison.
	crashComparedAt time.Duration
	// possibleCrashRuns may have crashed their workers, while no crash is known; see
	// recordStartLostWithOwner and recordInconclusiveEnd.
	possibleCrashRuns []uint64
	// previousTermStartKnown is set once the outcome of its last start by the previous
	// owner is known.
	previousTermStartKnown bool
}

// attempt is a run that was ordered and may be running.
type attempt struct {
	task   *task
	worker *worker
	run    uint64
	// deadline is that of the start order, on the worker's clock: the worker refuses an
	// order that arrives later.
	deadline int64
	// ackClock is the worker's clock at the answer that confirmed the run, 0 while the
	// start is unanswered. A list with a smaller clock was read before the start.
	ackClock int64
	// brokenAt is when the connection of the start's first copy broke, 0 if it did not.
	brokenAt time.Duration
	// unsent is set until the store has a record of the start.
	unsent bool
	// lost is set if no list reported how the run ended.
	lost bool
	// unlisted is set while the newest lists lack the run since it was last known to be at the
	// worker; unlistedAt is when the first of these lists was read; see handleMissing.
	unlisted   bool
	unlistedAt time.Duration
	tries      int // copies of the start that were sent
	// placedAt is when it was ordered, started when that was confirmed.
	placedAt  time.Duration
	started   time.Duration
	stopping  bool
	listed    bool          // by the worker's incarnation
	pastStart bool          // past its start in the newest list
	stopAt    time.Duration // when the last stop was sent
	// wantedPace is the wanted limit of its CPU share in percent, ackedPace the one that
	// the worker has acknowledged.
	wantedPace, ackedPace int
	paceSentAt            time.Duration // when the last order of a pace was sent
	paceUnansweredAt      time.Duration // when an order of a pace last got no answer
	speed                 speedTracker
	slowedSince           time.Duration // since when its pace is below movePace
	fullCPU               float64       // thousandths of a core at full pace, from readings
	hasFullCPU            bool          // fullCPU is set
	lastReading           float64       // the newest reading, thousandths of a core
	tail                  tailTracker
	ticket                string
	adopted               bool
	settled               bool          // it has worked for settledAfter, for a long-running task
	trial                 bool          // see recordSuspectStart
	running               bool          // the worker has confirmed the start
	isCopy                bool          // started as a second run
	copyReason            copies.Reason // of a copy that this owner has started
	won                   bool          // it was the first run of its task that was done
	refused               bool          // its start was refused, so that it never ran
}

func (t *task) id() job.TaskID {
	return job.TaskID{Job: t.step.job.spec.ID, Occurrence: t.step.occurrence, Step: t.step.index, Index: t.index}
}

// AddJob adds a job that the store holds. Progress is nil for a new one. Stored is set for a
// job that was stored before the takeover: the previous owner may have started its tasks.
func (c *Core) AddJob(spec *job.Spec, progress *job.Progress, stored bool, now Instant) {
	if _, ok := c.jobs[spec.ID]; ok || c.held[spec.ID] || c.dropped.known[spec.ID] {
		return
	}
	if !stored && !c.holdsLease(now) {
		// Another owner may have taken over and started the job, which would
		// then be treated as one that nobody else can have started.
		c.deferred = append(c.deferred, deferredJob{spec, now.Steady - ageAtIntake(spec, stored, now)})
		return
	}
	c.addJob(spec, progress, stored, now.Steady-ageAtIntake(spec, stored, now), now)
}

// HoldJob excludes a job for the rest of this term, however often it is received
// again: it is not known which of its tasks are done. Otherwise, when the store's
// history is lost and all jobs are read again, it would be added as new and its tasks
// would run a second time.
func (c *Core) HoldJob(id string) {
	c.held[id] = true
	c.trace(Decision{Event: "job_held", Job: id, Reason: "its record or its progress is damaged"})
}

// deferredJob is a job that is added once the lease is held for certain.
type deferredJob struct {
	spec       *job.Spec
	acceptedAt time.Duration
}

func (c *Core) addJob(spec *job.Spec, progress *job.Progress, stored bool, acceptedAt time.Duration, now Instant) {
	j := &jobState{spec: spec, shown: job.Queued, idleSince: now.Steady, acceptedAt: acceptedAt, endedAt: now.Steady}
	j.progress.State = job.Queued
	c.jobs[spec.ID] = j
	c.countRecord(j)
	if progress != nil {
		j.progress = *progress
		j.shown = progress.State
		j.started = progress.State != job.Queued
	}
	if j.progress.State.Final() {
		c.compactEnded(j)
		return
	}
	c.serveQueueOf(spec)
	j.stored = stored
	c.openStored(j)
	c.openDue(j, now)
	c.countWaiting(j)
	if spec.Occurrences > 0 || j.waiting {
		c.repeated = append(c.repeated, j)
	}
	c.restoreCrashes(j)
	if stored {
		c.recoverPossibleCrashes(j, now)
		c.recoverStarts(j, now)
	}
	if j.progress.State.Final() {
		return
	}
	for _, s := range j.steps {
		c.openStep(s, now)
	}
	c.finishIfDone(j, now)
	c.trace(Decision{Event: "job_added", Job: spec.ID, Reason: spec.Queue})
	if _, cancelled := c.cancelled[spec.ID]; cancelled {
		delete(c.cancelled, spec.ID)
		c.Cancel(spec.ID, now)
	}
}

// Bounds of a job's age when the owner receives it. The watch reports a new job within
// 2.4 s even if its connection is silent. For a job from before a takeover, a minute more
// makes no difference to its customer.
const (
	maxNewAge    = 3 * time.Second
	maxStoredAge = 60 * time.Second
)

// ageAtIntake returns how long ago a job was accepted, as far as the clocks of the
// entry that accepted it and of the owner can be trusted: from then on only the
// steady clock counts. Without the bounds, a clock that is hours ahead makes all jobs of
// its entry hopelessly late, or the most urgent of all.
func ageAtIntake(spec *job.Spec, stored bool, now Instant) time.Duration {
	bound := maxNewAge
	if stored {
		bound = maxStoredAge
	}
	age := time.Duration(now.UnixMS-spec.AcceptedMS) * time.Millisecond
	return min(max(age, 0), bound)
}

// addDeferred adds the jobs that were received while the lease was not held for certain.
func (c *Core) addDeferred(now Instant) {
	if len(c.deferred) == 0 || !c.holdsLease(now) {
		return
	}
	list := c.deferred
	c.deferred = nil
	for _, d := range list {
		if c.jobs[d.spec.ID] == nil {
			c.addJob(d.spec, nil, false, d.acceptedAt, now)
		}
	}
}

// buildOccurrence creates the steps and tasks of an occurrence; unknown means that an earlier
// owner may have started the tasks.
func (j *jobState) buildOccurrence(occurrence int, unknown bool) []*stepRun {
	steps := make([]*stepRun, len(j.spec.Steps))
	for i := range steps {
		steps[i] = j.buildStep(occurrence, i, unknown)
	}
	for _, s := range steps {
		for _, earlier := range s.spec.After {
			if steps[earlier].remaining > 0 {
				s.pendingPredecessors++
			}
		}
	}
	return steps
}

func (j *jobState) buildStep(occurrence, index int, unknown bool) *stepRun {
	s := &stepRun{job: j, spec: &j.spec.Steps[index], occurrence: occurrence, index: index}
	if s.spec.MaxPerWorker > 0 {
		s.perWork = map[*worker]int{}
	}
	block := make([]task, s.spec.Count)
	s.tasks = make([]*task, s.spec.Count)
	for i := range s.tasks {
		t := &block[i]
		t.step, t.index = s, i
		s.tasks[i] = t
		if j.progress.IsDone(t.id()) {
			t.phase = phaseDone
			continue
		}
		if unknown {
			t.phase = phaseUnknown
		}
		s.remaining++
	}
	return s
}

// restoreCrashes sets the crash counts of a job's tasks from its stored progress.
func (c *Core) restoreCrashes(j *jobState) {
	if len(j.progress.Crashes) == 0 {
		return
	}
	for _, s := range j.steps {
		for _, t := range s.tasks {
			c.setCrashes(t, j.progress.CrashCount(t.id()).All)
		}
	}
}

// openStep makes the tasks of a step ready if it is due and waits for no other step.
func (c *Core) openStep(s *stepRun, now Instant) {
	if s.pendingPredecessors > 0 || s.remaining == 0 || s.job.cancelled {
		return
	}
	if due := s.job.spec.DueMS(s.occurrence); due > now.UnixMS {
		c.queueStep(s) // checked again in each pass
		return
	}
	for _, t := range s.tasks {
		if t.phase == phaseWaiting {
			c.makeReady(t, now)
		}
	}
}

// due reports whether the step's occurrence is due.
func (s *stepRun) due(now Instant) bool { return s.job.spec.DueMS(s.occurrence) <= now.UnixMS }

// mayHaveStarted reports whether an owner may have started tasks of the step.
func (s *stepRun) mayHaveStarted(now Instant) bool { return !s.blocked() && s.due(now) }

// blocked reports whether an earlier step is not done.
func (s *stepRun) blocked() bool { return s.pendingPredecessors > 0 }

func (c *Core) makeReady(t *task, now Instant) {
	if c.mayHaveFailedBefore(t) {
		t.phase, c.unknownPending = phaseUnknown, true
		return
	}
	t.phase = phaseReady
	t.readySince = now.Steady
	t.step.ready++
	c.queueStep(t.step)
}

func (c *Core) queueStep(s *stepRun) {
	if !s.queued {
		s.queued = true
		c.openSteps = append(c.openSteps, s)
	}
}

// release ends an attempt of which nothing runs any more. The task becomes ready
// again unless it is done or its job has ended.
func (c *Core) release(a *attempt, now Instant) {
	t, w := a.task, a.worker
	s := t.step
	w.remove(a)
	if s.spec.LongRunning {
		c.reservedCapacityOf(w.info.Service).ended += s.spec.CPUMilli
	}
	c.refusals.recordChange(w, false)
	if s.perWork != nil {
		s.perWork[w]--
	}
	s.job.active--
	s.job.idleSince = now.Steady
	c.countCopyEnd(a, now)
	active := t.detach(a, now)
	s.job.occurrenceEnded = s.job.occurrenceEnded || t.phase == phaseDone
	if !a.lost {
		c.dropStarts(t, a.run)
	}
	if active || t.phase == phaseDone {
		return
	}
	t.phase = phaseWaiting
	if s.job.cancelled || s.job.progress.State.Final() {
		return
	}
	if s.spec.Gang {
		c.gangMemberLeft(s, a.run, now)
		return
	}
	if !s.blocked() {
		c.makeReady(t, now)
	}
}

// gangMemberLeft stops the other members of a run, and makes all tasks ready
// once no member is active.
func (c *Core) gangMemberLeft(s *stepRun, run uint64, now Instant) {
	active := false
	for _, t := range s.tasks {
		if t.attempt != nil {
			active = true
			c.stop(t.attempt, "gang member left", now)
		}
	}
	if active || s.blocked() {
		return
	}
	s.gangRun = 0
	for _, t := range s.tasks {
		if t.phase == phaseWaiting {
			c.makeReady(t, now)
		}
	}
}
