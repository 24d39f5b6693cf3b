package dispatch

import (
	"slices"
	"time"

	"leverstile.dev/job"
)

// Figures of the contact with workers.
const (
	// clockRate is the slowest that a worker's clock may run: 2% slow.
	clockRate = 0.98
	// clockMargin covers rounding to milliseconds and late timers.
	clockMargin = 50 * time.Millisecond
	// startWindow is how long a start order may take to arrive; a later one
	// is refused by the worker. It allows three tries of 400 ms.
	startWindow = 1400 * time.Millisecond
	// Waits of long polls. A worker whose serving tasks have fills beside
	// them is read more often than every half second, the window of its
	// readings; others only for ends and to renew the lease.
	holdWaitWatched = 450 * time.Millisecond
	holdWait        = 1500 * time.Millisecond
	// holdGapUnsaved is the pause before the next poll while ends wait to be
	// persisted: the worker would answer at once.
	holdGapUnsaved = 60 * time.Millisecond
	// holdRetryMin and holdRetryMax bound the back-off of failed polls.
	holdRetryMin = 100 * time.Millisecond
	holdRetryMax = 800 * time.Millisecond
	// suspectAfter unanswered calls in a row, no new task goes to a worker.
	suspectAfter = 2
	// maxEndsListed is the most ends in one answer.
	maxEndsListed = 500
)

// worker is what the owner knows of one life of a worker.
type worker struct {
	info WorkerInfo
	// listed is set while the platform lists the worker.
	listed bool
	// synced is set once the worker has accepted the owner's term and its
	// lists were read.
	synced bool
	// clock is the worker's clock at clockAt or a little earlier.
	clock   int64
	clockAt time.Duration
	// lastDeadline is the latest deadline that any order may have given.
	lastDeadline int64
	// processed is the last end taken into account, seen the last that the
	// worker may forget; ends lists those between.
	processed, seen uint64
	ends            []pendingEnd
	attempts        []*attempt // in the order of their orders
	foreign         map[job.TaskID]foreignRun
	used            resources
	lastingCPU      int64 // declared, of lasting tasks
	unanswered      int
	holdFails       int
	lastAnswer      time.Duration
	strikes         int
	failStreak      int
	avoidUntil      time.Duration
	fullUntil       time.Duration
	overReason      string        // why its life is over, while that is put off
	leavesAt        time.Duration // a draining worker's last moment, at the latest
	load            workerLoad
	reserved        time.Duration // until then room that was made is not made again
	openness        float64       // see rateOpenness
	squeeze         float64       // further scale of paces, from 0 to 1
}

// resources is an amount that tasks take of a worker.
type resources struct{ cpu, memory, accelerators int64 }

// pendingEnd is an end that can be forgotten once its job's version is stored.
type pendingEnd struct {
	number  uint64
	job     *jobState
	version uint64
}

// foreignRun is a listed run that the owner did not expect; it is stopped.
type foreignRun struct {
	run    uint64
	askAt  time.Duration
	amount resources
}

func newWorker(info WorkerInfo) *worker {
	return &worker{info: info, squeeze: 1, foreign: map[job.TaskID]foreignRun{}}
}

// amount returns what a task of the step takes of a worker's room.
func (s *stepRun) amount() resources {
	r := resources{s.spec.CPUMilli, s.spec.MemoryMiB, s.spec.Accelerators}
	if s.spec.Fills {
		r.cpu = 0
	}
	return r
}

func (r resources) add(o resources, sign int64) resources {
	return resources{r.cpu + sign*o.cpu, r.memory + sign*o.memory, r.accelerators + sign*o.accelerators}
}

func (w *worker) add(a *attempt) {
	w.attempts = append(w.attempts, a)
	s := a.task.step
	w.used = w.used.add(s.amount(), 1)
	if s.spec.Lasting {
		w.lastingCPU += s.spec.CPUMilli
	}
}

func (w *worker) remove(a *attempt) {
	w.attempts = slices.DeleteFunc(w.attempts, func(b *attempt) bool { return a == b })
	s := a.task.step
	w.used = w.used.add(s.amount(), -1)
	if s.spec.Lasting {
		w.lastingCPU -= s.spec.CPUMilli
	}
}

// fits reports whether one more task of that amount has room.
func (w *worker) fits(r resources) bool {
	used := w.used
	for _, f := range w.foreign {
		used = used.add(f.amount, 1)
	}
	return used.cpu+r.cpu <= w.info.CPUMilli && used.memory+r.memory <= w.info.MemoryMiB &&
		used.accelerators+r.accelerators <= w.info.Accelerators
}

// takesWork reports whether new tasks may be sent to the worker.
func (w *worker) takesWork(now Instant) bool {
	return w.listed && w.overReason == "" && !w.info.Draining && w.synced && w.unanswered < suspectAfter &&
		now.Steady >= w.avoidUntil
}

// noteClock takes in a clock reading; it reports false if it is older than one
// that was seen before, because answers overtook each other.
func (w *worker) noteClock(clock int64, now Instant) bool {
	if clock == 0 || clock < w.clock {
		return false
	}
	w.clock, w.clockAt = clock, now.Steady
	return true
}

// clockNow estimates the worker's clock, at most a little too low.
func (w *worker) clockNow(now Instant) int64 {
	return w.clock + (now.Steady - w.clockAt).Milliseconds()
}

// surelyPast reports whether the worker's clock has passed a deadline even if
// it runs as slowly as allowed.
func (w *worker) surelyPast(deadline int64, now Instant) bool {
	left := time.Duration(float64(deadline-w.clock)/clockRate) * time.Millisecond
	return now.Steady > w.clockAt+left+clockMargin
}

// deadlineIn returns a deadline on the worker's clock that is ahead from now,
// but not beyond the owner's right to give orders; 0 if that is over.
func (c *Core) deadlineIn(w *worker, ahead time.Duration, now Instant) int64 {
	ahead = min(ahead, c.params.MaxTaskLease)
	right := time.Duration(float64(c.validUntil-now.Steady) * clockRate)
	ahead = min(ahead, right)
	if ahead <= 0 {
		return 0
	}
	d := w.clockNow(now) + ahead.Milliseconds()
	w.lastDeadline = max(w.lastDeadline, d)
	return d
}

// SetWorkers takes in the platform's list of workers.
func (c *Core) SetWorkers(list []WorkerInfo, now Instant) {
	listed := make(map[WorkerID]bool, len(list))
	newest := newestByAddress(list)
	for _, info := range list {
		if newest[info.Address] != info.ID {
			continue // an earlier life, whose entry has not lapsed yet
		}
		listed[info.ID] = true
		w := c.workers[info.ID]
		if w == nil {
			w = newWorker(info)
			c.workers[info.ID] = w
			c.trace(Decision{Event: "worker_listed", Worker: info.ID, Reason: info.Address})
			c.replacedBy(w, now)
		}
		if info.Draining {
			c.noteLeaving(w, info.Leaving, now)
		}
		if info.Draining && !w.info.Draining {
			c.trace(Decision{Event: "worker_draining", Worker: info.ID, Reason: info.Leaving.String()})
		}
		w.info, w.listed = info, true
		c.roster.want(info)
	}
	for id, w := range c.workers {
		if w.listed && !listed[id] {
			w.listed = false
			c.trace(Decision{Event: "worker_unlisted", Worker: id})
		}
	}
}

// newestByAddress returns the latest life at each address.
func newestByAddress(list []WorkerInfo) map[string]WorkerID {
	newest := make(map[string]WorkerID, len(list))
	listed := make(map[string]int64, len(list))
	for _, info := range list {
		if _, ok := newest[info.Address]; !ok || info.Listed > listed[info.Address] {
			newest[info.Address], listed[info.Address] = info.ID, info.Listed
		}
	}
	return newest
}

// replacedBy ends earlier lives of a worker at the same address.
func (c *Core) replacedBy(w *worker, now Instant) {
	for _, other := range c.workers {
		if other != w && other.info.Address == w.info.Address {
			c.lifeOver(other, "a later life is listed at its address", now)
		}
	}
}

// HoldPlan says what to do next for a worker: send Order if Send is set, and
// come back after Pause otherwise.
type HoldPlan struct {
	Order HoldOrder
	Send  bool
	Pause time.Duration
	// Gone is set once the worker needs no more polls ever.
	Gone bool
}

// idlePause is how often a worker without tasks is looked at again by the
// loop; nothing is sent.
const idlePause = 500 * time.Millisecond

// PlanHold returns the next poll of a worker.
func (c *Core) PlanHold(id WorkerID, now Instant) HoldPlan {
	w := c.workers[id]
	if w == nil {
		return HoldPlan{Gone: true}
	}
	if w.overReason != "" {
		return HoldPlan{Pause: idlePause}
	}
	if w.synced && len(w.attempts) == 0 && len(w.foreign) == 0 && len(w.ends) == 0 {
		return HoldPlan{Pause: idlePause}
	}
	h := HoldOrder{Worker: id, Address: w.info.Address, Term: c.term, Seen: w.seen}
	// A poll without an answer may still extend the leases. While a worker is
	// silent it is only asked, so that its leases come to an end.
	if w.synced && w.holdFails == 0 {
		h.DeadlineMS = c.deadlineIn(w, c.params.TaskLease, now)
		h.Wait = w.pollWait()
	}
	return HoldPlan{Order: h, Send: true}
}

func (w *worker) pollWait() time.Duration {
	if len(w.ends) > 0 {
		return 0
	}
	serves, fills := false, false
	for _, a := range w.attempts {
		s := a.task.step.spec
		serves = serves || (s.Lasting && s.TargetMS > 0)
		fills = fills || s.Fills
	}
	if serves && fills {
		return holdWaitWatched
	}
	return holdWait
}

// HoldDone takes in the answer to a poll and returns how long to wait before
// the next one.
func (c *Core) HoldDone(order HoldOrder, reply HoldReply, outcome Outcome, now Instant) time.Duration {
	w := c.workers[order.Worker]
	if w == nil {
		return 0
	}
	switch outcome {
	case OutcomeOK:
	case OutcomeFenced:
		c.depose(w)
		return holdRetryMax
	case OutcomeOtherLife:
		c.lifeOver(w, "another life answers", now)
		return 0
	default:
		return c.holdFailed(w, outcome)
	}
	if w.holdFails >= suspectAfter {
		c.trace(Decision{Event: "worker_reached", Worker: w.info.ID, Age: now.Steady - w.lastAnswer})
	}
	w.holdFails, w.unanswered, w.lastAnswer = 0, 0, now.Steady
	fresh := w.noteClock(reply.ClockMS, now)
	c.takeEnds(w, reply.Ended, now)
	if fresh {
		c.takeRunning(w, reply, now)
	}
	if !w.synced {
		w.synced = true
		// What runs here may have any lease that the previous owner could give.
		w.lastDeadline = max(w.lastDeadline, reply.ClockMS+c.params.MaxTaskLease.Milliseconds())
		c.resolve(w.info.ID, "lists read", now)
	}
	w.advanceSeen()
	if len(w.ends) > 0 {
		return holdGapUnsaved
	}
	return 0
}

func (c *Core) depose(w *worker) {
	if !c.deposed {
		c.trace(Decision{Event: "deposed", Worker: w.info.ID, Reason: "the worker has seen a higher term"})
	}
	c.deposed = true
}

func (c *Core) holdFailed(w *worker, outcome Outcome) time.Duration {
	w.holdFails++
	w.unanswered++
	if w.holdFails == suspectAfter {
		c.trace(Decision{Event: "worker_unreached", Worker: w.info.ID, Reason: outcome.String()})
	}
	return min(holdRetryMin<<min(w.holdFails, 4), holdRetryMax)
}

// takeEnds takes in ends in their order, each once.
func (c *Core) takeEnds(w *worker, ends []EndedTask, now Instant) {
	slices.SortFunc(ends, func(a, b EndedTask) int { return int(a.Number) - int(b.Number) })
	for i := range ends {
		if e := &ends[i]; e.Number > w.processed {
			w.processed = e.Number
			c.takeEnd(w, e, now)
		}
	}
}

// advanceSeen moves the mark up to which ends may be forgotten over those
// whose effect the store holds.
func (w *worker) advanceSeen() {
	for len(w.ends) > 0 {
		e := w.ends[0]
		if e.job != nil && e.job.persisted < e.version {
			return
		}
		w.seen = e.number
		w.ends = w.ends[1:]
	}
}

// takeRunning compares the worker's list with what is expected there.
func (c *Core) takeRunning(w *worker, reply HoldReply, now Instant) {
	listed := make(map[*attempt]bool, len(reply.Running))
	seenForeign := map[job.TaskID]bool{}
	for i := range reply.Running {
		row := &reply.Running[i]
		t := c.findTask(row.Task)
		a := c.matchRow(w, t, row, now)
		if a == nil {
			c.stopForeign(w, t, row, now)
			seenForeign[row.Task] = true
			continue
		}
		listed[a] = true
		c.confirm(a, row, reply.ClockMS, now)
	}
	for id := range w.foreign {
		if !seenForeign[id] {
			delete(w.foreign, id)
		}
	}
	for _, a := range slices.Clone(w.attempts) {
		if !listed[a] {
			c.missing(a, reply, now)
		}
	}
	c.observe(w, now)
}

func (c *Core) findTask(id job.TaskID) *task {
	j := c.jobs[id.Job]
	if j == nil || id.Occurrence >= j.spec.Times() || id.Step >= len(j.spec.Steps) {
		return nil
	}
	at := id.Occurrence*len(j.spec.Steps) + id.Step
	if at >= len(j.steps) || id.Index >= len(j.steps[at].tasks) {
		return nil
	}
	return j.steps[at].tasks[id.Index]
}

// matchRow returns the attempt that a row speaks of. A run that the previous
// owner started is adopted.
func (c *Core) matchRow(w *worker, t *task, row *RunningTask, now Instant) *attempt {
	if t == nil {
		return nil
	}
	if a := t.attempt; a != nil {
		if a.worker == w && a.run == row.Run {
			return a
		}
		return nil
	}
	// A gang's members share a run; a lone survivor of an older run is stopped.
	adoptable := !w.synced && t.phase != phaseDone && !t.step.job.progress.State.Final() &&
		(!t.step.spec.Gang || t.step.gangRun == 0 || t.step.gangRun == row.Run)
	if !adoptable {
		return nil
	}
	if t.phase == phaseReady {
		t.step.ready--
	}
	a := &attempt{task: t, worker: w, run: row.Run, percent: fullPace, paced: fullPace, sentAt: now.Steady, started: now.Steady, adopted: true}
	t.attempt, t.phase = a, phaseRunning
	t.step.job.active++
	c.markBegun(t.step.job)
	if t.step.perWork != nil {
		t.step.perWork[w]++
	}
	if t.step.spec.Gang {
		t.step.gangRun = row.Run
	}
	w.add(a)
	c.tellTask("run_adopted", t, w, row.Run, "listed at takeover")
	return a
}

// confirm takes in what a row tells of an attempt.
func (c *Core) confirm(a *attempt, row *RunningTask, clock int64, now Instant) {
	t := a.task
	if a.ackClock == 0 {
		a.ackClock = clock
	}
	if t.phase == phaseStarting {
		t.phase = phaseRunning
		a.started = now.Steady
	}
	if row.Checkpoint != "" {
		t.checkpoint = row.Checkpoint
		t.step.checkpoint = row.Checkpoint
	}
	c.read(a, row, now)
}

// missing handles an attempt that a list lacks, and whose end was not told.
func (c *Core) missing(a *attempt, reply HoldReply, now Instant) {
	if a.ackClock == 0 && reply.ClockMS <= a.deadline {
		return // the start order may still arrive
	}
	if a.ackClock > 0 && reply.ClockMS <= a.ackClock {
		return // the list is older than the run
	}
	if len(reply.Ended) >= maxEndsListed {
		return // its end may not have had room in the answer
	}
	reason := "not listed after its start's deadline"
	if a.ackClock > 0 {
		reason = "no longer listed"
	}
	c.stats.Unanswered++
	c.tellTask("run_missing", a.task, a.worker, a.run, reason)
	c.release(a, now)
}

// foreignRetry is the pause between stops of a run that should not be there.
const foreignRetry = 500 * time.Millisecond

func (c *Core) stopForeign(w *worker, t *task, row *RunningTask, now Instant) {
	f := w.foreign[row.Task]
	if f.run != row.Run {
		f = foreignRun{run: row.Run, askAt: now.Steady}
		c.trace(Decision{Event: "run_unexpected", Job: row.Task.Job, Task: row.Task, Run: row.Run, Worker: w.info.ID, Reason: "stopped"})
	}
	if t != nil {
		f.amount = t.step.amount()
	}
	if now.Steady >= f.askAt {
		f.askAt = now.Steady + foreignRetry
		c.out = append(c.out, Order{Kind: OrderStop, Worker: w.info.ID, Address: w.info.Address, Term: c.term, Task: row.Task, Run: row.Run})
	}
	w.foreign[row.Task] = f
}

// tickWorker gives up on a worker that is silent for longer than its leases.
func (c *Core) tickWorker(w *worker, now Instant) {
	if w.overReason != "" {
		c.lifeOver(w, w.overReason, now)
		return
	}
	for _, a := range w.attempts {
		c.tickAttempt(a, now)
	}
	// An owner that may have been replaced must not conclude anything from
	// time alone: the next one may know how these runs ended.
	if len(w.attempts) > 0 && w.clock > 0 && c.certain(now) && w.surelyPast(w.lastDeadline, now) {
		c.lose(w, "its leases are over", now)
	}
	if !w.listed && len(w.attempts) == 0 && len(w.ends) == 0 && w.holdFails >= suspectAfter {
		if _, wait := c.unresolved[w.info.ID]; !wait {
			c.forget(w, "not listed, silent and without tasks")
		}
	}
}

// lose releases all attempts at a worker: none of them can be running.
func (c *Core) lose(w *worker, reason string, now Instant) {
	for _, a := range slices.Clone(w.attempts) {
		c.stats.Lost++
		c.tellTask("run_lost", a.task, w, a.run, reason)
		a.task.concluded = true
		c.release(a, now)
	}
	w.synced = false // what it lists next must be read before it is used
}

// lifeOver handles the proof that a life of a worker has ended. An owner that
// may have been replaced puts off the conclusion: the next one may have read how
// the runs there ended before that life was over.
func (c *Core) lifeOver(w *worker, reason string, now Instant) {
	if !c.certain(now) {
		w.overReason = reason
		return
	}
	c.lose(w, reason, now)
	c.resolve(w.info.ID, reason, now)
	c.forget(w, reason)
}

func (c *Core) forget(w *worker, reason string) {
	delete(c.workers, w.info.ID)
	c.roster.drop(w.info.ID)
	c.trace(Decision{Event: "worker_forgotten", Worker: w.info.ID, Reason: reason})
}

// Workers returns the ids of all workers to poll.
func (c *Core) Workers() []WorkerID {
	ids := make([]WorkerID, 0, len(c.workers))
	for id := range c.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
