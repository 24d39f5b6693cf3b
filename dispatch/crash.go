package dispatch

import (
	"fmt"
	"time"
)

// Limits for distinguishing a worker's crash from other ends of its process.
const (
	// brokenConnWindow is the time from the first unanswered call within which a refused or
	// broken connection means that the worker's process ended then. A worker that is cut off
	// stays silent for longer.
	brokenConnWindow = time.Second
	// rackLossWindow is the time within which workers of one rack fall silent if the rack
	// is lost.
	rackLossWindow = time.Second
	// startCrashWindow is the time after a run's start in which that start may crash the
	// worker. A run that works longer at a worker that answers has not crashed it.
	startCrashWindow = 5 * time.Second
)

// contactLoss describes a worker's silence since its newest answer.
type contactLoss struct {
	// since is when the first unanswered call was given up, 0 if there is none.
	since time.Duration
	// broken is set if a connection was refused or broken within brokenConnWindow of since.
	broken bool
}

// recordAnswer records that the worker has answered a call.
func (w *worker) recordAnswer(now Instant) { w.lastContact, w.loss = now.Steady, contactLoss{} }

// recordNoAnswer records that a call to the worker was not answered.
func (w *worker) recordNoAnswer(outcome Outcome, now Instant) {
	if w.loss.since == 0 {
		w.loss.since = now.Steady
	}
	if outcome == OutcomeBroken && now.Steady-w.loss.since <= brokenConnWindow {
		w.loss.broken = true
	}
}

// incarnationEnd is how an incarnation, one run of a worker's process, ended. Only a crash
// may be caused by the tasks there.
type incarnationEnd uint8

const (
	endCrashed incarnationEnd = iota
	endDrained
	endMaintenance
	// endSilent: the worker was cut off before it ended, or lost power.
	endSilent
	// endRackLost: most of the VMs in the worker's rack fell silent with it.
	endRackLost
)

// String returns the name of the end, as logged.
func (e incarnationEnd) String() string {
	return [...]string{"crashed", "drained", "upkeep", "was silent before", "lost with its rack"}[e]
}

// classifyEnd returns how an incarnation ended that is known to have ended. One that ended
// between two answers, or so soon after the first unanswered call that this call may have
// been lost on the way, counts as crashed.
func (c *Core) classifyEnd(w *worker, now Instant) incarnationEnd {
	switch {
	case w.info.Draining || w.leavesAt > 0:
		return endDrained
	case w.endedByMaintenance || w.cordoned:
		return endMaintenance
	case w.loss.since > 0 && !w.loss.broken && now.Steady-w.loss.since > brokenConnWindow:
		return endSilent
	case c.rackLost(w):
		return endRackLost
	default:
		return endCrashed
	}
}

// rackLost reports whether most VMs of the worker's rack, and two at least, fell silent
// when the worker did.
func (c *Core) rackLost(w *worker) bool {
	if w.info.Rack == "" || w.loss.since == 0 {
		return false
	}
	all, lost := map[string]bool{w.info.VM: true}, map[string]bool{w.info.VM: true}
	for _, other := range c.workersByRack[w.info.Rack] {
		all[other.info.VM] = true
		if c.fellSilentWith(other, w.loss.since) {
			lost[other.info.VM] = true
		}
	}
	return len(lost) >= 2 && 2*len(lost) > len(all)
}

// fellSilentWith reports whether the worker of a VM fell silent at about the given time, or
// an earlier incarnation on that VM did. A worker without tasks is not polled; for it, a next
// incarnation that became known after that time is the only evidence.
func (c *Core) fellSilentWith(w *worker, at time.Duration) bool {
	near := func(t time.Duration) bool { return (t - at).Abs() <= rackLossWindow }
	before, known := c.fellSilent[w.info.VM]
	switch {
	case known && near(before), w.loss.since > 0 && near(w.loss.since):
		return true
	case known:
		return false
	default:
		return w.knownAt > at
	}
}

// recentRuns returns the runs that may have crashed the worker by their start: those started
// less than startCrashWindow before its last answer, or after it, whose start was sent before
// the worker was known to be silent.
func (w *worker) recentRuns() []*attempt {
	var list []*attempt
	for _, a := range w.attempts {
		sentInTime := w.loss.since == 0 || a.ackClock > 0 || a.placedAt <= w.loss.since
		if !a.unsent && sentInTime && w.lastContact-a.started < startCrashWindow {
			list = append(list, a)
		}
	}
	return list
}

// logIncarnationEnd logs how an incarnation with tasks ended, and which runs may have
// crashed it.
func (c *Core) logIncarnationEnd(w *worker, how incarnationEnd, recent []*attempt, now Instant) {
	c.trace(Decision{
		Event: "worker_ended", Worker: w.info.ID, Reason: how.String(), Age: now.Steady - w.lastContact,
		Detail: fmt.Sprintf("%d runs, %d of them started recently", len(w.attempts), len(recent)),
	})
	if how != endCrashed {
		return
	}
	c.stats.Crashes++
	for _, a := range recent {
		d := taskDecision("run_in_crash", a.task, w, a.run, "started shortly before its worker crashed")
		d.Age = max(w.lastContact-a.started, 0)
		c.trace(d)
	}
}
