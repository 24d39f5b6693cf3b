package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Timeouts of draining VMs for maintenance.
const (
	// absenceLimit is the time after which a VM without a listed worker counts as
	// vacant: a live worker is listed again within 2 s.
	absenceLimit = 6 * time.Second
	// minDrainTime and maxDrainTime bound how long tasks without checkpoints may continue at a VM
	// that waits for its maintenance; drainSlack of the wave's time is left unplanned.
	minDrainTime = 300 * time.Millisecond
	maxDrainTime = 4 * time.Second
	drainSlack   = 1 * time.Second
)

// drainNext cordons as many VMs as the next step of the wave can take down, and
// moves tasks off those that are cordoned. VMs with the fewest tasks go first.
func (c *Core) drainNext(s *waveState, now Instant) {
	var waiting []*vmMaintenance
	draining := 0
	for _, u := range s.vms {
		if u.started || u.notWanted || c.downElsewhere(s, u.vm) {
			continue
		}
		w := c.workerOfVM(u.vm)
		u.trackListed(w != nil, now)
		switch {
		case w == nil:
		case w.info.ID == u.incarnation && w.cordoned:
			draining++
			c.drainForMaintenance(w, now.Steady >= u.drainUntil, now)
		case u.intended:
			draining++
			c.cordon(s, u, w, now)
		default:
			waiting = append(waiting, u)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *vmMaintenance) int {
		return cmp.Compare(len(c.workerOfVM(a.vm).attempts), len(c.workerOfVM(b.vm).attempts))
	})
	for _, u := range waiting[:min(max(s.AtOnce-draining, 0), len(waiting))] {
		c.cordon(s, u, c.workerOfVM(u.vm), now)
	}
}

// trackListed records since when a VM has had no listed worker.
func (u *vmMaintenance) trackListed(listed bool, now Instant) {
	switch {
	case listed:
		u.absentSince = 0
	case u.absentSince == 0:
		u.absentSince = now.Steady
	}
}

// vacant reports whether nothing runs on a VM and nothing can start there: its
// worker is cordoned and empty, or has not been listed for absenceLimit.
func (c *Core) vacant(u *vmMaintenance, now Instant) bool {
	if u.absentSince > 0 {
		return now.Steady-u.absentSince > absenceLimit && !c.hasTasksOn(u.vm)
	}
	w := c.workers[u.incarnation]
	return w != nil && w.cordoned && w.empty()
}

func (c *Core) hasTasksOn(vm string) bool {
	return slices.ContainsFunc(c.workersByVM[vm], func(w *worker) bool { return len(w.attempts) > 0 })
}

// cordon keeps new tasks off a worker whose VM waits for its maintenance.
func (c *Core) cordon(s *waveState, u *vmMaintenance, w *worker, now Instant) {
	u.incarnation = w.info.ID
	u.drainUntil = now.Steady + c.drainTimeout(s, now)
	w.cordoned = true
	c.trace(Decision{Event: "vm_cordoned", Worker: w.info.ID, Reason: u.vm, Age: u.drainUntil - now.Steady})
}

// drainTimeout returns how long tasks without checkpoints may continue at a VM that is
// cordoned now: its share of the time that is left to the wave.
func (c *Core) drainTimeout(s *waveState, now Instant) time.Duration {
	remaining := 0
	for _, u := range s.vms {
		if !u.started && !u.notWanted {
			remaining++
		}
	}
	steps := max((remaining+s.AtOnce-1)/s.AtOnce, 1)
	left := s.Allowed - time.Duration(now.UnixMS-s.seenMS)*time.Millisecond
	return min(max(left/time.Duration(steps)-c.params.Maintenance-drainSlack, minDrainTime), maxDrainTime)
}

// drainForMaintenance moves tasks off a cordoned worker. Tasks with checkpoints move
// at once, others only after the drain timeout; long-running ones only while enough
// tasks of their step are available.
func (c *Core) drainForMaintenance(w *worker, timedOut bool, now Instant) {
	for _, a := range slices.Clone(w.attempts) {
		if a.stopping || a.phase() != phaseRunning {
			continue
		}
		s := a.task.step.spec
		switch {
		case s.LongRunning:
			if a.task.mayStop() && (timedOut || c.hasCapacityElsewhere(a.task, now)) {
				c.move(a, "its VM has upkeep", now)
			}
		case s.Checkpoints && now.Steady-a.started > moveAge, timedOut:
			c.move(a, "its VM has upkeep", now)
		}
	}
}

// mayStop reports whether a long-running task may be stopped: fewer than MaxUnavailable of
// the others of its step may be unavailable.
func (t *task) mayStop() bool { return t.mayStopWith(nil) }

// mayStopWith is mayStop for a task that would be stopped at the same time as some attempts.
func (t *task) mayStopWith(stopped []*attempt) bool {
	if t.step.spec.MaxUnavailable == 0 || !t.step.spec.LongRunning {
		return true
	}
	unavailable := t.othersUnavailable()
	for _, a := range stopped {
		if a.task.step == t.step && a.task.available() {
			unavailable++
		}
	}
	return unavailable < t.step.spec.MaxUnavailable
}

// othersUnavailable returns how many other tasks of a long-running step are unavailable.
func (t *task) othersUnavailable() int {
	unavailable := 0
	for _, other := range t.step.tasks {
		if other != t && !other.available() {
			unavailable++
		}
	}
	return unavailable
}

// available reports whether a long-running task was past its start in the newest list. One
// at a worker that has not answered since may have ended.
func (t *task) available() bool {
	a := t.attempt
	return a != nil && t.phase == phaseRunning && !a.stopping && a.pastStart && !a.worker.unreached()
}

// workerOfVM returns the listed worker of a VM, nil if there is none. The previous
// incarnation may still be listed beside the current one, which is returned.
func (c *Core) workerOfVM(vm string) *worker {
	var found *worker
	for _, w := range c.workersByVM[vm] {
		if !w.listed || w.endedByMaintenance {
			continue
		}
		if found == nil || found.cordoned && !w.cordoned || found.cordoned == w.cordoned && w.info.ID > found.info.ID {
			found = w
		}
	}
	return found
}
