package dispatch

import (
	"fmt"
	"slices"
	"time"

	"leverstile.dev/job"
)

// Limits of the lists of runs and ends with which workers answer polls.
const (
	// maxEndsListed is the most ends in one answer.
	maxEndsListed = 500
	// unexpectedStopRetry is the pause between stop orders for a run that the owner did not expect.
	unexpectedStopRetry = 500 * time.Millisecond
)

// full reports whether the worker may have more ends than it has reported.
func (r PollReply) full() bool { return len(r.Ended) >= maxEndsListed }

// processEnds processes ends in the order of their numbers, each once.
func (c *Core) processEnds(w *worker, ends []EndedTask, now Instant) {
	slices.SortFunc(ends, func(a, b EndedTask) int { return int(a.Number) - int(b.Number) })
	for i := range ends {
		if e := &ends[i]; e.Number > w.processedEnd {
			w.processedEnd = e.Number
			c.processEnd(w, e, now)
		}
	}
}

// advanceStoredEnd moves the mark up to which ends may be forgotten past those
// whose effect the store holds.
func (w *worker) advanceStoredEnd() {
	for len(w.ends) > 0 {
		e := w.ends[0]
		if e.job != nil && e.job.persisted < e.version {
			return
		}
		w.storedEnd = e.number
		w.ends = w.ends[1:]
	}
}

// compareRunning compares the worker's list of runs with the expected ones.
func (c *Core) compareRunning(w *worker, reply PollReply, now Instant) {
	listed := make(map[*attempt]bool, len(reply.Running))
	listedUnexpected := map[job.TaskID]bool{}
	for i := range reply.Running {
		row := &reply.Running[i]
		t := c.findTask(row.Task)
		a := c.matchRow(w, t, row, now)
		if a == nil {
			c.stopUnexpected(w, row, now)
			listedUnexpected[row.Task] = true
			continue
		}
		listed[a] = true
		c.confirm(a, row, reply.ClockMS, now)
	}
	for id := range w.unexpected {
		if !listedUnexpected[id] {
			delete(w.unexpected, id)
			c.refusals.recordChange(w, false)
		}
	}
	for _, a := range slices.Clone(w.attempts) {
		if !listed[a] {
			c.handleMissing(a, reply, now)
		}
	}
	c.updateFromList(w, now)
	c.moveOffSlowWorker(w, now)
}

// findTask returns the task with this id, nil if it is unknown.
func (c *Core) findTask(id job.TaskID) *task {
	j := c.jobs[id.Job]
	if j == nil || id.Step >= len(j.spec.Steps) || id.Index >= j.spec.Steps[id.Step].Count {
		return nil
	}
	steps := c.findOccurrence(j, id.Occurrence)
	if steps == nil {
		return nil
	}
	return steps[id.Step].tasks[id.Index]
}

// matchRow returns the attempt that a row of a worker's list describes, or nil. It adopts a
// run that the previous owner started.
func (c *Core) matchRow(w *worker, t *task, row *RunningTask, now Instant) *attempt {
	if t == nil {
		return nil
	}
	if t.attempt != nil {
		a := t.attemptAt(w, row.Run)
		if a == nil && t.adoptableCopy(w) {
			a = c.adoptCopy(w, t, row.Run, now)
		}
		return a
	}
	// A gang's members share a run; a single remaining member of an older run is stopped.
	adoptable := !w.synced && t.phase != phaseDone && !t.step.job.progress.State.Final() &&
		(!t.step.spec.Gang || t.step.gangRun == 0 || t.step.gangRun == row.Run)
	if !adoptable {
		return nil
	}
	if t.phase == phaseReady {
		t.step.ready--
	}
	a := &attempt{task: t, worker: w, run: row.Run, wantedPace: fullPace, ackedPace: fullPace, started: now.Steady, adopted: true, running: true}
	if t.step.spec.Fills {
		a.ackedPace = paceUnknown // the previous owner may have slowed it
	}
	t.attempt, t.phase = a, phaseRunning
	if c.ofEarlierTerm(row.Run) {
		t.addStart(row.Run, w)
	}
	if t.step.spec.Gang {
		t.step.gangRun = row.Run
	}
	c.addAttempt(a)
	c.logTask("run_adopted", t, w, row.Run, "listed in the first answer")
	return a
}

// confirm applies what a row reports about an attempt.
func (c *Core) confirm(a *attempt, row *RunningTask, clock int64, now Instant) {
	t := a.task
	c.markStarted(t.step.job)
	if a.ackClock == 0 {
		a.ackClock = clock
	}
	a.confirmRunning(now)
	if row.Checkpoint != "" {
		c.recordCheckpoint(t, a.worker, checkpoint{text: row.Checkpoint, run: row.Run, worker: a.worker.info.ID, clock: clock})
	}
	a.unlisted, a.listed = false, true
	a.pastStart = row.Percent == fullPace
	c.clearIfOutlived(a, now)
	if !a.worker.forLease { // two lists at short intervals give no measure of speed
		c.measureSpeed(a, row.Percent, now)
	}
	c.recordReading(a, row, now)
}

// handleMissing handles an attempt that a list lacks, and whose end was not reported.
//
// One such list proves nothing: its clock is that of the answer, and a worker may have
// gathered it just before it carried out the start. So the attempt is released only after a
// second list without it, from a poll that was sent after the first list was read.
func (c *Core) handleMissing(a *attempt, reply PollReply, now Instant) {
	if a.ackClock == 0 && reply.ClockMS <= a.deadline {
		return // the start order may still arrive
	}
	if a.ackClock > 0 && reply.ClockMS <= a.ackClock {
		return // the list is older than the run
	}
	if a.worker.hasPredecessor && !a.worker.synced {
		return // an order to the previous incarnation may still arrive
	}
	if reply.full() {
		return // its end may not have fitted in the answer
	}
	if !a.unlisted {
		a.unlisted, a.unlistedAt = true, now.Steady
		return
	}
	if a.worker.pollSent < a.unlistedAt {
		return
	}
	reason, since := "not listed after its start's deadline", a.deadline
	if a.ackClock > 0 {
		reason, since = "no longer listed", a.ackClock
	}
	c.stats.Unanswered++
	c.logGivenUp("run_missing", a, reason, fmt.Sprintf("worker's clock %d after %d, try %d", reply.ClockMS, since, a.tries), now.Steady-a.started)
	c.release(a, now)
}

// sizeOf returns the capacity that a task uses at a worker, also for a job that has
// ended; unsized is true if the job is not known.
func (c *Core) sizeOf(id job.TaskID) (amount resources, unsized bool) {
	j := c.jobs[id.Job]
	if j == nil || id.Step >= len(j.spec.Steps) {
		return resources{}, true
	}
	return amountOf(&j.spec.Steps[id.Step]), false
}

// logUnexpected logs a run that the owner did not expect, and the term that started
// it: a run of this term was given up too early.
func (c *Core) logUnexpected(w *worker, row *RunningTask) {
	reason := "stopped; of an earlier term"
	if row.Run>>runBits == c.term {
		reason = "stopped; of this term, given up before"
		c.stats.GivenUp++
	}
	c.trace(Decision{Event: "run_unexpected", Job: row.Task.Job, Task: row.Task, Run: row.Run, Worker: w.info.ID, Reason: reason})
}

// stopUnexpected stops a run that the owner does not expect at a worker.
func (c *Core) stopUnexpected(w *worker, row *RunningTask, now Instant) {
	u := w.unexpected[row.Task]
	if u.run != row.Run {
		u = unexpectedRun{run: row.Run, nextStopAt: now.Steady}
		c.logUnexpected(w, row)
	}
	u.amount, u.unsized = c.sizeOf(row.Task)
	if now.Steady >= u.nextStopAt {
		u.nextStopAt = now.Steady + unexpectedStopRetry
		c.pendingOrders = append(c.pendingOrders, Order{Kind: OrderStop, Worker: w.info.ID, Address: w.info.Address, Token: c.tokenOf(w), Task: row.Task, Run: row.Run})
	}
	w.unexpected[row.Task] = u
}
