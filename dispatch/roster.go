package dispatch

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"leverstile.dev/job"
)

// RosterEntry is a worker that the owner may have sent orders to.
type RosterEntry struct {
	// ID names the incarnation. It is stored as the worker's id and Born, its start time.
	ID      WorkerID `json:"id"`
	Born    int64    `json:"born,omitempty"`
	Address string   `json:"address"`
	VM      string   `json:"vm,omitempty"`
	// Closed is set while the owner sends the worker no starts: apart from Tasks,
	// no task of the owner can be running there.
	Closed bool     `json:"closed,omitempty"`
	Tasks  []string `json:"tasks,omitempty"`
	// RecentRuns are the runs of which one may have crashed the worker, if it has crashed.
	RecentRuns []LostRun `json:"young,omitempty"`
	// Fenced is set, for a worker that may restart under its id, once no lease lasts there that it
	// took from a call meant for an earlier incarnation.
	Fenced bool `json:"fenced,omitempty"`
	// Seal is set while no owner extends leases at the worker.
	Seal *Seal `json:"seal,omitempty"`
	// sealed is set if the entry is to be stored with a seal.
	sealed bool
	// part is the number of the part that holds the entry.
	part int
}

// rosterPartSize is the maximum number of entries in a part of the roster, of some 100 bytes
// each: a change of one worker writes its part, whatever the number of workers.
const rosterPartSize = 50

// RosterPart is a part of the roster as it is stored, by its number.
type RosterPart struct {
	Number int
	Value  []byte
	// open are the workers with open entries in the part, unsealed those without a seal, closed
	// the tasks in closed entries.
	open, unsealed []WorkerID
	closed         map[WorkerID]taskSet
}

// taskSet is a set of tasks.
type taskSet map[job.TaskID]bool

// roster is the list of workers that may have orders of this owner. It is stored for
// the next owner, in parts that are written one by one. An entry is stored before the
// worker's first order, and stays in its part.
//
// Invariant: worker.recorded is set only while the store's newest entry of the
// worker is open. It is cleared before an entry is closed, and set again only
// when a write that opens it was stored.
type roster struct {
	entries map[WorkerID]RosterEntry
	parts   []rosterPart
	// firstWithCapacity is the number of the first part that may take another entry. stale
	// holds the numbers of the parts whose stored copies are out of date.
	firstWithCapacity int
	stale             map[int]bool
	// storedTasks holds the tasks in the stored copies of closed entries.
	storedTasks map[WorkerID]taskSet
}

// rosterPart holds the entries of one part; written is set once the newest ones were
// encoded for a write.
type rosterPart struct {
	ids     map[WorkerID]bool
	written bool
	// updated is set if the part was marked as stale because of an end since the last tick;
	// outdated is set if it names tasks that have ended since then. See followEnds.
	updated, outdated bool
}

func newRoster() roster {
	return roster{entries: map[WorkerID]RosterEntry{}, stale: map[int]bool{}, storedTasks: map[WorkerID]taskSet{}}
}

// ensure adds an open entry of a worker that has none.
func (r *roster) ensure(info WorkerInfo) {
	if _, ok := r.entries[info.ID]; !ok {
		r.put(RosterEntry{ID: info.ID, Address: info.Address, VM: info.VM, part: r.partWithCapacity()})
	}
}

// put sets an entry in the part that it names, and marks the part as stale.
func (r *roster) put(e RosterEntry) {
	r.set(e)
	r.markStale(e.part)
}

// set sets an entry in the part that it names.
func (r *roster) set(e RosterEntry) {
	r.grow(e.part)
	r.parts[e.part].ids[e.ID] = true
	r.entries[e.ID] = e
}

// markStale records that a part must be stored.
func (r *roster) markStale(part int) {
	r.grow(part)
	r.parts[part].written = false
	r.stale[part] = true
}

// grow adds empty parts, up to the given number.
func (r *roster) grow(part int) {
	for len(r.parts) <= part {
		r.parts = append(r.parts, rosterPart{ids: map[WorkerID]bool{}})
	}
}

// partWithCapacity returns the number of a part that can take another entry.
func (r *roster) partWithCapacity() int {
	for r.firstWithCapacity < len(r.parts) && len(r.parts[r.firstWithCapacity].ids) >= rosterPartSize {
		r.firstWithCapacity++
	}
	return r.firstWithCapacity
}

// drop removes the entry of a worker. A stored entry that is not needed would make the next
// owner wait for a worker that never answers.
func (r *roster) drop(id WorkerID) {
	e, ok := r.entries[id]
	if !ok {
		return
	}
	delete(r.entries, id)
	delete(r.storedTasks, id)
	delete(r.parts[e.part].ids, id)
	r.firstWithCapacity = min(r.firstWithCapacity, e.part)
	r.markStale(e.part)
}

// updateEntries updates the entries of all workers, see updateEntry, and determines until when tasks
// wait for one that is sealed.
func (c *Core) updateEntries(now Instant) {
	var awaited time.Duration
	for _, w := range c.sortedWorkers {
		c.updateFenced(w, now)
		if c.updateEntry(w) && (len(w.attempts) > 0 || c.Awaits(w.info.ID)) {
			awaited = max(awaited, c.leasesEnd(w))
		}
	}
	c.seals.update(awaited, now)
}

// updateFenced sets Fenced in the entry of a worker that has refused, for as long as a lease may last,
// all calls that were sent before its incarnation was known.
func (c *Core) updateFenced(w *worker, now Instant) {
	if w.info.ID.Born() == 0 || !w.synced || now.Steady < w.fencedAt+c.longestLease() {
		return
	}
	if e, ok := c.roster.entries[w.info.ID]; ok && !e.Fenced {
		e.Fenced = true
		c.roster.put(e)
	}
}

// updateEntry closes the entry of a worker that gets no starts, and reopens it afterwards.
// Otherwise all tasks wait after a takeover for a worker that left long ago, since any of them may
// have been started there: ten seconds in 2 of 27 takeovers of a day with rolling restarts. The
// entry of a worker that does not answer is sealed; see Seal. It reports whether the entry is sealed.
func (c *Core) updateEntry(w *worker) (sealed bool) {
	e, ok := c.roster.entries[w.info.ID]
	if !ok {
		return false
	}
	sealed = w.mustSeal(e)
	closed := w.getsNoStarts() || e.Closed && !w.synced
	if c.Awaits(w.info.ID) {
		closed = e.Closed // what the previous owner started there is not known yet
	}
	if closed != e.Closed {
		w.recorded = false // until an open entry is stored
		e.Tasks = nil
		delete(c.roster.storedTasks, w.info.ID)
	}
	if closed != e.Closed || sealed != e.sealed {
		e.Closed, e.sealed = closed, sealed
		c.roster.put(e)
	}
	return sealed
}

// getsNoStarts reports whether a worker gets no starts for longer than it takes to
// write the roster.
func (w *worker) getsNoStarts() bool {
	return w.info.Draining || !w.listed || w.isSilent() || w.endReason != ""
}

// tasksAt returns the tasks that may be running at a worker, or whose end the
// worker lists but the store lacks.
func (w *worker) tasksAt() taskSet {
	set := taskSet{}
	for _, a := range w.attempts {
		set[a.task.id()] = true
	}
	for id := range w.unexpected {
		set[id] = true
	}
	for _, e := range w.ends {
		set[e.task] = true
	}
	return set
}

// names returns the names of the tasks, sorted.
func (s taskSet) names() []string {
	list := make([]string, 0, len(s))
	for id := range s {
		list = append(list, id.String())
	}
	slices.Sort(list)
	return list
}

// RosterStale reports whether parts of the roster, or the record of Unread, must be
// written.
func (c *Core) RosterStale() bool { return len(c.roster.stale) > 0 || c.unreadStale }

// Roster returns the parts of the roster that must be written, at most limit of them.
func (c *Core) Roster(limit int) ([]RosterPart, error) {
	numbers := slices.Sorted(maps.Keys(c.roster.stale))
	var parts []RosterPart
	for _, n := range numbers[:min(limit, len(numbers))] {
		part, err := c.rosterPart(n)
		if err != nil {
			return nil, err
		}
		parts = append(parts, part)
	}
	return parts, nil
}

func (c *Core) rosterPart(number int) (RosterPart, error) {
	p := &c.roster.parts[number]
	part := RosterPart{Number: number, closed: map[WorkerID]taskSet{}}
	list := make([]RosterEntry, 0, len(p.ids))
	for id := range p.ids {
		e := c.roster.entries[id]
		if u, waits := c.unresolved[id]; e.Closed && waits {
			e.Tasks = slices.Sorted(maps.Keys(u.tasks)) // of both entries, if there were two
		} else if e.Closed {
			w := c.workers[id]
			tasks := w.tasksAt()
			e.Tasks, e.RecentRuns, part.closed[id] = tasks.names(), c.recentRunsForRoster(w), tasks
		}
		if !e.Closed {
			part.open = append(part.open, id)
		}
		if e.Seal = c.sealOf(e); e.Seal == nil {
			part.unsealed = append(part.unsealed, id)
		} else {
			c.workers[id].sealed = true
		}
		name, born := e.ID.split()
		e.ID, e.Born = WorkerID(name), born
		list = append(list, e)
	}
	p.written = true
	var err error
	part.Value, err = json.Marshal(list)
	return part, err
}

// RosterStored records that the store holds these parts of the roster.
func (c *Core) RosterStored(parts []RosterPart) {
	for _, part := range parts {
		for _, id := range part.open {
			e, ok := c.roster.entries[id]
			if w := c.workers[id]; ok && w != nil && !e.Closed {
				w.recorded = true
			}
		}
		for _, id := range part.unsealed {
			if w := c.workers[id]; w != nil {
				w.sealed = false
			}
		}
		for id, tasks := range part.closed {
			if e, ok := c.roster.entries[id]; ok && e.Closed {
				c.roster.storedTasks[id] = tasks
			}
		}
		if part.Number < len(c.roster.parts) && c.roster.parts[part.Number].written {
			delete(c.roster.stale, part.Number)
		}
		if part.Number < len(c.roster.parts) {
			c.roster.parts[part.Number].outdated = false
		}
		for id := range part.closed {
			if w := c.workers[id]; w != nil {
				c.followEnds(w) // tasks may have ended while the part was written
			}
		}
	}
}

// DecodeRoster reads a part that Roster returned.
func DecodeRoster(part RosterPart) ([]RosterEntry, error) {
	var list []RosterEntry
	err := json.Unmarshal(part.Value, &list)
	for i, e := range list {
		list[i].ID, list[i].part = IncarnationID(string(e.ID), e.Born), part.Number
	}
	return list, err
}
