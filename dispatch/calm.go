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
	near := crashesNear{}
	for _, x := range due {
		if near.vm != x.vm || near.at != x.at { // those of one worker come together
			near = c.crashesNear(x.vm, x.at)
		}
		c.compareCrash(x, near, now)
	}
}

func (c *Core) compareCrash(x crashComparison, near crashesNear, now Instant) {
	t := x.task
	j := t.step.job
	if j.progress.State.Final() || t.phase == phaseDone {
		return
	}
	alone, calm := near.alone(t), c.calm(t, near)
	d := taskDecision("crash_compared", t, nil, x.run, "")
	d.Detail = fmt.Sprintf("its worker crashed alone %v, few others crashed before %v", alone, calm)
	c.trace(d)
	if !alone || !j.progress.CrashAlone(t.id(), x.run) {
		return
	}
	c.touch(j)
	c.giveUpIfCrasher(t, x.trial && calm, now)
}

// crashesNear holds the crashes of VMs but one in the time before a moment, without those
// that a task which was given up explains.
type crashesNear struct {
	vm     string
	at     time.Duration
	others []crashRecord
}

func (c *Core) crashesNear(vm string, at time.Duration) crashesNear {
	near := crashesNear{vm: vm, at: at}
	within := func(t time.Duration) bool { return at-calmTime <= t && t <= at+sameMoment }
	for other, r := range c.crashed {
		if other != vm && !r.explained && within(r.at) {
			near.others = append(near.others, r)
		}
	}
	for _, w := range c.order {
		if w.info.VM == vm || !w.loss.broken || !within(w.loss.since) {
			continue
		}
		if r, counted := c.crashed[w.info.VM]; !counted || !within(r.at) {
			near.others = append(near.others, crashRecord{at: w.loss.since})
		}
	}
	return near
}

// count returns how many of the crashes came after a moment, without those where a run of
// the task had just begun.
func (n crashesNear) count(t *task, from time.Duration) int {
	count, name := 0, t.id().String()
	for _, r := range n.others {
		if r.at >= from && !slices.Contains(r.tasks, name) {
			count++
		}
	}
	return count
}

// alone reports whether no other VM's worker crashed at the same moment: else something
// else may crash workers, and a crash proves less of a task.
func (n crashesNear) alone(t *task) bool { return n.count(t, n.at-sameMoment) == 0 }

// calm reports whether few other VMs' workers crashed in the time before a moment. A run
// that had just begun may have met one of many by chance. What crashed before this owner's
// term is not known.
func (c *Core) calm(t *task, near crashesNear) bool {
	known := near.at-calmTime >= c.firstRenewed
	return known && float64(near.count(t, near.at-calmTime)) <= calmShare*float64(len(c.lives))
}

// calmNow is calm for the present moment.
func (c *Core) calmNow(t *task, now Instant) bool {
	if c.nearNow.at != now.Steady {
		c.nearNow = c.crashesNear("", now.Steady)
	}
	return c.calm(t, c.nearNow)
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
