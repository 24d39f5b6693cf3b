package dispatch

import (
	"math"
	"time"
)

// demandMemory is the time over which demand is averaged, and in which a peak of
// it fades to a third: a dozen lives of a short task, and less than a lasting
// one's. The peak is kept, not the mean: a pool that lasting tasks fill is full
// within seconds of the first short job.
const demandMemory = 8 * time.Second

// longestSample bounds the time that one sample speaks for: after a pause it says
// nothing of what came meanwhile.
const longestSample = 1 * time.Second

// shortDemand is what the short tasks of one service need.
type shortDemand struct {
	// demand is what short tasks on time hold and wait for, peak the most of it of
	// late, thousandths of a core.
	demand average
	peak   float64
	// piece is the mean of what one such task takes.
	piece average
	// waiting is what ready short tasks on time wait for as of the newest pass,
	// waitingSince when that began.
	waiting      int64
	waitingSince time.Duration
	// starts is what short tasks take that start in a second, left what lasting
	// tasks give back that end; placed and ended are those since the last tick.
	starts, left  average
	placed, ended int64
	// priority is that of the least urgent queue with such tasks of late, seenAt
	// when one was seen.
	priority int
	seenAt   time.Duration
	sampled  time.Duration
	largest  largest
}

// average is a mean over demandMemory, weighted by time.
type average struct {
	mean float64
	age  time.Duration // what it covers so far
}

// add takes in a value that held for a time.
func (a *average) add(v float64, held time.Duration) {
	a.age = min(a.age+held, demandMemory)
	weight := min(1, float64(held)/float64(max(a.age, 1)))
	a.mean += weight * (v - a.mean)
}

// short reports whether the step's tasks end by themselves and need room of
// their own.
func (s *stepRun) short() bool { return s.spec.ShortStep() }

// noteDemand takes in the steps of a pass, after it.
func (c *Core) noteDemand(list []candidate, now Instant) {
	for _, k := range c.kept {
		if k.waiting == 0 {
			k.waitingSince = now.Steady
		}
		k.waiting = 0
	}
	for _, x := range list {
		if !x.step.short() || x.rank.class != rankOnTime {
			continue
		}
		if k := c.keptOf(x.queue.Service); k.largest.takes(x.step) {
			k.waiting += int64(x.step.ready) * x.step.spec.CPUMilli
			k.note(x.queue.Priority, now)
		}
	}
}

// note takes in that short tasks of a priority were seen.
func (d *shortDemand) note(priority int, now Instant) {
	if now.Steady-d.seenAt > demandMemory {
		d.priority = priority
	}
	d.priority, d.seenAt = max(d.priority, priority), now.Steady
}

// follow takes in what short tasks hold now, and what started and ended since the
// last tick.
func (d *shortDemand) follow(running int64, tasks int, now Instant) {
	held := min(now.Steady-d.sampled, longestSample)
	d.sampled = now.Steady
	if held <= 0 {
		return
	}
	d.starts.add(float64(d.placed)/held.Seconds(), held)
	d.left.add(float64(d.ended)/held.Seconds(), held)
	d.placed, d.ended = 0, 0
	wanted := float64(running + d.waiting)
	d.demand.add(wanted, held)
	d.peak = max(wanted, d.peak*math.Exp(-held.Seconds()/demandMemory.Seconds()))
	if tasks > 0 {
		d.piece.add(float64(running)/float64(tasks), held)
	}
}

// largest is the most that any worker of a pool has of each resource, and all
// labels there. Tasks beyond it can never run, so no room is kept for them: one
// job of them would have three tenths of the pool kept, and lasting tasks moved.
type largest struct {
	known  bool
	size   resources
	labels map[string]bool
}

// add takes in a worker.
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

// takes reports whether a task of the step may fit some worker; if none is known
// yet, it may.
func (l *largest) takes(s *stepRun) bool {
	if !l.known {
		return true
	}
	a := s.amount()
	return a.cpu <= l.size.cpu && a.memory <= l.size.memory && a.accelerators <= l.size.accelerators &&
		(s.spec.Requires == "" || l.labels[s.spec.Requires])
}

// shortUse returns what short tasks hold of a service's workers, and how many
// they are.
func (c *Core) shortUse(service string) (cpu int64, tasks int) {
	for _, w := range c.members[service] {
		cpu += w.used.cpu - w.lasting.cpu
		tasks += w.shortTasks
	}
	return cpu, tasks
}
