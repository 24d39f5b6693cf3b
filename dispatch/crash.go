package dispatch

import (
	"fmt"
	"time"
)

// Figures of crashes of workers.
const (
	// brokenWithin the first call without an answer, a refused or broken connection
	// says that the worker's process ended then. A worker that is cut off is silent
	// for longer.
	brokenWithin = time.Second
	// rackLostWithin is how far apart workers of one rack fall silent that are lost
	// with it.
	rackLostWithin = time.Second
	// youngAtCrash: a run that has worked for so long at a worker that answers did
	// not crash it by its start.
	youngAtCrash = 5 * time.Second
)

// contactLoss is what is known of a worker's silence since its newest answer.
type contactLoss struct {
	// since is when the first call without an answer was given up, 0 while there
	// is none.
	since time.Duration
	// broken is set if a connection was refused or broken off by then.
	broken bool
}

func (w *worker) noteAnswered(now Instant) { w.heardAt, w.loss = now.Steady, contactLoss{} }

func (w *worker) noteUnanswered(outcome Outcome, now Instant) {
	if w.loss.since == 0 {
		w.loss.since = now.Steady
	}
	if outcome == OutcomeBroken && now.Steady-w.loss.since <= brokenWithin {
		w.loss.broken = true
	}
}

// lifeEnd is how a worker's life ended. Only a crash says anything of the tasks there.
type lifeEnd uint8

const (
	endCrashed lifeEnd = iota
	endDrained
	endUpkeep
	// endSilent: it was cut off before its life ended, or lost power.
	endSilent
	endRackLost
)

// String returns the name, as logged.
func (e lifeEnd) String() string {
	return [...]string{"crashed", "drained", "upkeep", "was silent before", "lost with its rack"}[e]
}

// howEnded tells how a life ended of which it is known that it did. One that ended
// between two answers, or so soon after the first call without one that this may have
// been lost on its way, crashed too.
func (c *Core) howEnded(w *worker, now Instant) lifeEnd {
	switch {
	case w.info.Draining || w.leavesAt > 0:
		return endDrained
	case w.takenDown || w.cordoned:
		return endUpkeep
	case w.loss.since > 0 && !w.loss.broken && now.Steady-w.loss.since > brokenWithin:
		return endSilent
	case c.rackLost(w):
		return endRackLost
	default:
		return endCrashed
	}
}

// rackLost reports whether most VMs of the worker's rack, and two at least, fell
// silent when it did.
func (c *Core) rackLost(w *worker) bool {
	if w.info.Rack == "" || w.loss.since == 0 {
		return false
	}
	all, lost := map[string]bool{w.info.VM: true}, map[string]bool{w.info.VM: true}
	for _, other := range c.racks[w.info.Rack] {
		all[other.info.VM] = true
		if c.silentWith(other, w.loss.since) {
			lost[other.info.VM] = true
		}
	}
	return len(lost) >= 2 && 2*len(lost) > len(all)
}

// silentWith reports whether the worker of a VM fell silent at a moment, or one before
// it did. Of one without tasks, which was not polled, only its next life tells.
func (c *Core) silentWith(w *worker, at time.Duration) bool {
	near := func(t time.Duration) bool { return (t - at).Abs() <= rackLostWithin }
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

// youngRuns returns the runs at a worker of which one may have crashed it by its
// start: those that had not worked there for long when it last answered, and whose
// start was sent before it was known to be silent.
func (w *worker) youngRuns() []*attempt {
	var list []*attempt
	for _, a := range w.attempts {
		sentInTime := w.loss.since == 0 || a.ackClock > 0 || a.placedAt <= w.loss.since
		if !a.unsent && sentInTime && w.heardAt-a.started < youngAtCrash {
			list = append(list, a)
		}
	}
	return list
}

// tellEnded logs how a life ended that had tasks, and which may have crashed it.
func (c *Core) tellEnded(w *worker, how lifeEnd, young []*attempt, now Instant) {
	c.trace(Decision{
		Event: "worker_ended", Worker: w.info.ID, Reason: how.String(), Age: now.Steady - w.heardAt,
		Detail: fmt.Sprintf("%d runs, %d of them young", len(w.attempts), len(young)),
	})
	if how != endCrashed {
		return
	}
	c.stats.Crashes++
	for _, a := range young {
		d := taskDecision("run_in_crash", a.task, w, a.run, "started shortly before its worker crashed")
		d.Age = max(w.heardAt-a.started, 0)
		c.trace(d)
	}
}
