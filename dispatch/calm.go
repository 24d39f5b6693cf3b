package dispatch

import (
	"fmt"
	"slices"
	"time"
)

// Figures of crashes that are told apart from others.
const (
	// sameMoment is how far apart crashes are noticed that may have one cause outside
	// of the workers: a broken poll is noticed at once, the next one up to 0.2 s later.
	sameMoment = 300 * time.Millisecond
	// othersNoticed after a crash, others of the same moment have been noticed.
	othersNoticed = time.Second
	// calmTime without crashes of other workers, a crash is not by chance at a run that
	// had just begun.
	calmTime = youngAtCrash
	// calmShare is the part of the VMs that may crash in calmTime while that holds.
	calmShare = 0.05
	// calmPatience is how long the last start of a task waits for other workers to stop
	// crashing.
	calmPatience = 10 * time.Second
)

// crashRecord is a crash that was counted.
type crashRecord struct {
	at time.Duration
	// tasks are those of which a run had just begun there.
	tasks []string
	// explained is set if one of these was given up.
	explained bool
}

// crashComparison is a crash of which it is not known yet whether others came with it.
type crashComparison struct {
	task  *task
	run   uint64
	trial bool
	vm    string
	// at is when its worker fell silent, due when others have been noticed.
	at, due time.Duration
}

// compareLater has a crash compared with others once these have been noticed.
func (c *Core) compareLater(t *task, vm string, l lostLife, r LostRun) {
	x := crashComparison{task: t, run: r.Run, trial: r.Trial, vm: vm, at: l.loss.since, due: l.loss.since + othersNoticed}
	t.comparedAt = max(t.comparedAt, x.due)
	c.comparisons = append(c.comparisons, x)
}

// compareCrashes tells crashes apart from others of which all has been noticed, and gives up
// the tasks of which that proves that they crash their workers.
func (c *Core) compareCrashes(now Instant) {
	var due []crashComparison
	c.comparisons = slices.DeleteFunc(c.comparisons, func(x crashComparison) bool {
		if x.due > now.Steady {
			return false
		}
		due = append(due, x)
		return true
	})
	for _, x := range due {
		c.compareCrash(x, now)
	}
}

func (c *Core) compareCrash(x crashComparison, now Instant) {
	t := x.task
	j := t.step.job
	if j.progress.State.Final() || t.phase == phaseDone {
		return
	}
	alone, calm := !c.othersCrashed(t, x.vm, x.at), c.calm(t, x.vm, x.at)
	d := taskDecision("crash_compared", t, nil, x.run, "")
	d.Detail = fmt.Sprintf("its worker crashed alone %v, few others crashed before %v", alone, calm)
	c.trace(d)
	if !alone || !j.progress.CrashAlone(t.id(), x.run) {
		return
	}
	c.touch(j)
	c.giveUpIfCrasher(t, x.trial && calm, now)
}

// othersCrashed reports whether another VM's worker crashed at the same moment: then
// something else may crash workers, and a crash proves less of a task.
func (c *Core) othersCrashed(t *task, vm string, at time.Duration) bool {
	return c.crashesOfOthers(t, vm, at-sameMoment, at+sameMoment) > 0
}

// calm reports whether few other VMs' workers crashed in the time before a moment. A run
// that had just begun may have met one of many by chance. What crashed before this owner's
// term is not known.
func (c *Core) calm(t *task, vm string, at time.Duration) bool {
	known := at-calmTime >= c.firstRenewed
	return known && float64(c.crashesOfOthers(t, vm, at-calmTime, at+sameMoment)) <= calmShare*float64(len(c.lives))
}

// crashesOfOthers returns how many other VMs' workers crashed in a period, without those
// where a run of the task had just begun, or one of a task that was given up.
func (c *Core) crashesOfOthers(t *task, vm string, from, to time.Duration) int {
	n, name := 0, t.id().String()
	within := func(t time.Duration) bool { return from <= t && t <= to }
	for other, r := range c.crashed {
		if other != vm && !r.explained && within(r.at) && !slices.Contains(r.tasks, name) {
			n++
		}
	}
	for _, w := range c.order {
		r, counted := c.crashed[w.info.VM]
		if w.info.VM != vm && w.loss.broken && within(w.loss.since) && !(counted && within(r.at)) {
			n++
		}
	}
	return n
}

// explainCrashes notes that a task which was given up has caused crashes.
func (c *Core) explainCrashes(t *task) {
	name := t.id().String()
	for vm, r := range c.crashed {
		if slices.Contains(r.tasks, name) {
			r.explained = true
			c.crashed[vm] = r
		}
	}
}
