package dispatch

import (
	"maps"
	"slices"
	"time"
)

// EndedTerm is what an owner knows, once its term has ended, of the leases at the workers that it had
// a record of. It extends none any more, so that its successor need not wait for what an owner may
// still extend that is cut off.
type EndedTerm struct {
	Term    uint64        `json:"term"`
	Workers []EndedLeases `json:"workers"`
	// Partial is set if other workers, which the owner had no record of, may have orders. Otherwise
	// no lease lasts at a worker that is missing here, unless another incarnation under its id is not:
	// the owner has dropped its entry in the roster, and may not have stored that.
	Partial bool `json:"partial,omitempty"`
}

// EndedLeases bounds the leases at a worker; see leaseBound.
type EndedLeases struct {
	// ID names the incarnation with Born, its start time, as RosterEntry does.
	ID   WorkerID `json:"id"`
	Born int64    `json:"born,omitempty"`
	// LeftMS is the time until no lease lasts there, ListedLeftMS that until none lasts but those of
	// the tasks in Unlisted.
	LeftMS       int64    `json:"left_ms,omitempty"`
	ListedLeftMS int64    `json:"listed_left_ms,omitempty"`
	Unlisted     []string `json:"unlisted,omitempty"`
	// Silent is set if the worker did not answer; then only Tasks may run there.
	Silent bool     `json:"silent,omitempty"`
	Tasks  []string `json:"tasks,omitempty"`
}

// EndedTerm returns what the owner knows of leases. It must not send anything afterwards.
func (c *Core) EndedTerm(now Instant) EndedTerm {
	e := EndedTerm{Term: c.term, Workers: make([]EndedLeases, 0, len(c.sortedWorkers)), Partial: c.Awaits(unknownWorker)}
	for _, w := range c.sortedWorkers {
		e.Workers = append(e.Workers, c.endedLeases(w, now))
	}
	return e
}

func (c *Core) endedLeases(w *worker, now Instant) EndedLeases {
	b := c.leaseBoundOf(w)
	left := func(until time.Duration) int64 { return max(until-now.Steady+time.Millisecond-1, 0).Milliseconds() }
	l := EndedLeases{LeftMS: left(b.all), ListedLeftMS: left(b.listed), Unlisted: slices.Sorted(maps.Keys(b.unlisted))}
	name, born := w.info.ID.split()
	l.ID, l.Born = WorkerID(name), born
	u, waits := c.unresolved[w.info.ID]
	if l.Silent = w.unreached() && !u.open; !l.Silent {
		return l
	}
	tasks := w.tasksAt().names()
	if waits {
		tasks = append(tasks, slices.Collect(maps.Keys(u.tasks))...)
	}
	slices.Sort(tasks)
	l.Tasks = slices.Compact(tasks)
	return l
}

// After returns the same, some time later.
func (e EndedTerm) After(d time.Duration) EndedTerm {
	e.Workers = slices.Clone(e.Workers)
	for i := range e.Workers {
		l := &e.Workers[i]
		l.LeftMS, l.ListedLeftMS = max(l.LeftMS-d.Milliseconds(), 0), max(l.ListedLeftMS-d.Milliseconds(), 0)
	}
	return e
}

// PredecessorEnded applies what the previous owner knew as its term ended.
func (c *Core) PredecessorEnded(e EndedTerm, now Instant) {
	known, byName := map[WorkerID]EndedLeases{}, map[string]int64{}
	for _, l := range e.Workers {
		known[IncarnationID(string(l.ID), l.Born)] = l
		byName[string(l.ID)] = max(byName[string(l.ID)], l.LeftMS)
	}
	for id, u := range c.unresolved {
		l, ok := known[id]
		left, otherKnown := byName[id.Name()]
		switch {
		case ok:
		case id == unknownWorker || e.Partial || c.addedInTerm(id):
			continue
		case otherKnown: // it may run what was sent to this one
			l = EndedLeases{LeftMS: left, ListedLeftMS: left}
		default:
			l = EndedLeases{Silent: true}
		}
		c.unresolved[id] = c.boundedBy(id, u, l, now)
	}
	c.unknownPending = true
	c.expireUnresolved(now)
}

// addedInTerm reports whether an unresolved worker follows one of the previous owner's workers under its
// id, and was found by this owner.
func (c *Core) addedInTerm(id WorkerID) bool {
	w := c.workers[id]
	return w != nil && w.hasPredecessor
}

// boundedBy returns an unresolved worker as its owner knew it.
func (c *Core) boundedBy(id WorkerID, u unresolvedWorker, l EndedLeases, now Instant) unresolvedWorker {
	until := func(ms int64) time.Duration { return now.Steady + time.Duration(ms)*time.Millisecond + clockMargin }
	u.until, u.listedUntil, u.listedExpired, u.unlisted = until(l.LeftMS), until(l.ListedLeftMS), false, setOf(l.Unlisted)
	u.reason = "its owner has ended"
	if !l.Silent || !u.open {
		return u
	}
	u.open, u.tasks = false, setOf(l.Tasks)
	c.openUnresolved--
	if e, ok := c.roster.entries[id]; ok {
		e.Closed = true
		c.workers[id].recorded = false // until an open entry is stored
		c.roster.put(e)
	}
	return u
}

// PredecessorRestarted applies that the previous owner's process has ended, which had resolved all
// workers of the owners before it. Only the leases that it gave last are awaited; it may have given
// one right before this call.
func (c *Core) PredecessorRestarted(now Instant) {
	for id, u := range c.unresolved {
		if id == unknownWorker || id.Born() != 0 {
			continue
		}
		if end := now.Steady + EndedOwnerWaitFor(c.params); end < u.until {
			u.until, u.listedUntil, u.reason = end, end, "the process of its owner has ended"
			c.unresolved[id] = u
		}
	}
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}
