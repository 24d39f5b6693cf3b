package dispatch

import (
	"fmt"
	"slices"

	"leverstile.dev/job"
)

// Limits for suspects, tasks that may crash the workers that start them.
const (
	// crashLimit is the number of crashes in a row after which a task is given up, if the last
	// came while the task was on trial (see trialCrashes), and isolatedLimit of them were
	// isolated, the last among them. Workers also crash for other reasons, up to 15% of them at
	// once: lower limits would give up tasks that only were at such workers.
	crashLimit    = 3
	isolatedLimit = 2
	// maxCrashes is the number of crashes in a row, at least crashLimit of them conclusive,
	// after which a task is given up whatever else crashes: users allow two starts after the
	// third crash.
	maxCrashes = 5
)

// suspect returns the task that holds the crash counts of a task: itself, or the first
// task of its gang, whose members start and end together.
func (t *task) suspect() *task {
	if t.step.spec.Gang {
		return t.step.tasks[0]
	}
	return t
}

// suspectedCrashes returns how many workers in a row may have crashed when the task was
// started: known crashes, and unconfirmed ones, of runs at workers that were lost and may or
// may not have crashed.
func (t *task) suspectedCrashes() int {
	t = t.suspect()
	return t.crashes + t.unconfirmedCrashes
}

// setSuspectedCrashes sets the numbers of known and of unconfirmed crashes of a suspect, and
// maintains the counts of suspects.
func (c *Core) setSuspectedCrashes(t *task, crashes, unconfirmed int) {
	before := t.crashes+t.unconfirmedCrashes > 0
	t.crashes, t.unconfirmedCrashes = crashes, max(unconfirmed, 0)
	after := t.crashes+t.unconfirmedCrashes > 0
	if before == after {
		return
	}
	change := 1
	if before {
		change = -1
	}
	t.step.suspects += change
	c.suspects += change
}

// setCrashes sets the number of known crashes of a suspect, and delays its next start
// until the store holds that number.
func (c *Core) setCrashes(t *task, n int) {
	c.setSuspectedCrashes(t, n, t.unconfirmedCrashes)
	t.crashVersion = t.step.job.version
}

// suspectByName returns the suspect of the task with this name, nil if it has ended
// or is unknown.
func (c *Core) suspectByName(name string) *task {
	id, err := job.ParseTaskID(name)
	if err != nil {
		return nil // written by something else; the roster's other entries stay valid
	}
	t := c.findTask(id)
	if t == nil || t.step.job.progress.State.Final() || t.suspect().phase == phaseDone {
		return nil
	}
	return t.suspect()
}

// countCrashes counts a worker's crash for the tasks that may have caused it. If some of
// them are on trial, it counts for these only.
func (c *Core) countCrashes(vm string, l lostIncarnation, now Instant) {
	trial := slices.ContainsFunc(l.runs, func(r LostRun) bool { return r.Trial })
	if vm != "" && l.busy {
		c.crashed[vm] = crashRecord{at: l.loss.since, tasks: l.taskNames()}
	}
	for _, r := range l.runs {
		if !trial || r.Trial {
			c.countCrash(vm, l, r, now)
		}
	}
	c.compareCrashes(now)
}

// countCrash counts a crash for one task, and gives the task up if it has reached its
// limit of crashes.
func (c *Core) countCrash(vm string, l lostIncarnation, r LostRun, now Instant) {
	t := c.suspectByName(r.Task)
	if t != nil && l.inherited {
		t.previousTermStartKnown = true
	}
	if t == nil || !t.step.job.progress.RecordCrash(t.id(), job.Crash{Run: r.Run, Inconclusive: r.inconclusive(), Members: t.membersOf(r)}) {
		return
	}
	j := t.step.job
	j.progress.DropStarts(t.id(), r.Run)
	for _, run := range t.possibleCrashRuns {
		c.countInconclusive(t, run, nil, "it may have been started where a worker was lost before")
	}
	c.setPossibleCrashes(t, nil)
	c.markChanged(j)
	n := j.progress.CrashCount(t.id())
	c.setCrashes(t, n.All)
	d := taskDecision("task_suspected", t, nil, r.Run, fmt.Sprintf("its worker crashed at its start, %d times in a row", n.All))
	d.Worker = l.id
	d.Detail = fmt.Sprintf("on trial %v, another run began later %v, unconfirmed %v", r.Trial, r.Older, r.StartUnconfirmed)
	c.trace(d)
	if !r.inconclusive() {
		c.scheduleComparison(t, vm, l, r)
	}
	c.giveUpIfCrasher(t, false, now)
}

// giveUpIfCrasher fails the job of a task that is proven to crash its workers, or that has
// reached maxCrashes. Proof is set if the newest crash was isolated, the crash rate low and
// the task on trial.
func (c *Core) giveUpIfCrasher(t *task, proof bool, now Instant) {
	j := t.step.job
	n := j.progress.CrashCount(t.id())
	if n.Conclusive < crashLimit || n.All < maxCrashes && !(proof && n.Isolated >= isolatedLimit) {
		return
	}
	c.stats.CrashersGivenUp++
	c.markExplained(t)
	c.setFinal(j, job.Failed, fmt.Sprintf("task %s: %d workers in a row crashed when it was started", t.id(), n.Conclusive), now)
}

// membersOf returns the member of a gang that a run is of, nil for other tasks.
func (t *task) membersOf(r LostRun) []int {
	id, err := job.ParseTaskID(r.Task)
	if err != nil || !t.step.spec.Gang {
		return nil
	}
	return []int{id.Index}
}

// countInconclusive counts a start of a suspect that may have crashed its worker, without proof.
// Members are those of a gang at that worker, as far as they are known.
func (c *Core) countInconclusive(t *task, run uint64, members []int, reason string) {
	j := t.step.job
	if !j.progress.RecordCrash(t.id(), job.Crash{Run: run, Inconclusive: true, Members: members}) {
		return
	}
	c.markChanged(j)
	c.setCrashes(t, j.progress.CrashCount(t.id()).All)
	c.logTask("task_suspected", t, nil, 0, reason)
}

// clearSuspicion ends the suspicion of a task: a run has outlived its start, or reported its
// end. An end that is reported late may be that of a run before the crashes, and proves
// nothing about them.
func (c *Core) clearSuspicion(t *task, run uint64, reason string) {
	t = t.suspect()
	progress := &t.step.job.progress
	if !slices.ContainsFunc(t.possibleCrashRuns, func(r uint64) bool { return r > run }) {
		c.setPossibleCrashes(t, nil)
	}
	if t.crashes == 0 || run < progress.NewestCrash(t.id()) {
		return
	}
	progress.ClearCrashes(t.id())
	c.markChanged(t.step.job)
	c.setCrashes(t, 0)
	c.logTask("task_cleared", t, nil, run, reason)
}

// clearIfOutlived clears a suspect whose run still works startCrashWindow after its start.
func (c *Core) clearIfOutlived(a *attempt, now Instant) {
	a.recordSettled(now)
	if now.Steady-a.started < startCrashWindow {
		return
	}
	t := a.task.suspect()
	c.dropStarts(t, a.run)
	if t.crashes > 0 || len(t.possibleCrashRuns) > 0 {
		c.clearSuspicion(t, a.run, "its run has outlived its start")
	}
}

// isLastStart reports whether one more crash ends a suspect's job, whatever else crashes.
func (c *Core) isLastStart(t *task) bool {
	n := t.step.job.progress.CrashCount(t.id())
	return n.All+1 >= maxCrashes && n.Conclusive+1 >= crashLimit
}

// suspectWaitReason returns why a suspect is not started yet, or nothing. The store must
// hold its crashes, so that the next owner has them. While too many of its crashes are
// unconfirmed, all of them may be real.
func (c *Core) suspectWaitReason(t *task, now Instant) string {
	readySince := t.readySince
	t = t.suspect()
	spaced := now.Steady-readySince < starvedAfter || c.isLastStart(t) // several may have waited for the same low crash rate
	switch {
	case t.crashes > 0 && t.step.job.persisted < t.crashVersion:
		return "the store to hold what is known of its crashes"
	case t.unconfirmedCrashes > 0 && t.suspectedCrashes() >= maxCrashes:
		return "the VMs of its last runs to answer"
	case t.suspectedCrashes() >= crashLimit && now.Steady < t.crashComparedAt:
		return "its newest crash to be told apart from others"
	case c.isLastStart(t) && now.Steady-readySince < lowCrashRateWait && !c.lowCrashRateNow(t, now):
		return "other workers to stop crashing"
	case t.suspectedCrashes() >= trialCrashes && spaced && now.Steady < c.nextTrial:
		return "another task on trial to outlive its start"
	default:
		return ""
	}
}
