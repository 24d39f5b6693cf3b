package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Timeouts of draining VMs for maintenance.
const (
	// absentLong after its last worker was listed, a VM without a worker counts as
	// vacant: workers that live are listed again within 2 s.
	absentLong = 6 * time.Second
	// drainLeast and drainMost bound how long tasks without checkpoints may go on at a VM
	// that waits for its maintenance; drainSlack is reserved from the wave's time.
	drainLeast = 300 * time.Millisecond
	drainMost  = 4 * time.Second
	drainSlack = 1 * time.Second
)

// drainNext cordons as many VMs as the next step of the wave can take down, and
// moves tasks off those that are cordoned. VMs with the fewest tasks go first.
func (c *Core) drainNext(s *waveState, now Instant) {
	var waiting []*vmUpkeep
	draining := 0
	for _, u := range s.vms {
		if u.begun || u.void || c.downElsewhere(s, u.vm) {
			continue
		}
		w := c.workerOfVM(u.vm)
		u.noteListed(w != nil, now)
		switch {
		case w == nil:
		case w.info.ID == u.life && w.cordoned:
			draining++
			c.drainForUpkeep(w, now.Steady >= u.drainUntil, now)
		case u.intended:
			draining++
			c.cordon(s, u, w, now)
		default:
			waiting = append(waiting, u)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *vmUpkeep) int {
		return cmp.Compare(len(c.workerOfVM(a.vm).attempts), len(c.workerOfVM(b.vm).attempts))
	})
	for _, u := range waiting[:min(max(s.AtOnce-draining, 0), len(waiting))] {
		c.cordon(s, u, c.workerOfVM(u.vm), now)
	}
}

// trackListed records since when a VM has had no listed worker.
func (u *vmUpkeep) noteListed(listed bool, now Instant) {
	switch {
	case listed:
		u.absentSince = 0
	case u.absentSince == 0:
		u.absentSince = now.Steady
	}
}

// vacant reports whether nothing runs on a VM and nothing can start there: its
// worker is cordoned and empty, or has not been listed for absentLong.
func (c *Core) vacant(u *vmUpkeep, now Instant) bool {
	if u.absentSince > 0 {
		return now.Steady-u.absentSince > absentLong && !c.hasTasksOn(u.vm)
	}
	w := c.workers[u.life]
	return w != nil && w.cordoned && w.empty()
}

func (c *Core) hasTasksOn(vm string) bool {
	return slices.ContainsFunc(c.incarnations[vm], func(w *worker) bool { return len(w.attempts) > 0 })
}

// cordon keeps new tasks off a worker whose VM waits for its maintenance.
func (c *Core) cordon(s *waveState, u *vmUpkeep, w *worker, now Instant) {
	u.life = w.info.ID
	u.drainUntil = now.Steady + c.patience(s, now)
	w.cordoned = true
	c.trace(Decision{Event: "vm_cordoned", Worker: w.info.ID, Reason: u.vm, Age: u.drainUntil - now.Steady})
}

// drainTimeout returns how long tasks without checkpoints may go on at a VM that is
// cordoned now: its share of the time that is left to the wave.
func (c *Core) patience(s *waveState, now Instant) time.Duration {
	open := 0
	for _, u := range s.vms {
		if !u.begun && !u.void {
			open++
		}
	}
	steps := max((open+s.AtOnce-1)/s.AtOnce, 1)
	left := s.Allowed - time.Duration(now.UnixMS-s.seenMS)*time.Millisecond
	return min(max(left/time.Duration(steps)-c.params.Maintenance-drainSlack, drainLeast), drainMost)
}

// drainForMaintenance moves tasks off a cordoned worker. Tasks with checkpoints move
// at once, others only after the drain timeout; long-running ones only while enough
// tasks of their step are available.
func (c *Core) drainForUpkeep(w *worker, timedOut bool, now Instant) {
	for _, a := range slices.Clone(w.attempts) {
		if a.stopping || a.task.phase != phaseRunning {
			continue
		}
		s := a.task.step.spec
		switch {
		case s.Lasting:
			if a.task.mayLeave() && (timedOut || c.hasRoomElsewhere(a.task, now)) {
				c.move(a, "its VM has upkeep", now)
			}
		case s.Checkpoints && now.Steady-a.started > moveAge, timedOut:
			c.move(a, "its VM has upkeep", now)
		}
	}
}

// mayStop reports whether a long-running task may be stopped: fewer than MaxAway of
// the others of its step may be unavailable.
func (t *task) mayLeave() bool {
	return t.step.spec.MaxAway == 0 || t.othersAway() < t.step.spec.MaxAway
}

// othersUnavailable returns how many other tasks of a long-running step are unavailable.
func (t *task) othersAway() int {
	unavailable := 0
	for _, other := range t.step.tasks {
		if other != t && !other.atWork() {
			unavailable++
		}
	}
	return unavailable
}

// available reports whether a long-running task was past its start in the newest list. One
// at a worker that has not answered since may have ended.
func (t *task) atWork() bool {
	a := t.attempt
	return a != nil && t.phase == phaseRunning && !a.stopping && a.atWork && !a.worker.unreached()
}

// workerOfVM returns the listed worker of a VM, nil if there is none. The previous
// incarnation may still be listed beside the current one, which is returned.
func (c *Core) workerOfVM(vm string) *worker {
	var found *worker
	for _, w := range c.incarnations[vm] {
		if !w.listed || w.endedByMaintenance {
			continue
		}
		if found == nil || found.cordoned && !w.cordoned || found.cordoned == w.cordoned && w.info.ID > found.info.ID {
			found = w
		}
	}
	return found
}
