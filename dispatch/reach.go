package dispatch

import "time"

// silent reports whether a worker's newest poll was not answered, while the owner
// itself was on time and reached at least half of the others. Without these conditions, an
// owner that is late, or whose link is congested, would restart tasks whose ends it has not
// read yet.
func (c *Core) silent(w *worker, now Instant) bool {
	return w.failedPolls > 0 && w.failedPollSent > c.overload.inconclusiveAt && c.reachesOthers(w, now)
}

// reachedWithin is the age of a worker's newest answer up to which the worker counts
// as reached; polls are at most 2.1 s apart.
const reachedWithin = 3 * time.Second

// contact is whether the owner reaches a worker.
type contact uint8

const (
	// contactNone: it is not listed, or was not polled recently.
	contactNone contact = iota
	contactReached
	contactSilent
)

func (w *worker) contactAt(at time.Duration) contact {
	switch {
	case !w.listed:
		return contactNone
	case w.failedPolls > 0:
		return contactSilent
	case w.lastPollAnswer > 0 && at-w.lastPollAnswer <= reachedWithin:
		return contactReached
	default:
		return contactNone
	}
}

// idleReachAge is the age from which the answer of a worker without tasks is renewed while the owner
// can't tell whether it reaches at least half of the workers: it is less than reachedWithin.
const idleReachAge = 2 * time.Second

// updateReach records whether most of the workers that were polled recently are silent. Then those
// without tasks are polled, too: a rack with most of the tasks may be lost beside idle workers.
func (c *Core) updateReach(now Instant) {
	r := &c.reach
	c.reachUndecided = r.known && r.at == now.Steady && r.counts[contactSilent] > r.counts[contactReached]
}

// reach counts workers by the owner's contact with them at one time, so that a tick
// with many silent workers does not count all others for each of them.
type reach struct {
	known  bool
	at     time.Duration
	counts [contactSilent + 1]int
}

// invalidate drops the counts, after the contact with a worker has changed.
func (r *reach) invalidate() { r.known = false }

// remove takes a worker out of the counts.
func (r *reach) remove(w *worker) { r.counts[w.contactAt(r.at)]-- }

// reachAt returns the counts for the present time.
func (c *Core) reachAt(now Instant) *reach {
	r := &c.reach
	if r.known && r.at == now.Steady {
		return r
	}
	*r = reach{known: true, at: now.Steady}
	for _, w := range c.sortedWorkers {
		r.counts[w.contactAt(r.at)]++
		c.checkCounts.reachChecks++
	}
	return r
}

// reachesOthers reports whether at least half of the other listed workers that
// the owner polls have answered recently. If more are silent, the fault is on the
// owner's side, or so large that the list entries of those workers will expire.
func (c *Core) reachesOthers(w *worker, now Instant) bool {
	others := *c.reachAt(now)
	others.remove(w)
	return others.counts[contactReached] >= others.counts[contactSilent]
}
