package dispatch

import (
	"fmt"
	"slices"
	"time"
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
	if len(w.attempts) > 0 && c.certain(now) && c.silent(w, now) {
		c.concludeSilence(w, now)
	}
	if !w.listed && len(w.attempts) == 0 && len(w.ends) == 0 && w.unreached() {
		if _, wait := c.unresolved[w.info.ID]; !wait {
			c.forget(w, "not listed, silent and without tasks")
		}
	}
}

// concludeSilence releases the attempts at a silent worker whose leases are over.
func (c *Core) concludeSilence(w *worker, now Instant) {
	known := w.clock > 0 && w.surelyPast(w.lastDeadline, now)
	next := c.nextLifeLapsed(w, now)
	over := slices.DeleteFunc(slices.Clone(w.attempts), func(a *attempt) bool {
		if a.mayBeOfNextLife() {
			return !next || !known && w.clock > 0
		}
		return !known
	})
	if len(over) == 0 {
		return
	}
	l := c.lifeOf(w, now)
	c.loseAll(w, over, "its leases are over", now)
	if c.lostLives[w.info.VM].id != w.info.ID { // else it holds these runs already
		c.keepUnsettled(w.info.VM, l)
	}
}

// mayBeOfNextLife reports whether a run may have been begun by a life of its worker's id that
// the owner has not heard of.
func (a *attempt) mayBeOfNextLife() bool { return a.worker.info.ID.Born() != 0 && !a.listed }

// nextLifeLapsed reports whether all leases are over that the next life of a worker's id can
// have taken from calls meant for this one: their deadlines are far ahead on its clock, so that
// they last for as long as a worker accepts.
func (c *Core) nextLifeLapsed(w *worker, now Instant) bool {
	longest := time.Duration(float64(c.params.MaxTaskLease)/clockRate) + clockMargin
	return now.Steady > w.leaseSent+lateCall+longest
}

// lose releases all attempts at a worker: none of them can be running.
func (c *Core) lose(w *worker, reason string, now Instant) {
	c.loseAll(w, slices.Clone(w.attempts), reason, now)
}

// loseAll is lose for some of a worker's attempts.
func (c *Core) loseAll(w *worker, over []*attempt, reason string, now Instant) {
	for _, a := range over {
		c.stats.Lost++
		c.tellGivenUp("run_lost", a, reason, fmt.Sprintf("lease to %d of worker's clock %d", w.lastDeadline, w.clockNow(now)), now.Steady-w.lastAnswer)
		a.task.concluded, a.lost = true, !a.unsent
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
	next := c.namesake(w)
	end := c.howEnded(w, now)
	l, hadRuns := c.lostWith(w, next, now)
	if next != nil {
		c.inherit(w, next)
	}
	c.lose(w, reason, now)
	if hadRuns && l.busy && w.info.VM != "" {
		c.fellSilent[w.info.VM] = l.loss.since
	}
	switch {
	case !hadRuns:
	case l.end == endCrashed:
		c.countCrashes(w.info.VM, l, now)
	default:
		c.noteUnclearEnd(l, now)
	}
	c.settleStartsOfLife(w, next, end, now)
	c.resolve(w.info.ID, reason, now)
	c.forget(w, reason)
	c.over[w.info.ID] = true
}

// lostWith returns what is remembered of a life that is over, if it had runs.
func (c *Core) lostWith(w, next *worker, now Instant) (l lostLife, hadRuns bool) {
	lost, unsettled := c.lostLives[w.info.VM]
	switch {
	case next != nil && w.info.ID.Born() == 0:
		return lostLife{}, false // it may be the life that answers now, of which more is known
	case len(w.attempts) > 0 && w.heardAt > 0:
		l = c.lifeOf(w, now)
		c.tellEnded(w, l.end, w.youngRuns(), now)
		return l, true
	case len(w.attempts) == 0 && unsettled && lost.id == w.info.ID:
		return c.dropUnsettled(w.info.VM)
	default:
		return lostLife{}, false
	}
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
	delete(c.unstoredEnds, w)
	c.reach.without(w)
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
	ids := make([]WorkerID, len(c.order))
	for i, w := range c.order {
		ids[i] = w.info.ID
	}
	return ids
}
