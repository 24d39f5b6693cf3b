package dispatch

import "time"

// silent reports whether a worker's newest poll was not answered, while the
// owner itself was on time and reached most others. Without that, an owner that
// is late, or whose link is choked, starts tasks again whose ends it has not come
// to read.
func (c *Core) silent(w *worker, now Instant) bool {
	return w.holdFails > 0 && w.failedSent > c.overload.doubtful && c.reachesOthers(w, now)
}

// reachedWithin is how old the newest answer of a worker may be that counts as
// reached; polls are at most 2.1 s apart.
const reachedWithin = 3 * time.Second

// contact tells whether the owner reaches a worker.
type contact uint8

const (
	// contactNone: it is not listed, or was not polled of late.
	contactNone contact = iota
	contactReached
	contactSilent
)

func (w *worker) contactAt(at time.Duration) contact {
	switch {
	case !w.listed:
		return contactNone
	case w.holdFails > 0:
		return contactSilent
	case w.lastAnswer > 0 && at-w.lastAnswer <= reachedWithin:
		return contactReached
	default:
		return contactNone
	}
}

// reach counts workers by the owner's contact with them at one moment, so that a tick
// with many silent workers does not count all others for each of them.
type reach struct {
	known  bool
	at     time.Duration
	counts [contactSilent + 1]int
}

// changed forgets the counts: the contact with a worker has changed.
func (r *reach) changed() { r.known = false }

// without takes a worker out of the counts.
func (r *reach) without(w *worker) { r.counts[w.contactAt(r.at)]-- }

func (c *Core) reachAt(now Instant) *reach {
	r := &c.reach
	if r.known && r.at == now.Steady {
		return r
	}
	*r = reach{known: true, at: now.Steady}
	for _, w := range c.order {
		r.counts[w.contactAt(r.at)]++
		c.work.reachLooks++
	}
	return r
}

// reachesOthers reports whether at least half of the other listed workers that
// the owner polls have answered of late. If more are silent, the fault is on the
// owner's side, or so large that their entries will lapse.
func (c *Core) reachesOthers(w *worker, now Instant) bool {
	others := *c.reachAt(now)
	others.without(w)
	return others.counts[contactReached] >= others.counts[contactSilent]
}
