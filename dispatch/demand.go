package dispatch

import (
	"math"
	"time"
)

// overloadedAfter is how long short tasks must have waited without interruption to count as
// overloaded: a burst that fits is placed within a pass or two.
const overloadedAfter = 150 * time.Millisecond

// demandWindow is the time over which demand is averaged, and in which a peak of it
// decays to a third: a dozen times the run time of a short task, and less than that of a
// long-running one. The peak determines the reserve, not the mean: a pool that
// long-running tasks fill is full within seconds of the first short job.
const demandWindow = 8 * time.Second

// maxSampleTime limits the time that one sample stands for: after a pause it does not
// represent what arrived meanwhile.
const maxSampleTime = 1 * time.Second

// shortDemand is the capacity that the short tasks of one service need.
type shortDemand struct {
	// demand is what short tasks on time hold and wait for, peak its recent maximum,
	// in thousandths of a core.
	demand average
	peak   float64
	// taskSize is the mean capacity of one such task.
	taskSize average
	// waiting is the capacity that ready short tasks on time wait for as of the latest
	// pass, waitingSince when that wait began.
	waiting      int64
	waitingSince time.Duration
	// starts is the capacity of short tasks that start per second, freed the capacity that
	// long-running tasks free per second as they end; placed and ended count since the last tick.
	starts, freed average
	placed, ended int64
	// priority is that of the least urgent queue with such tasks recently, seenAt
	// when such a task was last seen.
	priority int
	seenAt   time.Duration
	sampled  time.Duration
	largest  largest
}

// average is a time-weighted mean over demandWindow.
type average struct {
	mean float64
	age  time.Duration // the time that it covers so far
}

// add records a value that was valid for a time.
func (a *average) add(v float64, elapsed time.Duration) {
	a.age = min(a.age+elapsed, demandWindow)
	weight := min(1, float64(elapsed)/float64(max(a.age, 1)))
	a.mean += weight * (v - a.mean)
}

// short reports whether the step's tasks end by themselves and capacity is reserved for them.
func (s *stepRun) short() bool { return s.spec.IsShort() }

// recordDemand records the demand of the short steps of a pass, after it. Steps that wait for
// the placement policy lack no capacity.
func (c *Core) recordDemand(list []candidate, now Instant) {
	for _, k := range c.reservedCapacity {
		if k.waiting == 0 {
			k.waitingSince = now.Steady
		}
		k.waiting = 0
	}
	for _, x := range list {
		if !x.step.short() || x.rank.class != rankOnTime || x.step.awaitsDecision() {
			continue
		}
		if k := c.reservedCapacityOf(x.queue.Service); k.largest.fits(x.step) {
			k.waiting += int64(x.step.ready) * x.step.spec.CPUMilli
			k.recordPriority(x.queue.Priority, now)
		}
	}
}

// overloaded reports whether more short tasks on time have come than capacity for them.
func (d *shortDemand) overloaded(now Instant) bool {
	return d.waiting > 0 && now.Steady-d.waitingSince > overloadedAfter
}

// recordPriority records that short tasks of a priority were seen.
func (d *shortDemand) recordPriority(priority int, now Instant) {
	if now.Steady-d.seenAt > demandWindow {
		d.priority = priority
	}
	d.priority, d.seenAt = max(d.priority, priority), now.Steady
}

// update records the capacity that short tasks hold now, and what started and ended since
// the last tick.
func (d *shortDemand) update(running int64, tasks int, now Instant) {
	elapsed := min(now.Steady-d.sampled, maxSampleTime)
	d.sampled = now.Steady
	if elapsed <= 0 {
		return
	}
	d.starts.add(float64(d.placed)/elapsed.Seconds(), elapsed)
	d.freed.add(float64(d.ended)/elapsed.Seconds(), elapsed)
	d.placed, d.ended = 0, 0
	wanted := float64(running + d.waiting)
	d.demand.add(wanted, elapsed)
	d.peak = max(wanted, d.peak*math.Exp(-elapsed.Seconds()/demandWindow.Seconds()))
	if tasks > 0 {
		d.taskSize.add(float64(running)/float64(tasks), elapsed)
	}
}

// largest is the maximum of each resource over the workers of a pool, and all their
// labels. Tasks beyond it can never run, so no capacity is reserved for them: one such
// job would reserve three tenths of the pool and have long-running tasks moved.
type largest struct {
	known  bool
	size   resources
	labels map[string]bool
}

// add includes a worker.
func (l *largest) add(info *WorkerInfo) {
	if l.labels == nil {
		l.labels = map[string]bool{}
	}
	l.known = true
	l.size.cpu = max(l.size.cpu, info.CPUMilli)
	l.size.memory = max(l.size.memory, info.MemoryMiB)
	l.size.accelerators = max(l.size.accelerators, info.Accelerators)
	for _, label := range info.Labels {
		l.labels[label] = true
	}
}

// fits reports whether a task of the step may fit some worker; true if no worker is
// known yet.
func (l *largest) fits(s *stepRun) bool {
	if !l.known {
		return true
	}
	a := s.amount()
	return a.cpu <= l.size.cpu && a.memory <= l.size.memory && a.accelerators <= l.size.accelerators &&
		(s.spec.Requires == "" || l.labels[s.spec.Requires])
}

// shortUse returns the capacity that short tasks hold on a service's workers, and their
// number.
func (c *Core) shortUse(service string) (cpu int64, tasks int) {
	for _, w := range c.workersByService[service] {
		cpu += w.used.cpu - w.longRunning.cpu
		tasks += w.shortTasks
	}
	return cpu, tasks
}
