package dispatch

import (
	"slices"
	"time"
)

// Figures of lives that were lost.
const (
	// lostLifeKept bounds the wait for the next life of a VM whose worker was lost.
	lostLifeKept = time.Minute
	// crashedLately is how long suspects avoid a VM whose worker has crashed: it may
	// be the VM's own fault.
	crashedLately = 30 * time.Second
)

// LostRun is a run that was young when its worker fell silent.
type LostRun struct {
	Task string `json:"task"`
	Run  uint64 `json:"run"`
	// Trial is set if the run was the only one that can have crashed the worker.
	Trial bool `json:"trial,omitempty"`
	// Older is set if another run was started justStarted later or more: that one is
	// likelier to have crashed the worker.
	Older bool `json:"older,omitempty"`
	// Unconfirmed is set if nothing told that the worker had begun the run.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
}

// unsure reports whether the crash proves nothing of the run.
func (r LostRun) unsure() bool { return r.Older || r.Unconfirmed }

// lostLife is a life of a worker whose leases were over before it was known how it
// ended. Its runs are unsettled until the VM answers again.
type lostLife struct {
	id  WorkerID
	end lifeEnd
	// busy is set if it had tasks, so that this owner polled it.
	busy bool
	loss contactLoss
	runs []LostRun
	// unsettled is set while its runs count as unsettled at their tasks.
	unsettled bool
	// inherited is set if the previous owner's roster tells of it.
	inherited bool
	at        time.Duration
}

// taskNames returns the tasks of the life's runs.
func (l lostLife) taskNames() []string {
	names := make([]string, len(l.runs))
	for i, r := range l.runs {
		names[i] = r.Task
	}
	return names
}

// lostRuns returns the young runs at a worker, as they are remembered after it.
func (w *worker) lostRuns(now Instant) []LostRun {
	young := w.youngRuns()
	silentSince := now.Steady
	if w.loss.since > 0 {
		silentSince = w.loss.since
	}
	newest := time.Duration(0)
	for _, a := range young {
		newest = max(newest, a.placedAt)
	}
	list := make([]LostRun, 0, len(young))
	for _, a := range young {
		list = append(list, LostRun{
			Task: a.task.id().String(), Run: a.run, Older: newest-a.placedAt >= justStarted, Unconfirmed: !a.confirmed(),
			Trial: a.trial && a.confirmed() && silentSince-a.placedAt <= trialTime,
		})
	}
	return list
}

// confirmed reports whether the worker has begun the run: it answered or listed it, or the
// connection of the start's first copy broke off, and no poll was answered since. A call that was
// only not answered may never have reached the worker.
func (a *attempt) confirmed() bool {
	return a.ackClock > 0 || a.listed || a.brokenAt > 0 && a.brokenAt >= a.worker.lastAnswer
}

// lifeOf returns what is remembered of a worker whose runs are about to be lost.
func (c *Core) lifeOf(w *worker, now Instant) lostLife {
	l := lostLife{id: w.info.ID, end: c.howEnded(w, now), busy: len(w.attempts) > 0, loss: w.loss, runs: w.lostRuns(now), at: now.Steady}
	if l.loss.since == 0 {
		l.loss = contactLoss{since: now.Steady, broken: true}
	}
	return l
}

// youngForRoster returns the runs of a silent worker that may have crashed it, for the
// next owner.
func (c *Core) youngForRoster(w *worker) []LostRun {
	if !w.loss.broken {
		return nil
	}
	silent := Instant{Steady: w.loss.since}
	if c.howEnded(w, silent) != endCrashed {
		return nil
	}
	return w.lostRuns(silent)
}

// recoverLost takes in a roster entry's young runs: if the worker's life proves to be
// over, it crashed under the previous owner.
func (c *Core) recoverLost(e RosterEntry, now Instant) {
	if e.VM != "" && len(e.Young) > 0 {
		c.lostLives[e.VM] = lostLife{id: e.ID, end: endCrashed, loss: contactLoss{now.Steady, true}, runs: e.Young, inherited: true, at: now.Steady}
	}
}

// keepUnsettled remembers the runs of a worker that is lost without a proof that its
// life has ended. If it crashed, that is known once the VM answers again: by then its
// tasks run elsewhere, or wait if too many of their runs are unsettled.
func (c *Core) keepUnsettled(vm string, l lostLife) {
	if l.end != endCrashed || vm == "" || len(l.runs) == 0 {
		return
	}
	c.dropUnsettled(vm)
	l.unsettled = true
	c.lostLives[vm] = l
	c.addUnsettled(l, 1)
}

// dropUnsettled forgets the lost life of a VM and returns it.
func (c *Core) dropUnsettled(vm string) (lostLife, bool) {
	l, ok := c.lostLives[vm]
	if !ok {
		return l, false
	}
	delete(c.lostLives, vm)
	if l.unsettled {
		c.addUnsettled(l, -1)
	}
	return l, true
}

// addUnsettled changes the numbers of unsettled runs of the tasks of a lost life.
func (c *Core) addUnsettled(l lostLife, change int) {
	for _, r := range l.runs {
		if t := c.suspectNamed(r.Task); t != nil {
			c.setSuspicion(t, t.crashes, t.unsettled+change)
		}
	}
}

// settleLost concludes what became of a VM's lost life once a worker answers there:
// the same one has lived on, another one proves a crash.
func (c *Core) settleLost(w *worker, now Instant) {
	if l, ok := c.dropUnsettled(w.info.VM); ok && l.id != w.info.ID {
		c.countCrashes(w.info.VM, l, now)
	}
}

// forgetOldCrashes drops what is remembered of VMs for too long.
func (c *Core) forgetOldCrashes(now Instant) {
	for vm, l := range c.lostLives {
		if now.Steady-l.at > lostLifeKept {
			c.dropUnsettled(vm)
		}
	}
	for vm, r := range c.crashed {
		if now.Steady-r.at > crashedLately {
			delete(c.crashed, vm)
		}
	}
	for vm, at := range c.fellSilent {
		if now.Steady-at > crashedLately {
			delete(c.fellSilent, vm)
		}
	}
}

// noteLostWithOwner notes that the previous owner may have started a task of which
// nobody tells, while a worker was lost of which this owner has heard nothing. That start
// proves nothing, and counts for the most that a task is fed once it crashes a worker. Of a
// suspect, each start is recorded.
func (c *Core) noteLostWithOwner(t *task, now Instant) {
	if t.suspect() == t && t.step.mayHaveBegun(now) && t.step.gangRun == 0 && !t.lastStartKnown && t.crashes == 0 && c.lostInTerm.has(t) {
		c.addDoubt(t, c.term<<runBits)
	}
}

// noteUnclearEnd notes the young runs of a worker whose life ended otherwise than in a crash,
// as far as is known: it may have crashed and been cut off, or lost others of its rack, at the
// same moment. Of a suspect, that start counts for the most that a task is fed, but proves
// nothing; of another task it does once it crashes a worker. Tasks that only were at workers
// that were cut off are not suspected.
func (c *Core) noteUnclearEnd(l lostLife, now Instant) {
	for _, r := range l.runs {
		t := c.suspectNamed(r.Task)
		if t == nil {
			continue
		}
		c.dropStarts(t, r.Run)
		switch {
		case r.unsure():
		case t.crashes > 0:
			c.countUnsure(t, r.Run, "it was started shortly before its worker's life ended: "+l.end.String())
			c.giveUpIfCrasher(t, false, now)
		default:
			c.addDoubt(t, r.Run)
		}
	}
}

// mostDoubts of a task are kept: with more, crashes that are sure would not decide.
const mostDoubts = mostCrashes - crashLimit

// addDoubt notes a run of a task that may have crashed its worker, while no crash is known.
func (c *Core) addDoubt(t *task, run uint64) {
	if len(t.doubts) < mostDoubts && !slices.Contains(t.doubts, run) {
		c.setDoubts(t, append(slices.Clone(t.doubts), run))
	}
}

func (c *Core) setDoubts(t *task, runs []uint64) {
	switch {
	case len(t.doubts) == 0 && len(runs) > 0:
		c.doubtful++
	case len(t.doubts) > 0 && len(runs) == 0:
		c.doubtful--
	}
	t.doubts = runs
}

// takeDoubts takes in that tasks may have crashed workers which were lost under earlier
// owners.
func (c *Core) takeDoubts(j *jobState, now Instant) {
	if c.lostUnheard.none() {
		return
	}
	for _, s := range j.steps {
		if !s.mayHaveBegun(now) {
			continue
		}
		for _, t := range s.tasks {
			if t.phase != phaseDone && t.suspect() == t && t.crashes == 0 && c.lostUnheard.has(t) {
				c.addDoubt(t, (c.term-1)<<runBits)
			}
		}
	}
}
