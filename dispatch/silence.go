package dispatch

import (
	"fmt"
	"slices"
	"time"
)

// tickWorker repeats stops at a worker, gives up the runs at a silent worker whose leases
// have expired, and forgets a silent worker that is not listed and has no tasks.
func (c *Core) tickWorker(w *worker, now Instant) {
	if w.endReason != "" {
		c.endIncarnation(w, w.endReason, now)
		return
	}
	for _, a := range w.attempts {
		c.tickAttempt(a, now)
	}
	// An owner that may have been replaced must not give up runs because of
	// elapsed time alone: the next one may know how they ended.
	if len(w.attempts) > 0 && c.holdsLease(now) && c.silent(w, now) {
		c.releaseSilent(w, now)
	}
	if !w.listed && len(w.attempts) == 0 && len(w.ends) == 0 && w.unreached() {
		if _, wait := c.unresolved[w.info.ID]; !wait {
			c.forgetWorker(w, "not listed, silent and without tasks")
		}
	}
}

// releaseSilent releases the attempts at a silent worker whose leases have expired.
func (c *Core) releaseSilent(w *worker, now Instant) {
	thisExpired := w.clock > 0 && w.deadlinePassed(w.lastDeadline, now)
	nextExpired := c.nextIncarnationExpired(w, now)
	expired := slices.DeleteFunc(slices.Clone(w.attempts), func(a *attempt) bool {
		if a.mayBeOfNextIncarnation() {
			return !nextExpired || !thisExpired && w.clock > 0
		}
		return !thisExpired
	})
	if len(expired) == 0 {
		return
	}
	l := c.lostIncarnationOf(w, now)
	c.releaseLost(w, expired, "its leases are over", now)
	if c.lostIncarnations[w.info.VM].id != w.info.ID { // otherwise its record has these runs already
		c.keepLostIncarnation(w.info.VM, l)
	}
}

// mayBeOfNextIncarnation reports whether a run may have been started by a later incarnation
// of its worker's id, of which the owner has no record yet.
func (a *attempt) mayBeOfNextIncarnation() bool { return a.worker.info.ID.Born() != 0 && !a.listed }

// nextIncarnationExpired reports whether all leases have expired that the next incarnation of a
// worker's id can have taken from calls meant for this one. Their deadlines are far ahead on its
// clock, so that they last for as long as a worker accepts.
func (c *Core) nextIncarnationExpired(w *worker, now Instant) bool {
	return now.Steady > c.nextIncarnationLeaseEnd(w)
}

// nextIncarnationLeaseEnd returns the steady time from which none of these leases lasts.
func (c *Core) nextIncarnationLeaseEnd(w *worker) time.Duration {
	return w.leaseSent + maxCallDelay + c.longestLease()
}

// longestLease returns how long the longest lease that a worker accepts lasts on a clock at its
// slowest.
func (c *Core) longestLease() time.Duration {
	return time.Duration(float64(c.params.MaxTaskLease)/clockRate) + clockMargin
}

// releaseAllLost releases all attempts at a worker: none of them can be running.
func (c *Core) releaseAllLost(w *worker, reason string, now Instant) {
	c.releaseLost(w, slices.Clone(w.attempts), reason, now)
}

// releaseLost releases attempts at a worker that can't be running.
func (c *Core) releaseLost(w *worker, lost []*attempt, reason string, now Instant) {
	for _, a := range lost {
		c.stats.Lost++
		c.logGivenUp("run_lost", a, reason, fmt.Sprintf("lease until %d, worker's clock %d", w.lastDeadline, w.clockNow(now)), now.Steady-w.lastPollAnswer)
		a.task.endUnknown, a.lost = true, !a.unsent
		if a.lost {
			a.task.lostRuns++
		}
		c.release(a, now)
	}
	w.synced, w.partlyRead = false, false // the worker must not be used before its next lists are read
}

// endIncarnation handles the proof that an incarnation of a worker has ended. An owner
// that may have been replaced defers the conclusion: the next one may have read how
// the runs there ended before that incarnation did.
func (c *Core) endIncarnation(w *worker, reason string, now Instant) {
	if !c.holdsLease(now) {
		w.endReason = reason
		return
	}
	next := c.successor(w)
	end := c.classifyEnd(w, now)
	l, hadRuns := c.endedIncarnationRecord(w, next, now)
	if next != nil {
		c.transferRuns(w, next)
	}
	c.releaseAllLost(w, reason, now)
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
	c.forgetWorker(w, reason)
	c.ended[w.info.ID] = true
}

// endedIncarnationRecord returns the record of an ended incarnation, if it had runs.
func (c *Core) endedIncarnationRecord(w, next *worker, now Instant) (l lostIncarnation, hadRuns bool) {
	lost, found := c.lostIncarnations[w.info.VM]
	switch {
	case next != nil && w.info.ID.Born() == 0:
		return lostIncarnation{}, false // it may be the incarnation that answers now, of which more is known
	case len(w.attempts) > 0 && w.lastContact > 0:
		l = c.lostIncarnationOf(w, now)
		c.logIncarnationEnd(w, l.end, w.recentRuns(), now)
		return l, true
	case len(w.attempts) == 0 && found && lost.id == w.info.ID:
		return c.dropLostIncarnation(w.info.VM)
	default:
		return lostIncarnation{}, false
	}
}

// endOtherIncarnations ends those incarnations of a worker's VM or id that were known before
// its newest poll was sent and have not answered since: a VM runs one incarnation
// at a time, and an ended one does not return. An incarnation that became known later may have
// followed this one while its answer was in flight.
func (c *Core) endOtherIncarnations(w *worker, now Instant) {
	if len(c.workersByVM[w.info.VM]) < 2 && len(c.incarnationsByName[w.info.ID.Name()].incarnations) < 2 {
		return
	}
	for _, other := range c.otherIncarnations(w) {
		if other.knownAt >= w.pollSent || other.lastPollAnswer >= w.pollSent {
			continue
		}
		c.endIncarnation(other, "another life of its VM answers", now)
	}
}

// forgetWorker removes a worker from the core.
func (c *Core) forgetWorker(w *worker, reason string) {
	delete(c.workers, w.info.ID)
	delete(c.unstoredEnds, w)
	c.reach.remove(w)
	c.removeIncarnation(w)
	c.removeFromIndexes(w)
	w.listed = false // for what still refers to the worker
	c.workersByVM[w.info.VM] = slices.DeleteFunc(c.workersByVM[w.info.VM], func(o *worker) bool { return o == w })
	if len(c.workersByVM[w.info.VM]) == 0 {
		delete(c.workersByVM, w.info.VM)
	}
	c.roster.drop(w.info.ID)
	c.trace(Decision{Event: "worker_forgotten", Worker: w.info.ID, Reason: reason})
}

// Workers returns the ids of all workers to poll.
func (c *Core) Workers() []WorkerID {
	ids := make([]WorkerID, len(c.sortedWorkers))
	for i, w := range c.sortedWorkers {
		ids[i] = w.info.ID
	}
	return ids
}
