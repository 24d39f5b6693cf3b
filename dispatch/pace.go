package dispatch

import (
	"strconv"
	"time"
)

// Parameters of pacing. A fill's pace is its CPU share limit in percent. A task's headroom is
// its latency target divided by its tail latency. A reading covers the last half second.
const (
	// paceHeadroom is the expected headroom that paces aim at.
	paceHeadroom = 1.25
	// Once a task has been over its target for throttleAfter, the fills that hurt it are
	// slowed further; after haltAfter they are halted, and after haltAllAfter all fills
	// beside it. Each is a share of the time allowed over the target; the rest allows for
	// the age of readings and the transmission of the order.
	throttleAfter = 0.1
	haltAfter     = 0.25
	haltAllAfter  = 0.45
	// throttleFactor multiplies the headroom that fills may take at each list that is read once
	// a task has been over its target for throttleAfter, throttleRecovery at each list that is
	// read while no task is over its target.
	throttleFactor   = 0.6
	throttleRecovery = 1.5
	// culpritCost is the headroom that a fill must take from a task to be slowed
	// down or moved: less than that is not worth its delay.
	culpritCost = 0.15
	// A fill whose pace would be below movePace percent is moved.
	movePace = 60
	// moveAge is how long a run must have worked before it is moved, and
	// movesAtOnce how many runs of a worker are moved at one reading.
	moveAge     = 400 * time.Millisecond
	movesAtOnce = 3
	// paceStep is the granularity of paces, in percent: a finer one takes more orders.
	paceStep = 20
	// cpuSmoothing is the weight of a new reading of processor use.
	cpuSmoothing = 0.5
	// fillReadingWarmup is the age of a fill below which its reading is not representative yet.
	fillReadingWarmup = 700 * time.Millisecond
	// minPaceRead is the pace below which a reading of processor use does not
	// predict what the fill would use at its full pace.
	minPaceRead = 40
)

// recordReading records the reading of a listed run: a tail latency or a processor use.
func (c *Core) recordReading(a *attempt, row *RunningTask, now Instant) {
	t := a.task
	if !row.HasReading {
		return
	}
	s := t.step.spec
	if s.LongRunning && s.TargetMS > 0 {
		a.tail.record(float64(row.Reading)/float64(s.TargetMS), now.Steady)
		return
	}
	a.lastReading = float64(row.Reading)
	if now.Steady-a.started < fillReadingWarmup || a.ackedPace < minPaceRead {
		return
	}
	full := float64(row.Reading) * fullPace / float64(a.ackedPace)
	if !a.hasFullCPU {
		a.fullCPU, a.hasFullCPU = full, true
		return
	}
	a.fullCPU += cpuSmoothing * (full - a.fullCPU)
}

// adjustPaces sets the paces of the worker's fills: by the model, so that tail latencies
// stay below their targets, and by the readings where the model is wrong.
func (c *Core) adjustPaces(w *worker, now Instant) {
	over := w.longestOverTarget(now)
	w.overTarget = over
	switch {
	case over > 0 && over >= c.overTargetTime(throttleAfter):
		w.paceScale = max(w.paceScale*throttleFactor, 0.05)
	case over == 0:
		w.paceScale = min(w.paceScale*throttleRecovery, 1)
	}
	moves := 0
	for _, p := range c.fillPaces(w, now) {
		percent := p.percent
		if over > 0 && (over >= c.overTargetTime(haltAllAfter) || over >= c.overTargetTime(haltAfter) && p.cost >= culpritCost) {
			percent = 0
		}
		p.fill.trackSlowed(percent < movePace && p.cost >= culpritCost, now)
		if moves < movesAtOnce && c.shouldMove(p.fill, now) {
			moves++
			c.move(p.fill, "it hurts tasks that serve", now)
			continue
		}
		c.setPace(w, p.fill, percent, over)
	}
	c.sendPaces(w, now)
}

// overTargetTime returns a share of the time for which a task may be over its target.
func (c *Core) overTargetTime(share float64) time.Duration {
	return time.Duration(float64(c.params.OverTarget) * share)
}

// longestOverTarget returns the longest time for which a task of the worker has been over its target.
func (w *worker) longestOverTarget(now Instant) time.Duration {
	longest := time.Duration(0)
	for _, a := range w.attempts {
		if a.tail.hasRead {
			longest = max(longest, a.tail.overFor(now.Steady))
		}
	}
	return longest
}

func (c *Core) setPace(w *worker, a *attempt, percent int, over time.Duration) {
	if a.wantedPace == percent {
		return
	}
	if percent < a.wantedPace {
		c.stats.Paced++
		c.trace(Decision{Event: eventSlowed, Job: a.task.step.job.spec.ID, Task: a.task.id(), Run: a.run, Worker: w.info.ID, Reason: strconv.Itoa(percent), Age: over})
	}
	a.wantedPace = percent
}

// trackSlowed records since when a fill has been slow enough to be moved.
func (a *attempt) trackSlowed(slowed bool, now Instant) {
	switch {
	case !slowed:
		a.slowedSince = 0
	case a.slowedSince == 0:
		a.slowedSince = now.Steady
	}
}

// shouldMove reports whether a slowed fill is to leave its worker without losing work: at
// once if it can continue elsewhere, else after requeueAfter. A long-running one stays while
// too many others of its step are unavailable.
func (c *Core) shouldMove(a *attempt, now Instant) bool {
	if a.slowedSince == 0 || !a.task.step.spec.Checkpoints || a.task.phase != phaseRunning || now.Steady-a.started <= moveAge {
		return false
	}
	return a.task.mayStop() && (now.Steady-a.slowedSince >= requeueAfter || c.hasCapacityElsewhere(a.task, now))
}

// Parameters of paces that may not be in force.
const (
	// paceUnknown stands for the pace of an adopted fill, and for that of a fill whose
	// latest pace order was not answered. It is sent to no worker.
	paceUnknown = -1
	// latePaceWindow is how long an unanswered pace order may still be carried out and
	// override newer ones; a worker may be 12 s late. Meanwhile the pace is sent again
	// every paceResendPause. Without that a fill may be halted permanently.
	latePaceWindow  = 12 * time.Second
	paceResendPause = 3 * time.Second
)

// paceDue reports whether a run's pace must be sent to its worker.
func (a *attempt) paceDue(now Instant) bool {
	since := now.Steady - a.paceSentAt
	if a.wantedPace != a.ackedPace {
		return since >= pollWaitWatched/2
	}
	return a.paceUnansweredAt > 0 && a.paceSentAt < a.paceUnansweredAt+latePaceWindow && since >= paceResendPause
}

// sendPaces sends the worker the paces that are due.
func (c *Core) sendPaces(w *worker, now Instant) {
	for _, a := range w.attempts {
		if a.stopping || a.task.phase != phaseRunning || now.Steady-a.started < c.params.PaceAfter || !a.paceDue(now) {
			continue
		}
		a.paceSentAt = now.Steady
		c.pendingOrders = append(c.pendingOrders, Order{
			Kind: OrderPace, Worker: w.info.ID, Address: w.info.Address, Token: c.tokenOf(w),
			Task: a.task.id(), Run: a.run, Percent: a.wantedPace,
		})
	}
}
