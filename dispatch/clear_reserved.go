package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Limits of clearing reserved workers.
const (
	// clearAfter is how long short tasks must have waited without interruption before
	// reserved workers are cleared for them.
	clearAfter = 150 * time.Millisecond
	// clearAtOnce is the maximum number of long-running tasks that are stopped in one
	// round; the next round is clearPause later, when their capacity is free.
	clearAtOnce = 16
	clearPause  = 500 * time.Millisecond
	// clearAge is the minimum time for which a long-running task has run before it is
	// moved to free capacity: it takes a second to be at work again elsewhere.
	clearAge = 5 * time.Second
)

// clearReserved moves long-running tasks off reserved workers while short tasks wait that
// some worker can take. It respects how many tasks of each step may be unavailable, and
// clears worker by worker, so that the capacity of whole short tasks becomes free. The
// moved tasks take places that others leave elsewhere.
func (c *Core) clearReserved(service string, k *reservedCapacity, now Instant) {
	if k.waiting == 0 || now.Steady-k.waitingSince < clearAfter || now.Steady-k.clearedAt < clearPause || !c.holdsLease(now) {
		return
	}
	var reserved []*worker
	for _, w := range c.workersByService[service] {
		if w.isReserved && w.longRunning.cpu > 0 {
			reserved = append(reserved, w)
		}
	}
	slices.SortStableFunc(reserved, func(a, b *worker) int { return cmp.Compare(a.longRunning.cpu, b.longRunning.cpu) })
	left := clearAtOnce
	for _, w := range reserved {
		for _, a := range slices.Clone(w.attempts) {
			if left > 0 && c.mayClear(a, k, now) {
				left--
				k.clearedAt = now.Steady
				c.move(a, "short tasks need its room", now)
			}
		}
	}
}

// mayClear reports whether a long-running task may be moved for short ones: its queue
// is no more urgent, and its step can have one more task unavailable.
func (c *Core) mayClear(a *attempt, k *reservedCapacity, now Instant) bool {
	s := a.task.step
	return s.spec.LongRunning && !s.spec.Gang && !a.stopping && a.task.phase == phaseRunning && a.pastStart &&
		now.Steady-a.started >= clearAge && c.settingsOf(s.job.spec).Priority >= k.priority &&
		a.task.othersUnavailable() < max(s.spec.MaxUnavailable, 1)
}
