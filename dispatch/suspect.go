package dispatch

import (
	"fmt"
	"slices"
	"time"

	"leverstile.dev/job"
)

// Figures of tasks that may crash the workers that start them.
const (
	// crashLimit crashes in a row, the last of them while the task was on trial, a task
	// is given up if aloneLimit of the workers crashed alone, the last one among them.
	// Workers also crash by themselves, as many as 15% of them at once: with fewer, tasks
	// that only were there would be given up too.
	crashLimit = 3
	aloneLimit = 2
	// mostCrashes in a row, a task is given up whatever else crashes: the users allow
	// two starts after the third crash.
	mostCrashes = 5
	// sameMoment is how far apart crashes are noticed that may have one cause outside
	// of the workers: a broken poll is noticed at once, the next one up to 0.2 s later.
	sameMoment = 300 * time.Millisecond
)

// crashRecord is a crash that was counted.
type crashRecord struct {
	at time.Duration
	// trial is set if a task on trial had just been started there.
	trial bool
}

// suspect returns the task that holds what is known of a task's crashes: the first
// one of a gang, whose members start and end together.
func (t *task) suspect() *task {
	if t.step.spec.Gang {
		return t.step.tasks[0]
	}
	return t
}

// suspicion returns how many workers may have crashed in a row when the task was
// started.
func (t *task) suspicion() int {
	t = t.suspect()
	return t.crashes + t.unsettled
}

// setSuspicion takes in how many crashes of a suspect are known, and how many of its
// runs are unsettled.
func (c *Core) setSuspicion(t *task, crashes, unsettled int) {
	before := t.crashes+t.unsettled > 0
	t.crashes, t.unsettled = crashes, max(unsettled, 0)
	after := t.crashes+t.unsettled > 0
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

// setCrashes takes in how many crashes of a suspect are known, and has its next start
// wait until the store knows too.
func (c *Core) setCrashes(t *task, n int) {
	c.setSuspicion(t, n, t.unsettled)
	t.crashVersion = t.step.job.version
}

// suspectNamed returns the suspect of a task by the task's name, nil if it has ended
// or is not known.
func (c *Core) suspectNamed(name string) *task {
	id, err := job.ParseTaskID(name)
	if err != nil {
		return nil // by another writer; the others of the roster count
	}
	t := c.findTask(id)
	if t == nil || t.step.job.progress.State.Final() || t.suspect().phase == phaseDone {
		return nil
	}
	return t.suspect()
}

// countCrashes counts a worker's crash for the tasks that may have caused it. With
// one of them on trial, that are those on trial alone.
func (c *Core) countCrashes(vm string, l lostLife, now Instant) {
	trial := slices.ContainsFunc(l.runs, func(r LostRun) bool { return r.Trial })
	if vm != "" && l.busy {
		c.crashed[vm] = crashRecord{l.loss.since, trial}
	}
	alone := !c.othersCrashed(vm, l.loss.since)
	for _, r := range l.runs {
		if !trial || r.Trial {
			c.countCrash(l, r, alone, now)
		}
	}
}

// othersCrashed reports whether another VM's worker fell silent at the same moment
// without a task on trial: then something else may crash workers, and a crash proves
// less of the task on trial here.
func (c *Core) othersCrashed(vm string, at time.Duration) bool {
	for other, r := range c.crashed {
		if other != vm && !r.trial && (r.at-at).Abs() <= sameMoment {
			return true
		}
	}
	for _, w := range c.order {
		if w.info.VM == vm || !w.loss.broken || (w.loss.since-at).Abs() > sameMoment {
			continue
		}
		if !slices.ContainsFunc(w.attempts, func(a *attempt) bool { return a.trial }) {
			return true
		}
	}
	return false
}

// countCrash counts a crash for one task, and gives the task up if it is certain that
// it crashes its workers.
func (c *Core) countCrash(l lostLife, r LostRun, alone bool, now Instant) {
	t := c.suspectNamed(r.Task)
	if t != nil && l.inherited {
		t.crashInherited = true
	}
	if t == nil || !t.step.job.progress.CountCrash(t.id(), job.Crash{Run: r.Run, Alone: alone && !r.unsure(), Unsure: r.unsure()}) {
		return
	}
	j := t.step.job
	if t.mayHaveCrashed {
		t.mayHaveCrashed = false
		c.countUnsure(t, c.term<<runBits, "it may have been started where a worker was lost before")
	}
	c.touch(j)
	n := j.progress.CrashCount(t.id())
	c.setCrashes(t, n.All)
	d := taskDecision("task_suspected", t, nil, r.Run, fmt.Sprintf("its worker crashed at its start, %d times in a row", n.All))
	d.Worker = l.id
	d.Detail = fmt.Sprintf("on trial %v, another run began later %v, unconfirmed %v, its worker crashed alone %v", r.Trial, r.Older, r.Unconfirmed, alone)
	c.trace(d)
	c.giveUpIfCrasher(t, r.Trial && alone, now)
}

// giveUpIfCrasher ends the job of a task that crashes its workers for certain, or that
// was fed as many as it may be. Proof is set if the newest crash was that of a worker
// that crashed alone, with the task on trial.
func (c *Core) giveUpIfCrasher(t *task, proof bool, now Instant) {
	j := t.step.job
	n := j.progress.CrashCount(t.id())
	if n.Sure < crashLimit || n.All < mostCrashes && !(proof && n.Alone >= aloneLimit) {
		return
	}
	c.stats.CrashersGivenUp++
	c.setFinal(j, job.Failed, fmt.Sprintf("task %s: %d workers in a row crashed when it was started", t.id(), n.Sure), now)
}

// reasonLostWithOwner tells of a start that the previous owner may have given.
const reasonLostWithOwner = "it may have been started when the previous owner was lost"

// countUnsure counts a start of a suspect under which a worker may have crashed.
func (c *Core) countUnsure(t *task, run uint64, reason string) {
	j := t.step.job
	if !j.progress.CountCrash(t.id(), job.Crash{Run: run, Unsure: true}) {
		return
	}
	c.touch(j)
	c.setCrashes(t, j.progress.CrashCount(t.id()).All)
	c.tellTask("task_suspected", t, nil, 0, reason)
}

// cleared ends the suspicion of a task: a run has outlived its start, or told its end.
// An end that is told late may be of a run before the crashes, and says nothing of them.
func (c *Core) cleared(t *task, run uint64, reason string) {
	t = t.suspect()
	progress := &t.step.job.progress
	if t.crashes == 0 || run < progress.NewestCrash(t.id()) {
		return
	}
	progress.ClearCrashes(t.id())
	t.mayHaveCrashed = false
	c.touch(t.step.job)
	c.setCrashes(t, 0)
	c.tellTask("task_cleared", t, nil, run, reason)
}

// noteOutlived clears a suspect whose run still works youngAtCrash after its start.
func (c *Core) noteOutlived(a *attempt, now Instant) {
	if now.Steady-a.started < youngAtCrash {
		return
	}
	t := a.task.suspect()
	t.mayHaveCrashed = false
	if t.crashes > 0 {
		c.cleared(t, a.run, "its run has outlived its start")
	}
}

// suspectWaits returns why a suspect is not started yet, or nothing. The store must
// know of its crashes, so that the next owner does, and too many unsettled runs may
// have been crashes all.
func (c *Core) suspectWaits(t *task, now Instant) string {
	patient := now.Steady-t.readySince < starvedAfter
	t = t.suspect()
	switch {
	case t.crashes > 0 && t.step.job.persisted < t.crashVersion:
		return "the store to hold what is known of its crashes"
	case t.unsettled > 0 && t.suspicion() >= mostCrashes:
		return "the VMs of its last runs to answer"
	case t.suspicion() >= trialCrashes && patient && now.Steady < c.nextTrial:
		return "another task on trial to outlive its start"
	default:
		return ""
	}
}
