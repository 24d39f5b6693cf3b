package dispatch

import (
	"fmt"
	"time"
)

// Timeouts and limits of orders.
const (
	// maxStartTries bounds how often one start is sent, always within its start window.
	maxStartTries = 4
	// stopRetry is the pause before a stop is repeated if the run's end is not
	// listed. Workers take up to 900 ms.
	stopRetry = 1 * time.Second
	// fullPace is a task's pace at its start, in percent. The pace is a run's CPU share limit.
	fullPace = 100
	// noCapacityPause is how long a worker gets no tasks after it had no capacity.
	noCapacityPause = 300 * time.Millisecond
	// invalidPause is how long a task waits after a worker rejected its start as malformed.
	invalidPause = 1 * time.Second
)

// start places a run of a task at a worker. It orders the start at once, or once the store
// holds its record if that is needed; see recordStart.
func (c *Core) start(t *task, w *worker, run uint64, checkpoint, ticket string, now Instant) {
	a := c.newAttempt(t, w, run, ticket, now)
	t.attempt, t.phase, t.endUnknown = a, phaseStarting, false
	t.step.ready--
	if !c.recordStart(a, checkpoint) {
		c.sendStart(a, checkpoint)
	}
}

// newAttempt adds a run of a task that is about to be ordered.
func (c *Core) newAttempt(t *task, w *worker, run uint64, ticket string, now Instant) *attempt {
	deadline := c.deadlineIn(w, startWindow, now)
	a := &attempt{
		task: t, worker: w, run: run, deadline: deadline, tries: 1, placedAt: now.Steady, started: now.Steady,
		wantedPace: fullPace, ackedPace: fullPace, ticket: ticket,
	}
	t.addStart(run, w)
	c.addAttempt(a)
	w.placedAt = now.Steady
	c.stats.Starts++
	return a
}

// addAttempt adds an attempt to the counts of its job and its worker.
func (c *Core) addAttempt(a *attempt) {
	s := a.task.step
	s.job.active++
	if s.perWork != nil {
		s.perWork[a.worker]++
	}
	a.worker.add(a)
	c.watchForCopies(s)
}

func (c *Core) newRun() uint64 {
	c.runsNumbered++
	return c.term<<runBits | c.runsNumbered
}

func (c *Core) sendStart(a *attempt, checkpoint string) {
	c.pendingOrders = append(c.pendingOrders, Order{
		Kind: OrderStart, Worker: a.worker.info.ID, Address: a.worker.info.Address, Token: c.tokenOf(a.worker),
		Task: a.task.id(), Run: a.run, Payload: a.task.step.job.spec.Payload,
		DeadlineMS: a.deadline, Checkpoint: checkpoint, Ticket: a.ticket,
	})
}

// stop orders the end of an attempt. The attempt is released once the worker reports its end
// or no longer lists the run.
func (c *Core) stop(a *attempt, reason string, now Instant) {
	if a.stopping {
		return
	}
	a.stopping = true
	if !a.isSecond() {
		a.task.phase = phaseOf(a.task, phaseStopping)
	}
	c.logTask("run_stop", a.task, a.worker, a.run, reason)
	c.sendStop(a, now)
}

// phaseOf returns the phase p for a task, unless the task is done: it then stays in
// phaseDone, whatever happens to a run of it.
func phaseOf(t *task, p phase) phase {
	if t.phase == phaseDone {
		return phaseDone
	}
	return p
}

func (c *Core) sendStop(a *attempt, now Instant) {
	a.stopAt = now.Steady
	c.pendingOrders = append(c.pendingOrders, Order{
		Kind: OrderStop, Worker: a.worker.info.ID, Address: a.worker.info.Address, Token: c.tokenOf(a.worker),
		Task: a.task.id(), Run: a.run,
	})
}

// OrderDone processes the answer to an order.
func (c *Core) OrderDone(o Order, ans Answer, now Instant) {
	w := c.workers[o.Worker]
	if w == nil {
		return
	}
	if ans.Outcome == OutcomeFenced && o.Token >= c.tokenOf(w) {
		c.depose(w)
		return
	}
	switch ans.Outcome {
	case OutcomeOtherIncarnation:
		c.endIncarnation(w, "another life answers", now)
		return
	case OutcomeUnknown, OutcomeBroken:
		w.unansweredCalls++
		w.recordNoAnswer(ans.Outcome, now)
	case OutcomeNotSent:
	default:
		w.unansweredCalls = 0
		w.recordAnswer(now)
		w.recordClock(ans.ClockMS, now)
	}
	t := c.findTask(o.Task)
	if t == nil {
		return
	}
	a := t.runOf(o.Run)
	if a == nil || a.worker != w {
		return
	}
	switch o.Kind {
	case OrderStart:
		c.startDone(a, o, ans, now)
	case OrderStop:
		c.stopDone(a, ans)
	case OrderPace:
		a.paceDone(o, ans, now)
	}
}

func (c *Core) startDone(a *attempt, o Order, ans Answer, now Instant) {
	switch ans.Outcome {
	case OutcomeOK:
		a.ackClock, a.unlisted = max(a.ackClock, ans.ClockMS), false
		a.worker.confirmedDeadline = max(a.worker.confirmedDeadline, o.DeadlineMS)
		c.markStarted(a.task.step.job)
		a.confirmRunning(now)
		c.logTask(eventStarted, a.task, a.worker, a.run, "")
	case OutcomeUnknown, OutcomeBroken:
		if a.tries == 1 && ans.Outcome == OutcomeBroken && !ans.Unsent {
			a.brokenAt = now.Steady
		}
		c.startUnanswered(a, o, now)
	default:
		c.startRefused(a, ans, now)
	}
}

// startUnanswered sends the same start again, unless its worker drains or its data centre
// was evacuated since. The worker carries a start out only once.
func (c *Core) startUnanswered(a *attempt, o Order, now Instant) {
	c.stats.Unanswered++
	again := a.ackClock == 0 && !a.stopping && a.tries < maxStartTries && a.worker.clockNow(now) < a.deadline &&
		!a.worker.sealed && !a.worker.info.Draining && !c.evacuated[a.worker.info.DataCentre]
	c.logTask("start_unanswered", a.task, a.worker, a.run, "")
	if !again {
		return // the next list after the deadline shows whether it runs
	}
	a.tries++
	a.worker.leaseSent = now.Steady
	c.pendingOrders = append(c.pendingOrders, o)
}

// startRefused handles a start that had no effect. If an earlier copy of it was not answered,
// that copy may still be carried out, so only a list shows whether the run exists.
func (c *Core) startRefused(a *attempt, ans Answer, now Instant) {
	c.stats.Refused++
	c.logGivenUp("start_refused", a, ans.Outcome.String(), fmt.Sprintf("try %d", a.tries), now.Steady-a.started)
	w := a.worker
	switch ans.Outcome {
	case OutcomeNoCapacity:
		w.fullUntil = now.Steady + noCapacityPause
	case OutcomeUnwell:
		c.avoidWorker(w, "it refuses work", now)
	case OutcomeInvalid:
		a.task.notBefore = now.Steady + invalidPause
		a.task.avoid = w.info.ID
	case OutcomeNoTicket:
		c.dropTicket(a)
	}
	if a.tries == 1 && a.ackClock == 0 {
		a.refused = true
		c.release(a, now)
	}
}

// stopDone processes the answer to a stop. A worker that has carried out the stop refuses a
// start of the same run that arrives later.
func (c *Core) stopDone(a *attempt, ans Answer) {
	if ans.Outcome == OutcomeOK {
		a.ackClock, a.unlisted = max(a.ackClock, ans.ClockMS), false
	}
}

func (a *attempt) paceDone(o Order, ans Answer, now Instant) {
	a.speed.at = 0 // a measurement spans one pace only
	switch ans.Outcome {
	case OutcomeOK:
		a.ackedPace = o.Percent
	case OutcomeUnknown, OutcomeBroken:
		a.ackedPace, a.paceUnansweredAt = paceUnknown, now.Steady
	default:
		a.ackedPace = paceUnknown
	}
}

// tickAttempt repeats stops that had no effect yet.
func (c *Core) tickAttempt(a *attempt, now Instant) {
	if a.stopping && now.Steady-a.stopAt >= stopRetry {
		c.sendStop(a, now)
	}
}
