package dispatch

import (
	"slices"
	"time"
)

// Limits of moving tasks off a worker that drains.
const (
	// stopLead is how long before a worker leaves the tasks that still run there are
	// stopped: a stop takes up to 0.9 s, and the end must still be read.
	stopLead = 1500 * time.Millisecond
	// maxLeavingMovesPerTick bounds the long-running tasks that are moved in one tick: the
	// capacity found for one counts as taken only once the task has started there, so
	// several may be moved on account of the same capacity.
	maxLeavingMovesPerTick = 4
)

// recordLeaveTime records how long a draining worker stays. The time left was correct when the
// worker reported it, and a report may be read late: the earliest time that follows from any counts.
func (c *Core) recordLeaveTime(w *worker, left time.Duration, now Instant) {
	at := now.Steady + left
	if w.leavesAt == 0 || at < w.leavesAt {
		w.leavesAt = at
	}
}

// moveOffLeaving moves tasks off workers that are about to leave: long-running tasks as
// soon as there is capacity elsewhere, others if they can't end in time. A stop
// saves a checkpoint, so it comes as late as is safe for tasks that have one.
func (c *Core) moveOffLeaving(now Instant) {
	budget := maxLeavingMovesPerTick
	for _, w := range c.workersInOrder() {
		if w.leavesAt == 0 || len(w.attempts) == 0 {
			continue
		}
		left := w.leavesAt - now.Steady
		for _, a := range slices.Clone(w.attempts) {
			if a.stopping || a.phase() != phaseRunning {
				continue
			}
			s := a.task.step
			switch {
			case left < stopLead:
				c.move(a, "its worker leaves", now)
			case s.spec.LongRunning && budget > 0 && c.hasCapacityElsewhere(a.task, now):
				budget--
				c.move(a, "its worker drains", now)
			case !s.spec.LongRunning && !s.spec.Checkpoints && c.estimate(s)-(now.Steady-a.started) > left:
				c.move(a, "it can't end before its worker leaves", now)
			}
		}
	}
}

// move stops an attempt so that its task starts elsewhere.
func (c *Core) move(a *attempt, reason string, now Instant) {
	if a.stopping {
		return
	}
	c.stats.Moved++
	a.task.avoid = a.worker.info.ID
	c.stop(a, reason, now)
}

// hasCapacityElsewhere reports whether a worker other than its own takes a task. Where the placement
// policy decides, only workers that it has granted count.
func (c *Core) hasCapacityElsewhere(t *task, now Instant) bool {
	q := c.settingsOf(t.step.job.spec)
	workers := c.poolOf(q.Service, now)
	if q.Advice != nil {
		workers = c.grantedWorkers(t.step, q.Service, now, anyGrant)
	}
	return c.choose(t, workers, c.plainView(t.step, now), now) != nil
}

func (c *Core) workersInOrder() []*worker {
	return slices.Clone(c.sortedWorkers) // callers may remove workers while they iterate
}
