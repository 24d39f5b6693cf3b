package dispatch

import (
	"fmt"
	"slices"
	"time"

	"leverstile.dev/dispatch/copies"
	"leverstile.dev/job"
)

// Limits of copies, second runs of tasks of speculative steps.
const (
	// copyCheckInterval is the time between two checks of the running tasks for copies.
	copyCheckInterval = 50 * time.Millisecond
	// copyRetryPause is how long a task gets no copy after one of its runs was released.
	copyRetryPause = 300 * time.Millisecond
	// pollWaitCopies is the wait of a poll of a worker that runs tasks which may have copies. With
	// 1.5 s, the default, the silence of a worker is known only after an urgent job of 0.8 s
	// is late. Busy workers answer several times per second anyway, since tasks end there.
	pollWaitCopies = 300 * time.Millisecond
	// lateAnswerTime is how long after the wait of a poll its answer usually arrives at the latest.
	// The worker counts as silent for copies from then on, since the poll's timeout would
	// take up most of an urgent job's objective.
	lateAnswerTime = 200 * time.Millisecond
	// maxRunTimeSamples bounds the run times that are kept of a step's tasks.
	maxRunTimeSamples = 64
	// outlivedStart is how long a run must have worked, as far as its worker has answered since, so
	// that a crash of the worker is not attributed to its start when a copy is considered.
	outlivedStart = 250 * time.Millisecond
	// crashWave is the number of workers whose connections broke within crashWaveTime from which
	// the loss of one is not attributed to a task there.
	crashWave     = 3
	crashWaveTime = 4 * time.Second
)

// mayCopy reports whether the step's tasks may have a second run. A copy of a task with
// checkpoints would start from the checkpoint of the first run, and one of a fill holds up
// the fills of other jobs.
func mayCopy(s *job.Step) bool {
	return s.Speculative && s.IsShort() && !s.Gang && !s.Checkpoints
}

// isSecond reports whether the attempt is the task's second run at present.
func (a *attempt) isSecond() bool { return a.task.copy == a }

// phase returns the phase of the attempt, which is that of its task unless it is the second run.
func (a *attempt) phase() phase {
	switch {
	case !a.isSecond():
		return a.task.phase
	case a.task.phase == phaseDone:
		return phaseDone
	default:
		return a.ownPhase()
	}
}

// ownPhase returns the phase by what is known of the attempt alone.
func (a *attempt) ownPhase() phase {
	switch {
	case a.stopping:
		return phaseStopping
	case a.running:
		return phaseRunning
	default:
		return phaseStarting
	}
}

// confirmRunning records that the worker has started the run.
func (a *attempt) confirmRunning(now Instant) {
	if a.phase() == phaseStarting {
		a.started = now.Steady
		if !a.isSecond() {
			a.task.phase = phaseRunning
		}
	}
	a.running = true
}

// attempts returns the runs of the task that may be active, the primary one first.
func (t *task) attempts() []*attempt {
	switch {
	case t.attempt == nil:
		return nil
	case t.copy == nil:
		return []*attempt{t.attempt}
	default:
		return []*attempt{t.attempt, t.copy}
	}
}

// runOf returns the task's attempt with this run number, or nil.
func (t *task) runOf(run uint64) *attempt {
	switch {
	case t.attempt != nil && t.attempt.run == run:
		return t.attempt
	case t.copy != nil && t.copy.run == run:
		return t.copy
	default:
		return nil
	}
}

// detach removes a released attempt from its task. If the task has a second run, that one
// becomes the primary one; active is true then.
func (t *task) detach(a *attempt, now Instant) (active bool) {
	if t.copy == nil {
		t.attempt = nil
		return false
	}
	t.copyAfter = now.Steady + copyRetryPause
	if a == t.attempt {
		t.attempt = t.copy
		t.phase = phaseOf(t, t.copy.ownPhase())
	}
	t.copy = nil
	return true
}

// copiedInsteadOfMoved reports whether a slow run of the task gets a copy instead of being stopped and
// started elsewhere, which loses its work if the task takes long on any worker.
func (c *Core) copiedInsteadOfMoved(t *task, now Instant) bool {
	if t.copy != nil {
		return true
	}
	if c.params.NoCopies || !mayCopy(t.step.spec) || c.settingsOf(t.step.job.spec).Advice != nil {
		return false
	}
	b := c.copyBudget(t, nil)
	return c.copyRules.JobAllows(b) && c.copyRules.AttemptsLeft(b) && !c.lateRecord(t.step).Futile(c.copyRules, now.Steady)
}

// watchForCopies adds a step to those whose running tasks are checked for copies.
func (c *Core) watchForCopies(s *stepRun) {
	if !c.params.NoCopies && !s.copyWatched && mayCopy(s.spec) {
		s.copyWatched = true
		c.copySteps = append(c.copySteps, s)
	}
}

// startCopies starts second runs of the tasks that are expected to end earlier that way. It
// follows a scheduling pass: ready tasks go first.
func (c *Core) startCopies(now Instant) {
	if c.params.NoCopies || c.deposed || now.Steady >= c.validUntil || now.Steady < c.copiesCheckedAt+copyCheckInterval {
		return
	}
	c.copiesCheckedAt = now.Steady
	c.copySteps = slices.DeleteFunc(c.copySteps, func(s *stepRun) bool {
		over := s.remaining == 0 || s.job.progress.State.Final()
		s.copyWatched = !over
		return over
	})
	// A copy is a new start: the next owner may know that the first run is done.
	if !c.holdsLease(now) || c.overload.load >= LoadNoFills {
		return
	}
	wanted := c.wantedCopies(now)
	slices.SortStableFunc(wanted, func(x, y wantedCopy) int { return int(x.decision.Reason) - int(y.decision.Reason) })
	pools := map[string]*copyPool{}
	for _, x := range wanted {
		service := c.serviceOf(x.task.step.job.spec)
		p := pools[service]
		if p == nil {
			p = c.copyPoolOf(service, now)
			pools[service] = p
		}
		c.startCopy(x, p, now)
	}
}

// wantedCopy is a task that would end earlier with a copy.
type wantedCopy struct {
	task     *task
	decision copies.Decision
	run      copies.Run
}

func (c *Core) wantedCopies(now Instant) []wantedCopy {
	var wanted []wantedCopy
	wave := c.crashWaveNow(now)
	for _, s := range c.copySteps {
		if q, known := c.queueOf(s.job.spec); !known || q.Advice != nil {
			continue // a ticket of the placement policy is for one run
		}
		common := copies.Run{Usual: c.estimate(s), Median: s.medianRunTime(), Samples: len(s.runTimes), Tasks: len(s.tasks), Futile: c.lateRecord(s).Futile(c.copyRules, now.Steady)}
		for _, t := range s.tasks {
			if !t.mayHaveCopy(now) || !wave && t.attempt.mayHaveCrashed() {
				continue
			}
			run := c.describeRun(common, t.attempt, now)
			if d := c.copyRules.Decide(run); d.Start() && !c.mayRun(t) {
				wanted = append(wanted, wantedCopy{t, d, run})
			}
		}
	}
	return wanted
}

// mayHaveCopy reports whether a second run of the task may be started as far as the state of the task
// is concerned. Besides, no worker may run it that has not answered since a takeover: a copy that the
// previous owner started may run, or have failed, there; see Core.mayRun.
func (t *task) mayHaveCopy(now Instant) bool {
	return t.attempt != nil && t.copy == nil && t.phase != phaseDone && mayCopy(t.step.spec) && !t.attempt.unsent &&
		now.Steady >= t.copyAfter && t.suspectedCrashes() == 0 && len(t.possibleCrashRuns) == 0
}

// mayHaveCrashed reports whether the start of a run may have crashed its worker: a copy could crash
// the next one. That is unlikely if the worker has answered since the run had worked for a
// while, or if another run was started there later.
func (a *attempt) mayHaveCrashed() bool {
	w := a.worker
	if !w.loss.broken || w.lastContact-a.started >= outlivedStart {
		return false
	}
	return !slices.ContainsFunc(w.attempts, func(o *attempt) bool { return o.placedAt-a.placedAt >= recentStartWindow })
}

// crashWaveNow reports whether the connections to several workers broke within a short time.
func (c *Core) crashWaveNow(now Instant) bool {
	n := 0
	for _, w := range c.sortedWorkers {
		if w.loss.broken && now.Steady-w.loss.since < crashWaveTime {
			n++
		}
	}
	return n >= crashWave
}

// describeRun adds what concerns one run to the description of its step's runs, for the decision on a
// copy.
func (c *Core) describeRun(run copies.Run, a *attempt, now Instant) copies.Run {
	w := a.worker
	run.Age, run.Stopping = now.Steady-a.started, a.stopping
	run.Silent, run.LeaseLeft = c.silentForCopies(w, now), w.leaseLeft(now)
	run.WorkerSlow = now.Steady < w.slowUntil || w.slow()
	if a.speed.took > 0 {
		left := time.Duration(float64(a.speed.took) * float64(100-a.speed.percent) / 100)
		run.Left = max(left-(now.Steady-a.speed.at), time.Millisecond)
	}
	return run
}

// lateRecord returns the record of the copies of overdue and slow runs of the step's kind of task.
func (c *Core) lateRecord(s *stepRun) *copies.Record {
	key := runTimeKey{s.job.spec.Queue, s.spec.Image}
	r := c.lateCopies[key]
	if r == nil {
		r = &copies.Record{}
		c.lateCopies[key] = r
	}
	return r
}

// silentForCopies reports whether a worker has not answered for longer than a poll takes. It
// concludes so sooner than silent does: an error costs a copy, and ends no run.
func (c *Core) silentForCopies(w *worker, now Instant) bool {
	if c.silent(w, now) {
		return true
	}
	outstanding := w.pollSent > w.answeredPollSent && w.pollSent > w.failedPollSent && w.pollSent > c.overload.inconclusiveAt
	return outstanding && now.Steady-w.pollSent > w.pollWaitSent+lateAnswerTime && c.reachesOthers(w, now)
}

// leaseLeft returns the time until all leases at the worker have expired for certain; see deadlinePassed.
func (w *worker) leaseLeft(now Instant) time.Duration {
	left := time.Duration(float64(w.lastDeadline-w.clock)/clockRate) * time.Millisecond
	return w.clockAt + left + clockMargin - now.Steady
}

// copyPool is what a service has for copies in one check.
type copyPool struct {
	workers   []*worker
	cpu, held int64  // of the pool, and of copies, in thousandths of a core
	waiting   []rank // of the steps that wait for capacity
	// refused holds the steps whose copy found no worker in this check.
	refused map[*stepRun]bool
}

func (c *Core) copyPoolOf(service string, now Instant) *copyPool {
	p := &copyPool{workers: c.poolOf(service, now), refused: map[*stepRun]bool{}}
	for _, w := range p.workers {
		p.cpu += w.info.CPUMilli
	}
	for _, s := range c.copySteps {
		if c.serviceOf(s.job.spec) != service {
			continue
		}
		for _, t := range s.tasks {
			if t.copy != nil {
				p.held += s.spec.CPUMilli
			}
		}
	}
	for _, s := range c.openSteps {
		if q := c.settingsOf(s.job.spec); q.Service == service && s.waitsForCapacity(now) {
			p.waiting = append(p.waiting, c.rankOf(s, q, now))
		}
	}
	return p
}

// waitsForCapacity reports whether a task of the step could start now, if there were capacity.
func (s *stepRun) waitsForCapacity(now Instant) bool {
	if s.ready == 0 || s.job.progress.State.Final() {
		return false
	}
	return slices.ContainsFunc(s.tasks, func(t *task) bool {
		return t.phase == phaseReady && now.Steady >= t.notBefore && t.suspectedCrashes() == 0
	})
}

// yields reports whether a ready task of equal or higher rank waits for capacity.
func (p *copyPool) yields(r rank) bool {
	return slices.ContainsFunc(p.waiting, func(o rank) bool {
		return o.priority < r.priority || o.priority == r.priority && o.class <= r.class
	})
}

// copyBudget returns the use of copies as far as it concerns the task; p is nil if the pool
// does not count.
func (c *Core) copyBudget(t *task, p *copyPool) copies.Budget {
	j := t.step.job
	b := copies.Budget{
		CPU: t.step.spec.CPUMilli, JobCopies: j.copies,
		Failures: j.progress.FailureCount(t.id()), Runs: len(t.attempts()) + t.lostRuns, MaxAttempts: c.settingsOf(j.spec).MaxAttempts,
	}
	for i := range j.spec.Steps {
		b.JobTasks += j.spec.Steps[i].Count
	}
	if p != nil {
		b.PoolCPU, b.CopyCPU = p.cpu, p.held
	}
	return b
}

// startCopy starts a second run of a task, if the budget and the capacity allow one.
func (c *Core) startCopy(x wantedCopy, p *copyPool, now Instant) {
	t := x.task
	s := t.step
	if p.refused[s] || !c.copyRules.Allows(c.copyBudget(t, p)) || p.yields(c.rankOf(s, c.settingsOf(s.job.spec), now)) {
		return
	}
	if x.decision.Reason.Late() && c.lateRecord(s).Futile(c.copyRules, now.Steady) {
		return // another one has just been tried
	}
	w := c.workerForCopy(t, p.workers, now)
	if w == nil {
		p.refused[s] = true
		return
	}
	p.held += s.spec.CPUMilli
	s.job.copies++
	c.stats.CopiesStarted++
	first := t.attempt
	a := c.newAttempt(t, w, c.newRun(), "", now)
	a.isCopy, a.copyReason, t.copy = true, x.decision.Reason, a
	if a.copyReason.Late() {
		c.lateRecord(s).Try(now.Steady)
	}
	w.load.otherCPU += float64(s.spec.CPUMilli)
	d := taskDecision("copy_started", t, w, a.run, x.decision.Reason.String())
	d.Detail = fmt.Sprintf("run %d at %s expected to end in %v, the copy in %v; its age %v, median of %d tasks %v, usual %v, lease left %v, copies of the job %d, held %d of %d millicores",
		first.run, first.worker.info.ID, x.decision.FirstEnd, x.decision.CopyEnd, x.run.Age, x.run.Samples, x.run.Median, x.run.Usual, x.run.LeaseLeft, s.job.copies, p.held, p.cpu)
	d.Age = x.run.Age
	c.trace(d)
	c.sendStart(a, "")
}

// workerForCopy returns a worker for a second run of the task: not the VM of the first run, and in
// another rack if one has capacity.
func (c *Core) workerForCopy(t *task, pool []*worker, now Instant) *worker {
	first := t.attempt.worker.info
	v := c.plainView(t.step, now)
	v.avoidsSlow = true
	var elsewhere, otherRack []*worker
	for _, w := range pool {
		if w.info.VM == first.VM && first.VM != "" || w.info.ID.Name() == first.ID.Name() {
			continue
		}
		elsewhere = append(elsewhere, w)
		if w.info.Rack != first.Rack {
			otherRack = append(otherRack, w)
		}
	}
	if w := c.choose(t, otherRack, v, now); w != nil {
		return w
	}
	return c.choose(t, elsewhere, v, now)
}

// adoptableCopy reports whether a run that the previous owner started may be adopted as the second
// run of a task.
func (t *task) adoptableCopy(w *worker) bool {
	return mayCopy(t.step.spec) && t.attempt != nil && t.copy == nil && !w.synced && t.phase != phaseDone &&
		!t.step.job.progress.State.Final() && t.attempt.worker.info.ID.Name() != w.info.ID.Name()
}

// adoptCopy adopts a listed run as the second one of its task.
func (c *Core) adoptCopy(w *worker, t *task, run uint64, now Instant) *attempt {
	a := &attempt{
		task: t, worker: w, run: run, wantedPace: fullPace, ackedPace: fullPace, started: now.Steady, adopted: true, running: true, isCopy: true,
	}
	t.copy = a
	if c.ofEarlierTerm(run) {
		if run > t.lastStart.run {
			t.addStart(run, w)
		} else {
			t.previousStart = startedRun{run, w.info.ID} // lastStart remains the newest run
		}
	}
	c.addAttempt(a)
	t.step.job.copies++
	c.logTask("run_adopted", t, w, run, "second run, listed in the first answer")
	return a
}

// otherRunDone returns why the other runs of a task are stopped after one of them is done; a is nil
// if that run had been given up before.
func otherRunDone(a *attempt) string {
	if a != nil {
		return "another run is done"
	}
	return "an earlier run is done"
}

// learnForCopies records the run time of a run that is done, and counts a copy that is done first.
func (c *Core) learnForCopies(a *attempt, now Instant) {
	s := a.task.step
	if !a.adopted {
		s.recordRunTime(now.Steady - a.started)
	}
	a.won = a.task.phase != phaseDone
	if !a.isCopy || !a.won {
		return
	}
	c.stats.CopiesWon++
	if a.copyReason.Late() {
		c.lateRecord(s).Won()
	}
	d := taskDecision("copy_won", a.task, a.worker, a.run, "it was done first")
	d.Detail = fmt.Sprintf("run time %v, usual %v", now.Steady-a.started, c.estimate(s))
	d.Age = now.Steady - a.started
	c.trace(d)
}

// countCopyEnd counts and logs the end of a copy that was not done first. It precedes the removal of
// the attempt from its task.
func (c *Core) countCopyEnd(a *attempt, now Instant) {
	if !a.isCopy || a.won {
		return
	}
	if a.refused {
		a.task.step.job.copies--
		return
	}
	ran := max(now.Steady-a.started, 0)
	cost := ran.Seconds() * float64(a.task.step.spec.CPUMilli) / 1000
	c.stats.CopiesWastedCoreSeconds += cost
	reason := "it ended without a result"
	if a.task.phase == phaseDone {
		reason = "another run was done first"
	}
	d := taskDecision("copy_lost", a.task, a.worker, a.run, reason)
	d.Detail = fmt.Sprintf("ran for %v, %.2f core seconds", ran, cost)
	d.Age = ran
	c.trace(d)
}

// recordRunTime records the run time of a finished task of a speculative step.
func (s *stepRun) recordRunTime(took time.Duration) {
	if !mayCopy(s.spec) || len(s.runTimes) >= maxRunTimeSamples {
		return
	}
	i, _ := slices.BinarySearch(s.runTimes, took)
	s.runTimes = slices.Insert(s.runTimes, i, took)
}

// medianRunTime returns the median run time of the step's finished tasks, 0 if there are none.
func (s *stepRun) medianRunTime() time.Duration {
	if len(s.runTimes) == 0 {
		return 0
	}
	return s.runTimes[len(s.runTimes)/2]
}
