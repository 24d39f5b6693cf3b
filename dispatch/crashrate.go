package dispatch

import (
	"fmt"
	"slices"
	"time"
)

// Limits for comparing crashes of workers with each other. A crash is isolated if no other
// VM's worker crashed at about the same time; the crash rate is low if few others crashed
// before it.
const (
	// simultaneousWindow is the time between detections of crashes that may have one cause
	// outside the workers: a broken poll is detected at once, the next one up to 0.2 s later.
	simultaneousWindow = 300 * time.Millisecond
	// detectionDelay is the time after a crash by which all others at about the same time
	// have been detected.
	detectionDelay = time.Second
	// crashRateWindow is the time before a crash in which crashes of other workers count
	// towards the crash rate. If the rate is low, it is no coincidence that a task's run had
	// recently started at a worker that crashed.
	crashRateWindow = startCrashWindow
	// lowCrashShare is the share of the VMs that may crash within crashRateWindow for the
	// crash rate to be low.
	lowCrashShare = 0.05
	// lowCrashRateWait is how long a start after which one more crash ends the job (see
	// isLastStart) waits for a low crash rate.
	lowCrashRateWait = 10 * time.Second
)

// crashRecord is a counted crash of a VM's worker.
type crashRecord struct {
	at time.Duration
	// tasks names the tasks with a recently started run there.
	tasks []string
	// explained is set if one of these tasks was given up as the cause.
	explained bool
}

// crashComparison is a crash that is still to be compared with others near it in time.
type crashComparison struct {
	task  *task
	run   uint64
	trial bool
	vm    string
	// at is when the worker fell silent; due is when other crashes near it have been detected.
	at, due time.Duration
}

// scheduleComparison schedules the comparison of a crash with others for when these have
// been detected.
func (c *Core) scheduleComparison(t *task, vm string, l lostIncarnation, r LostRun) {
	x := crashComparison{task: t, run: r.Run, trial: r.Trial, vm: vm, at: l.loss.since, due: l.loss.since + detectionDelay}
	t.crashComparedAt = max(t.crashComparedAt, x.due)
	c.comparisons = append(c.comparisons, x)
}

// compareCrashes compares the crashes that are due with others near them, and gives up
// the tasks that are thereby proven to crash their workers.
func (c *Core) compareCrashes(now Instant) {
	var due []crashComparison
	c.comparisons = slices.DeleteFunc(c.comparisons, func(x crashComparison) bool {
		if x.due > now.Steady {
			return false
		}
		due = append(due, x)
		return true
	})
	near := nearbyCrashes{}
	for _, x := range due {
		if near.vm != x.vm || near.at != x.at { // comparisons of one worker are adjacent
			near = c.nearbyCrashes(x.vm, x.at)
		}
		c.compareCrash(x, near, now)
	}
}

// compareCrash records whether a crash was isolated, and gives its task up if that proves that
// the task crashes its workers.
func (c *Core) compareCrash(x crashComparison, near nearbyCrashes, now Instant) {
	t := x.task
	j := t.step.job
	if j.progress.State.Final() || t.phase == phaseDone {
		return
	}
	isolated, lowRate := near.isolated(t), c.lowCrashRate(t, near)
	d := taskDecision("crash_compared", t, nil, x.run, "")
	d.Detail = fmt.Sprintf("its worker crashed alone %v, few others crashed before %v", isolated, lowRate)
	c.trace(d)
	if !isolated || !j.progress.MarkCrashIsolated(t.id(), x.run) {
		return
	}
	c.markChanged(j)
	c.giveUpIfCrasher(t, x.trial && lowRate, now)
}

// nearbyCrashes holds the crashes shortly before or at a time on all VMs but one, without
// those explained by a task that was given up.
type nearbyCrashes struct {
	vm     string
	at     time.Duration
	others []crashRecord
}

// nearbyCrashes returns the crashes near a time, including those detected but not counted yet.
func (c *Core) nearbyCrashes(vm string, at time.Duration) nearbyCrashes {
	near := nearbyCrashes{vm: vm, at: at}
	within := func(t time.Duration) bool { return at-crashRateWindow <= t && t <= at+simultaneousWindow }
	for other, r := range c.crashed {
		if other != vm && !r.explained && within(r.at) {
			near.others = append(near.others, r)
		}
	}
	for _, w := range c.sortedWorkers {
		if w.info.VM == vm || !w.loss.broken || !within(w.loss.since) {
			continue
		}
		if r, counted := c.crashed[w.info.VM]; !counted || !within(r.at) {
			near.others = append(near.others, crashRecord{at: w.loss.since})
		}
	}
	return near
}

// count returns how many of the crashes came at the given time or later, without those where
// a run of the task had recently started.
func (n nearbyCrashes) count(t *task, from time.Duration) int {
	count, name := 0, t.id().String()
	for _, r := range n.others {
		if r.at >= from && !slices.Contains(r.tasks, name) {
			count++
		}
	}
	return count
}

// isolated reports whether no other VM's worker crashed within simultaneousWindow, except with
// a run of the task. Otherwise something else may crash workers, and the crash proves less
// about the task.
func (n nearbyCrashes) isolated(t *task) bool { return n.count(t, n.at-simultaneousWindow) == 0 }

// lowCrashRate reports whether the workers of at most lowCrashShare of the VMs crashed in the
// crashRateWindow before a time, apart from those where a run of the task had recently started.
// If more did, a run of the task may have been at a crashing worker by chance. If the window
// began before this owner's term, the rate is unknown and does not count as low.
func (c *Core) lowCrashRate(t *task, near nearbyCrashes) bool {
	known := near.at-crashRateWindow >= c.leaseHeldSince
	return known && float64(near.count(t, near.at-crashRateWindow)) <= lowCrashShare*float64(len(c.workersByVM))
}

// lowCrashRateNow is lowCrashRate for the present time.
func (c *Core) lowCrashRateNow(t *task, now Instant) bool {
	if c.crashesNearNow.at != now.Steady {
		c.crashesNearNow = c.nearbyCrashes("", now.Steady)
	}
	return c.lowCrashRate(t, c.crashesNearNow)
}

// markExplained marks the crashes that a task which was given up explains.
func (c *Core) markExplained(t *task) {
	name := t.id().String()
	for vm, r := range c.crashed {
		if slices.Contains(r.tasks, name) {
			r.explained = true
			c.crashed[vm] = r
		}
	}
}
