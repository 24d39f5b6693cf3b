package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// unresolvedWorker holds what may run at a worker of the previous owner that has not
// answered yet.
type unresolvedWorker struct {
	until time.Duration // when all leases there have expired
	// listedUntil is when they have but for those of the tasks in unlisted, see leaseBound;
	// listedExpired is set from then on.
	listedUntil   time.Duration
	unlisted      map[string]bool
	listedExpired bool
	// open is set if any task may run there, else only those in tasks.
	open  bool
	tasks map[string]bool
	// reason tells why the leases there are awaited until then.
	reason string
}

// Recover reads the previous owner's roster, before any job is added. A task that one
// of these workers may run is not started elsewhere until the worker has answered
// under the new term or has ended, or RecoveryWait has passed.
func (c *Core) Recover(list []RosterEntry, now Instant) {
	slices.SortFunc(list, func(a, b RosterEntry) int { return cmp.Compare(a.ID, b.ID) }) // workers are kept in this order
	for _, e := range list {
		if first, duplicate := c.unresolved[e.ID]; duplicate {
			c.recoverDuplicate(first, e, now)
			continue
		}
		b := c.recoveryBound(e, now)
		u := unresolvedWorker{until: b.all, listedUntil: b.listed, unlisted: b.unlisted, open: !e.Closed, tasks: map[string]bool{}, reason: c.recoveryReason(e)}
		for _, id := range e.Tasks {
			u.tasks[id] = true
		}
		c.unresolved[e.ID] = u
		e.sealed = c.trusts(e.Seal)
		c.roster.set(e)
		if e.Closed {
			c.roster.storedTasks[e.ID] = parseTasks(e.Tasks)
		}
		c.recoverLost(e, now)
		w := c.addWorker(WorkerInfo{ID: e.ID, Address: e.Address, VM: e.VM}, now)
		w.recorded, w.sealed = u.open, e.sealed
		if u.open {
			c.openUnresolved++
		}
	}
	if len(list) > 0 {
		c.trace(Decision{Event: "recovery_begun", Age: c.params.RecoveryWait})
	}
}

// recoverDuplicate merges a second entry of a worker: the worker was dropped from one part of
// the roster and added to another, and the first part was not written since. The tasks of both
// entries may run there.
func (c *Core) recoverDuplicate(u unresolvedWorker, e RosterEntry, now Instant) {
	u.until = max(u.until, c.recoveryBound(e, now).all)
	u.listedUntil = u.until
	e.sealed = c.trusts(e.Seal)
	c.workers[e.ID].sealed = c.workers[e.ID].sealed || e.sealed
	for _, id := range e.Tasks {
		u.tasks[id] = true
	}
	if !e.Closed && !u.open {
		u.open = true
		c.openUnresolved++
		c.workers[e.ID].recorded = true
		c.roster.drop(e.ID)
		c.roster.set(e)
	} else {
		c.roster.markStale(e.part)
	}
	c.unresolved[e.ID] = u
}

// unknownWorker stands for the workers if the roster can't be read.
const unknownWorker WorkerID = ""

// RecoverUnknown replaces Recover if the roster can't be read: until all leases of
// the previous owner have expired, any task may run anywhere.
func (c *Core) RecoverUnknown(now Instant) {
	c.unresolved[unknownWorker] = unresolvedWorker{until: now.Steady + c.params.RecoveryWait, open: true}
	c.openUnresolved++
	c.trace(Decision{Event: "recovery_begun", Reason: "the roster can't be read", Age: c.params.RecoveryWait})
}

// resolve removes a worker from those that may run unknown tasks.
func (c *Core) resolve(id WorkerID, reason string, now Instant) {
	u, ok := c.unresolved[id]
	if !ok {
		return
	}
	delete(c.unresolved, id)
	if u.open {
		c.openUnresolved--
	}
	if w := c.workers[id]; w == nil || w.lastContact == 0 {
		c.recordUnreadLoss(u)
	}
	c.settleStarts(id, now)
	switch {
	case c.openUnresolved > 0:
		return
	case len(c.unresolved) == 0:
		c.trace(Decision{Event: "recovery_done", Worker: id, Reason: reason, Age: now.Steady - c.seals.start})
	default:
		c.trace(Decision{Event: "recovery_partly_done", Worker: id, Reason: reason + "; tasks that may run at silent workers still wait", Age: now.Steady - c.seals.start})
	}
	c.unknownPending = true
	c.settleUnknown(now)
}

// settleUnknown releases the tasks that may have run anywhere, once no worker is
// unresolved where any task may run. Tasks that may run at one of the other unresolved
// workers still wait. Like every conclusion from silence or from the end of an
// incarnation, this requires a lease that is held for certain.
func (c *Core) settleUnknown(now Instant) {
	if c.unknownPending && c.openUnresolved == 0 && c.holdsLease(now) {
		c.unknownPending = false
		c.releaseUnknown(now)
	}
}

// mayRun reports whether a worker that has not answered yet may run a task.
func (c *Core) mayRun(t *task) bool {
	if c.openUnresolved > 0 {
		return true
	}
	if len(c.unresolved) == 0 {
		return false
	}
	id := t.id().String()
	for _, u := range c.unresolved {
		if u.tasks[id] && (!u.listedExpired || u.unlisted[id]) {
			return true
		}
	}
	return false
}

// mayHaveFailedBefore reports whether a failed task may have used its last
// attempt: a worker of the previous owner that has not answered yet may list
// failures of earlier runs. The previous owner had read fewer failures than the limit
// when it started the newest run, so only a failure read since can be the last one.
// Without this wait, a next owner that read the second of two failures first started
// the task a third time, 0.15 s after the failure.
func (c *Core) mayHaveFailedBefore(t *task) bool {
	s := t.step
	if !s.spec.Gang {
		return t.failedInTerm && c.mayRun(t)
	}
	return s.tasks[0].failedInTerm && slices.ContainsFunc(s.tasks, c.mayRun)
}

// expireUnresolved stops waiting for workers whose leases have expired for certain,
// including those that this owner gave while it read the worker's lists in parts.
func (c *Core) expireUnresolved(now Instant) {
	for id, u := range c.unresolved {
		w := c.workers[id]
		expired := w == nil || c.silent(w, now) && (!w.partlyRead || w.deadlinePassed(w.lastDeadline, now))
		switch {
		case !expired || !c.holdsLease(now):
		case now.Steady >= u.until:
			c.resolve(id, "the previous owner's leases are over", now)
		case now.Steady >= u.listedUntil && !u.open && !u.listedExpired:
			c.expireListed(id, u)
		}
	}
	c.settleUnknown(now)
}

// expireListed stops waiting for a worker except for tasks that its next incarnation may run, and
// those whose start is recorded, since they may have crashed it.
func (c *Core) expireListed(id WorkerID, u unresolvedWorker) {
	for _, r := range c.recordedStarts[id] {
		u.unlisted[r.task.id().String()] = true
	}
	u.listedExpired = true
	c.unresolved[id] = u
	if w := c.workers[id]; w == nil || w.lastContact == 0 {
		c.recordUnreadLoss(u)
	}
	c.unknownPending = true
	c.trace(Decision{Event: "recovery_partly_done", Worker: id, Reason: fmt.Sprintf("the leases of listed runs are over; %d tasks may run in its next incarnation", len(u.unlisted))})
}

// releaseUnknown makes the tasks in phaseUnknown ready that run at no worker.
func (c *Core) releaseUnknown(now Instant) {
	ids := slices.Sorted(maps.Keys(c.jobs))
	for _, id := range ids {
		for _, s := range c.jobs[id].steps {
			for _, t := range s.tasks {
				if t.phase == phaseUnknown && !c.mayRun(t) {
					t.phase = phaseWaiting
					t.endUnknown = true
					c.recordStartLostWithOwner(t, now)
				}
			}
			if s.job.progress.State.Final() {
				continue
			}
			if s.spec.Gang && s.gangRun != 0 {
				c.repairGang(s, now)
				continue
			}
			c.openStep(s, now)
		}
	}
	c.forgetUnread()
}

// repairGang ends a gang's run of which members were lost while the owner changed, once the
// state of each member is known.
func (c *Core) repairGang(s *stepRun, now Instant) {
	if slices.ContainsFunc(s.tasks, func(t *task) bool { return t.phase == phaseUnknown }) {
		return
	}
	for _, t := range s.tasks {
		if t.attempt == nil && t.phase != phaseDone {
			c.gangMemberLeft(s, s.gangRun, now)
			return
		}
	}
}

// Awaits reports whether a worker of the previous owner has not answered yet.
func (c *Core) Awaits(id WorkerID) bool {
	_, waits := c.unresolved[id]
	return waits
}

// Recovering returns the number of workers of the previous owner that have not answered yet.
func (c *Core) Recovering() int { return len(c.unresolved) }

// RecoveryLeft returns the longest time for which an unresolved worker may still be waited for.
func (c *Core) RecoveryLeft(now Instant) time.Duration {
	var left time.Duration
	for _, u := range c.unresolved {
		left = max(left, u.until-now.Steady)
	}
	return left
}

// logAwaited logs what waits for an unresolved worker that does not answer, and for how long.
func (c *Core) logAwaited(id WorkerID, now Instant) {
	u, waits := c.unresolved[id]
	if !waits {
		return
	}
	reason := fmt.Sprintf("%d tasks wait until its leases are over", len(u.tasks))
	if u.open {
		reason = "all tasks that may have started wait until its leases are over"
	}
	c.trace(Decision{Event: "recovery_waits", Worker: id, Reason: reason, Detail: u.reason, Age: max(u.until-now.Steady, 0)})
}

// recoverySlack is added to the wait for the previous owner's leases, for the
// difference of clock rates and the duration of calls.
const recoverySlack = 400 * time.Millisecond

// RecoveryWaitFor returns Params.RecoveryWait, for owners whose leases at the
// store last ttl and who give orders until horizon after a renewal.
func RecoveryWaitFor(ttl, horizon time.Duration) time.Duration {
	return time.Duration(float64(horizon-ttl)/clockRate) + recoverySlack
}

// EndedOwnerWaitFor returns the EndedOwnerWait of an owner whose predecessor is known to have
// ended, and had resolved all workers of the owners before it: nobody extends leases any more,
// so that only the last ones are awaited. It holds only where the next incarnation of a worker
// refuses calls that were meant for this one: another one may take a longer lease from them.
func EndedOwnerWaitFor(p Params) time.Duration {
	return min(p.RecoveryWait, time.Duration(float64(p.taskLease())/clockRate)+recoverySlack)
}

// recoveryWaitFor returns how long the orders of previous owners may be in force at a worker.
func (c *Core) recoveryWaitFor(id WorkerID) time.Duration {
	switch {
	case c.params.EndedOwnerWait == 0:
		return c.params.RecoveryWait
	case id.Born() == 0:
		return c.params.EndedOwnerWait
	default: // its next incarnation may have carried out a start that was sent right before the takeover
		return max(c.params.RecoveryWait, maxCallDelay+c.longestLease())
	}
}
