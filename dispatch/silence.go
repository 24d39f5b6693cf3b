package dispatch

import (
	"fmt"
	"slices"
	"time"
)

// tickWorker repeats stops at a worker, and gives up a worker that is silent for
// longer than its leases last.
func (c *Core) tickWorker(w *worker, now Instant) {
	if w.overReason != "" {
		c.lifeOver(w, w.overReason, now)
		return
	}
	for _, a := range w.attempts {
		c.tickAttempt(a, now)
	}
	// An owner that may have been replaced must not conclude anything from
	// elapsed time alone: the next one may know how these runs ended.
	if len(w.attempts) > 0 && c.certain(now) && c.silent(w, now) {
		c.concludeSilence(w, now)
	}
	if !w.listed && len(w.attempts) == 0 && len(w.ends) == 0 && w.unreached() {
		if _, wait := c.unresolved[w.info.ID]; !wait {
			c.forget(w, "not listed, silent and without tasks")
		}
	}
}

// releaseSilent releases the attempts at a silent worker whose leases have expired.
func (c *Core) concludeSilence(w *worker, now Instant) {
	thisExpired := w.clock > 0 && w.surelyPast(w.lastDeadline, now)
	nextExpired := c.nextLifeLapsed(w, now)
	expired := slices.DeleteFunc(slices.Clone(w.attempts), func(a *attempt) bool {
		if a.mayBeOfNextLife() {
			return !nextExpired || !thisExpired && w.clock > 0
		}
		return !thisExpired
	})
	if len(expired) == 0 {
		return
	}
	l := c.lostIncarnationOf(w, now)
	c.loseAll(w, expired, "its leases are over", now)
	if c.lostLives[w.info.VM].id != w.info.ID { // else it holds these runs already
		c.keepUnsettled(w.info.VM, l)
	}
}

// mayBeOfNextIncarnation reports whether a run may have been started by an incarnation of its
// worker's id that the owner does not know of.
func (a *attempt) mayBeOfNextLife() bool { return a.worker.info.ID.Born() != 0 && !a.listed }

// nextIncarnationExpired reports whether all leases have expired that the next incarnation of a
// worker's id can have taken from calls meant for this one. Their deadlines are far ahead on its
// clock, so that they last for as long as a worker accepts.
func (c *Core) nextLifeLapsed(w *worker, now Instant) bool {
	longest := time.Duration(float64(c.params.MaxTaskLease)/clockRate) + clockMargin
	return now.Steady > w.leaseSent+lateCall+longest
}

// releaseAllLost releases all attempts at a worker: none of them can be running.
func (c *Core) lose(w *worker, reason string, now Instant) {
	c.loseAll(w, slices.Clone(w.attempts), reason, now)
}

// releaseLost releases attempts at a worker that can't be running.
func (c *Core) loseAll(w *worker, lost []*attempt, reason string, now Instant) {
	for _, a := range lost {
		c.stats.Lost++
		c.tellGivenUp("run_lost", a, reason, fmt.Sprintf("lease until %d, worker's clock %d", w.lastDeadline, w.clockNow(now)), now.Steady-w.lastAnswer)
		a.task.concluded, a.lost = true, !a.unsent
		c.release(a, now)
	}
	w.synced, w.partlyRead = false, false // the worker must not be used before its next lists are read
}

// endIncarnation handles the proof that an incarnation of a worker has ended. An owner
// that may have been replaced defers the conclusion: the next one may have read how
// the runs there ended before that incarnation did.
func (c *Core) lifeOver(w *worker, reason string, now Instant) {
	if !c.certain(now) {
		w.overReason = reason
		return
	}
	next := c.successor(w)
	end := c.classifyEnd(w, now)
	l, hadRuns := c.lostWith(w, next, now)
	if next != nil {
		c.transferRuns(w, next)
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
		c.recordInconclusiveEnd(l, now)
	}
	c.settleStartsOfIncarnation(w, next, end, now)
	c.resolve(w.info.ID, reason, now)
	c.forget(w, reason)
	c.over[w.info.ID] = true
}

// lostWith returns what is remembered of an ended incarnation, if it had runs.
func (c *Core) lostWith(w, next *worker, now Instant) (l lostIncarnation, hadRuns bool) {
	lost, unsettled := c.lostLives[w.info.VM]
	switch {
	case next != nil && w.info.ID.Born() == 0:
		return lostIncarnation{}, false // it may be the incarnation that answers now, of which more is known
	case len(w.attempts) > 0 && w.heardAt > 0:
		l = c.lostIncarnationOf(w, now)
		c.logIncarnationEnd(w, l.end, w.recentRuns(), now)
		return l, true
	case len(w.attempts) == 0 && unsettled && lost.id == w.info.ID:
		return c.dropUnsettled(w.info.VM)
	default:
		return lostIncarnation{}, false
	}
}

// endOtherIncarnations concludes that incarnations of a worker's VM or id have ended that were
// known before its newest poll was sent and have not answered since: a VM runs one incarnation
// at a time, and an ended one does not return. An incarnation that became known later may have
// followed this one while its answer was in flight.
func (c *Core) endOtherLives(w *worker, now Instant) {
	if len(c.lives[w.info.VM]) < 2 && len(c.names[w.info.ID.Name()].incarnations) < 2 {
		return
	}
	for _, other := range c.otherIncarnations(w) {
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
	c.removeFromName(w)
	c.leave(w)
	w.listed = false // for what still refers to the worker
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
