package dispatch

import (
	"fmt"
	"maps"
	"slices"
)

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
	if len(w.attempts) > 0 && w.clock > 0 && c.certain(now) && w.surelyPast(w.lastDeadline, now) && c.silent(w, now) {
		l := c.lifeOf(w, now)
		c.lose(w, "its leases are over", now)
		c.keepUnsettled(w.info.VM, l)
	}
	if !w.listed && len(w.attempts) == 0 && len(w.ends) == 0 && w.unreached() {
		if _, wait := c.unresolved[w.info.ID]; !wait {
			c.forget(w, "not listed, silent and without tasks")
		}
	}
}

// lose releases all attempts at a worker: none of them can be running.
func (c *Core) lose(w *worker, reason string, now Instant) {
	for _, a := range slices.Clone(w.attempts) {
		c.stats.Lost++
		c.tellGivenUp("run_lost", a, reason, fmt.Sprintf("lease to %d of worker's clock %d", w.lastDeadline, w.clockNow(now)), now.Steady-w.lastAnswer)
		a.task.concluded = true
		c.release(a, now)
	}
	w.synced, w.partlyRead = false, false // what it lists next must be read before it is used
}

// lifeOver handles the proof that a life of a worker has ended. An owner that
// may have been replaced puts off the conclusion: the next one may have read how
// the runs there ended before that life was over.
func (c *Core) lifeOver(w *worker, reason string, now Instant) {
	if !c.certain(now) {
		w.overReason = reason
		return
	}
	l := c.lifeOf(w, now)
	next := c.namesake(w)
	if next != nil && w.info.ID.Born() == 0 {
		c.inherit(w, next) // it may be the same life, of which more is known
		l = lostLife{}
	}
	if len(w.attempts) > 0 {
		c.tellEnded(w, l.end, w.youngRuns(), now)
	} else if lost, ok := c.lostLives[w.info.VM]; ok && lost.id == w.info.ID {
		l, _ = c.dropUnsettled(w.info.VM)
	}
	if next != nil {
		c.inherit(w, next)
	}
	c.lose(w, reason, now)
	switch l.end {
	case endCrashed:
		c.countCrashes(w.info.VM, l, now)
	case endSilent:
		c.noteSilentEnd(l, now)
	}
	c.resolve(w.info.ID, reason, now)
	c.forget(w, reason)
	c.over[w.info.ID] = true
}

// endOtherLives concludes that lives of a worker's VM or id that were known before its
// newest poll was sent, and did not answer since, are over: a VM runs one life
// at a time, and lives do not come back. A life that was heard of later may have
// followed this one while its answer was on the way.
func (c *Core) endOtherLives(w *worker, now Instant) {
	if len(c.lives[w.info.VM]) < 2 && len(c.names[w.info.ID.Name()].lives) < 2 {
		return
	}
	for _, other := range c.otherLives(w) {
		if other.knownAt >= w.holdSent || other.lastAnswer >= w.holdSent {
			continue
		}
		c.lifeOver(other, "another life of its VM answers", now)
	}
}

func (c *Core) forget(w *worker, reason string) {
	delete(c.workers, w.info.ID)
	c.leaveName(w)
	c.leave(w)
	w.listed = false // for what still refers to it
	c.lives[w.info.VM] = slices.DeleteFunc(c.lives[w.info.VM], func(o *worker) bool { return o == w })
	if len(c.lives[w.info.VM]) == 0 {
		delete(c.lives, w.info.VM)
	}
	c.roster.drop(w.info.ID)
	c.trace(Decision{Event: "worker_forgotten", Worker: w.info.ID, Reason: reason})
}

// Workers returns the ids of all workers to poll.
func (c *Core) Workers() []WorkerID {
	return slices.Sorted(maps.Keys(c.workers))
}
