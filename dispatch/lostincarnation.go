package dispatch

import (
	"slices"
	"time"
)

// Limits for incarnations that are lost, and may have crashed.
const (
	// lostIncarnationKept bounds the wait for the next incarnation on a VM whose worker was lost.
	lostIncarnationKept = time.Minute
	// crashedVMAvoidance is how long suspects avoid a VM whose worker has crashed: the VM
	// itself may be faulty.
	crashedVMAvoidance = 30 * time.Second
)

// LostRun is a run that had recently started when its worker fell silent.
type LostRun struct {
	Task string `json:"task"`
	Run  uint64 `json:"run"`
	// Trial is set if no other run can have crashed the worker.
	Trial bool `json:"trial,omitempty"`
	// Older is set if another run was started at least recentStartWindow later: that one
	// is likelier to have crashed the worker.
	Older bool `json:"older,omitempty"`
	// StartUnconfirmed is set if there is no evidence that the worker had started the run.
	StartUnconfirmed bool `json:"unconfirmed,omitempty"`
}

// inconclusive reports whether the crash proves nothing about the run.
func (r LostRun) inconclusive() bool { return r.Older || r.StartUnconfirmed }

// lostIncarnation is an incarnation whose leases expired before it was known whether it has
// ended, and how. Its runs count as unconfirmed crashes of their tasks until the VM answers again.
type lostIncarnation struct {
	id  WorkerID
	end incarnationEnd
	// busy is set if it had tasks, and was therefore polled by this owner.
	busy bool
	loss contactLoss
	runs []LostRun
	// counted is set while its runs count as unconfirmed crashes of their tasks.
	counted bool
	// inherited is set if it comes from the previous owner's roster or start records.
	inherited bool
	at        time.Duration // when the record was made
}

// taskNames returns the tasks of the incarnation's runs.
func (l lostIncarnation) taskNames() []string {
	names := make([]string, len(l.runs))
	for i, r := range l.runs {
		names[i] = r.Task
	}
	return names
}

// lostRuns returns the recently started runs at a worker as records that outlive it.
func (w *worker) lostRuns(now Instant) []LostRun {
	recent := w.recentRuns()
	silentSince := now.Steady
	if w.loss.since > 0 {
		silentSince = w.loss.since
	}
	newest := time.Duration(0)
	for _, a := range recent {
		newest = max(newest, a.placedAt)
	}
	list := make([]LostRun, 0, len(recent))
	for _, a := range recent {
		list = append(list, LostRun{
			Task: a.task.id().String(), Run: a.run, Older: newest-a.placedAt >= recentStartWindow, StartUnconfirmed: !a.startConfirmed(),
			Trial: a.trial && a.startConfirmed() && silentSince-a.placedAt <= trialTime,
		})
	}
	return list
}

// startConfirmed reports whether the worker has started the run: it answered or listed it, or the
// connection of the start's first copy was broken and no poll was answered since. A call that
// merely was not answered may never have reached the worker.
func (a *attempt) startConfirmed() bool {
	return a.ackClock > 0 || a.listed || a.brokenAt > 0 && a.brokenAt >= a.worker.lastPollAnswer
}

// lostIncarnationOf returns the record of a worker whose runs are about to be lost.
func (c *Core) lostIncarnationOf(w *worker, now Instant) lostIncarnation {
	l := lostIncarnation{id: w.info.ID, end: c.classifyEnd(w, now), busy: len(w.attempts) > 0, loss: w.loss, runs: w.lostRuns(now), at: now.Steady}
	if l.loss.since == 0 {
		l.loss = contactLoss{since: now.Steady, broken: true}
	}
	return l
}

// recentRunsForRoster returns the runs of a silent worker that may have crashed it, as a
// record for the next owner. Runs that were released since are in the record that is kept.
func (c *Core) recentRunsForRoster(w *worker) []LostRun {
	if l, ok := c.lostIncarnations[w.info.VM]; ok && l.id == w.info.ID && l.end == endCrashed {
		return l.runs
	}
	if !w.loss.broken {
		return nil
	}
	silent := Instant{Steady: w.loss.since}
	if c.classifyEnd(w, silent) != endCrashed {
		return nil
	}
	return w.lostRuns(silent)
}

// recoverLost records the recently started runs of a roster entry: if the incarnation proves
// to have ended, it crashed under the previous owner.
func (c *Core) recoverLost(e RosterEntry, now Instant) {
	if e.VM != "" && len(e.RecentRuns) > 0 {
		c.lostIncarnations[e.VM] = lostIncarnation{id: e.ID, end: endCrashed, loss: contactLoss{now.Steady, true}, runs: e.RecentRuns, inherited: true, at: now.Steady}
	}
}

// keepLostIncarnation keeps the record of a worker that is lost without proof that its
// incarnation has ended. Whether it crashed is known once the VM answers again. Until then its
// tasks run elsewhere, or wait if too many of their crashes are unconfirmed.
func (c *Core) keepLostIncarnation(vm string, l lostIncarnation) {
	if l.end != endCrashed || vm == "" || len(l.runs) == 0 {
		return
	}
	c.dropLostIncarnation(vm)
	l.counted = true
	c.lostIncarnations[vm] = l
	c.addUnconfirmedCrashes(l, 1)
}

// dropLostIncarnation drops the lost incarnation of a VM and returns it.
func (c *Core) dropLostIncarnation(vm string) (lostIncarnation, bool) {
	l, ok := c.lostIncarnations[vm]
	if !ok {
		return l, false
	}
	delete(c.lostIncarnations, vm)
	if l.counted {
		c.addUnconfirmedCrashes(l, -1)
	}
	return l, true
}

// addUnconfirmedCrashes changes the number of unconfirmed crashes of each task with a run in
// a lost incarnation.
func (c *Core) addUnconfirmedCrashes(l lostIncarnation, change int) {
	for _, r := range l.runs {
		if t := c.suspectByName(r.Task); t != nil {
			c.setSuspectedCrashes(t, t.crashes, t.unconfirmedCrashes+change)
		}
	}
}

// settleLostIncarnation settles a VM's lost incarnation once a worker answers there: an answer
// of the same incarnation shows that it has not ended, one of another incarnation proves a crash.
func (c *Core) settleLostIncarnation(w *worker, now Instant) {
	if l, ok := c.dropLostIncarnation(w.info.VM); ok && l.id != w.info.ID {
		c.countCrashes(w.info.VM, l, now)
	}
}

// forgetOldCrashes drops records of lost incarnations, crashes and silences of VMs that are
// older than their limits.
func (c *Core) forgetOldCrashes(now Instant) {
	for vm, l := range c.lostIncarnations {
		if now.Steady-l.at > lostIncarnationKept {
			c.dropLostIncarnation(vm)
		}
	}
	for vm, r := range c.crashed {
		if now.Steady-r.at > crashedVMAvoidance {
			delete(c.crashed, vm)
		}
	}
	for vm, at := range c.fellSilent {
		if now.Steady-at > crashedVMAvoidance {
			delete(c.fellSilent, vm)
		}
	}
}

// recordStartLostWithOwner records that the previous owner may have started a task without
// any record of it, at a worker that was lost before this owner read its lists. That start
// proves nothing, but counts towards maxCrashes once the task crashes a worker. It applies
// to tasks without known crashes: each start of a suspect is recorded anyway.
func (c *Core) recordStartLostWithOwner(t *task, now Instant) {
	if t.suspect() == t && t.step.mayHaveStarted(now) && t.step.gangRun == 0 && !t.previousTermStartKnown && t.crashes == 0 && c.unreadInTerm.has(t) {
		c.addPossibleCrash(t, c.term<<runBits)
	}
}

// recordInconclusiveEnd records the recently started runs of a worker whose incarnation
// apparently did not crash: it may have crashed and at the same time been cut off, or lost
// with others of its rack. The start of a suspect counts towards maxCrashes, but proves
// nothing; that of another task counts once the task crashes a worker. Tasks that only were at
// workers that were cut off are not suspected.
func (c *Core) recordInconclusiveEnd(l lostIncarnation, now Instant) {
	for _, r := range l.runs {
		t := c.suspectByName(r.Task)
		if t == nil {
			continue
		}
		switch {
		case r.inconclusive():
			c.dropStarts(t, r.Run)
		case t.crashes > 0:
			c.dropStarts(t, r.Run)
			c.countInconclusive(t, r.Run, t.membersOf(r), "it was started shortly before its worker's incarnation ended: "+l.end.String())
			c.giveUpIfCrasher(t, false, now)
		default:
			// A record of the start stays, so that the next owner has the possible crash too.
			c.addPossibleCrash(t, r.Run)
		}
	}
}

// maxPossibleCrashes is how many possible crashes of a task are kept: with more, the
// conclusive crashes would not decide.
const maxPossibleCrashes = maxCrashes - crashLimit

// addPossibleCrash records a run that may have crashed its worker, of a task without known
// crashes.
func (c *Core) addPossibleCrash(t *task, run uint64) {
	if len(t.possibleCrashRuns) < maxPossibleCrashes && !slices.Contains(t.possibleCrashRuns, run) {
		c.setPossibleCrashes(t, append(slices.Clone(t.possibleCrashRuns), run))
	}
}

func (c *Core) setPossibleCrashes(t *task, runs []uint64) {
	switch {
	case len(t.possibleCrashRuns) == 0 && len(runs) > 0:
		c.possibleCrashTasks++
	case len(t.possibleCrashRuns) > 0 && len(runs) == 0:
		c.possibleCrashTasks--
	}
	t.possibleCrashRuns = runs
}

// recoverPossibleCrashes records a possible crash for each task that may have run at workers
// lost under earlier owners.
func (c *Core) recoverPossibleCrashes(j *jobState, now Instant) {
	if c.lostUnread.none() {
		return
	}
	for _, s := range j.steps {
		if !s.mayHaveStarted(now) {
			continue
		}
		for _, t := range s.tasks {
			if t.phase != phaseDone && t.suspect() == t && t.crashes == 0 && c.lostUnread.has(t) {
				c.addPossibleCrash(t, (c.term-1)<<runBits)
			}
		}
	}
}
