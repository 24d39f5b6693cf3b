package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Figures of clearing kept workers.
const (
	// clearAfter short tasks have waited on end, kept workers are cleared for them.
	clearAfter = 150 * time.Millisecond
	// clearAtOnce is the most lasting tasks that are stopped in one go; the next
	// go is clearPause later, when the room of these is free.
	clearAtOnce = 16
	clearPause  = 500 * time.Millisecond
	// clearAge is for how long a lasting task has run at the least before it is
	// moved to make room: it takes a second to be at work again elsewhere.
	clearAge = 5 * time.Second
)

// clearKept moves lasting tasks off kept workers while short tasks wait that some
// worker can take. It keeps to what each step may miss, and clears worker by
// worker, so that whole pieces become free. The moved tasks take the places that
// others leave elsewhere.
func (c *Core) clearKept(service string, k *keptRoom, now Instant) {
	if k.waiting == 0 || now.Steady-k.waitingSince < clearAfter || now.Steady-k.clearedAt < clearPause || !c.certain(now) {
		return
	}
	var kept []*worker
	for _, w := range c.members[service] {
		if w.kept && w.lasting.cpu > 0 {
			kept = append(kept, w)
		}
	}
	slices.SortStableFunc(kept, func(a, b *worker) int { return cmp.Compare(a.lasting.cpu, b.lasting.cpu) })
	left := clearAtOnce
	for _, w := range kept {
		for _, a := range slices.Clone(w.attempts) {
			if left > 0 && c.mayClear(a, k, now) {
				left--
				k.clearedAt = now.Steady
				c.move(a, "short tasks need its room", now)
			}
		}
	}
}

// mayClear reports whether a lasting task may be moved for short ones: its queue
// is no more urgent, and its step can miss one more.
func (c *Core) mayClear(a *attempt, k *keptRoom, now Instant) bool {
	s := a.task.step
	return s.spec.Lasting && !s.spec.Gang && !a.stopping && a.task.phase == phaseRunning && a.atWork &&
		now.Steady-a.started >= clearAge && c.queues[s.job.spec.Queue].Priority >= k.priority &&
		a.task.othersAway() < max(s.spec.MaxAway, 1)
}
