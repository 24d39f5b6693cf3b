package dispatch

import (
	"encoding/json"
	"slices"
)

// RosterEntry is a worker that the owner may have sent orders to.
type RosterEntry struct {
	// ID names the life. It is stored as the worker's id and Born, when the life was born.
	ID      WorkerID `json:"id"`
	Born    int64    `json:"born,omitempty"`
	Address string   `json:"address"`
	VM      string   `json:"vm,omitempty"`
	// Closed is set while the owner sends the worker no starts: beside Tasks,
	// nothing of the owner's can be running there.
	Closed bool     `json:"closed,omitempty"`
	Tasks  []string `json:"tasks,omitempty"`
	// Young are the runs of which one may have crashed the worker, if it has.
	Young []LostRun `json:"young,omitempty"`
}

// roster is the list of workers that may have orders of this owner, for the next
// one. An entry is stored before the worker's first order. Stale is set while
// the store's copy lacks something or holds what is over, and written tells
// whether a write holds the newest entries.
//
// Invariant: worker.recorded is set only while the store's newest entry of the
// worker is open. It is cleared before an entry is closed, and set again only
// when a write that opens it was stored.
type roster struct {
	entries        map[WorkerID]RosterEntry
	stale, written bool
}

func newRoster() roster { return roster{entries: map[WorkerID]RosterEntry{}} }

func (r *roster) want(info WorkerInfo) {
	if _, ok := r.entries[info.ID]; !ok {
		r.put(RosterEntry{ID: info.ID, Address: info.Address, VM: info.VM})
	}
}

func (r *roster) put(e RosterEntry) {
	r.entries[e.ID] = e
	r.stale, r.written = true, false
}

// drop forgets a worker. An entry too many in the store would cost the next
// owner a wait for a worker that never answers.
func (r *roster) drop(id WorkerID) {
	if _, ok := r.entries[id]; !ok {
		return
	}
	delete(r.entries, id)
	r.stale, r.written = true, false
}

// updateClosed closes the entries of workers that get no starts, and opens them
// again. Without it, a takeover waits with all tasks for a worker that has long
// left, since any of them may have been started there: ten seconds in 2 of 27
// takeovers of a day with rolling restarts.
func (c *Core) updateClosed() {
	for _, w := range c.order {
		e, ok := c.roster.entries[w.info.ID]
		if _, waits := c.unresolved[w.info.ID]; !ok || waits {
			continue // what the previous owner left there is not known yet
		}
		if shut := c.getsNoStarts(w); shut != e.Closed {
			w.recorded = false // until an open entry is stored
			e.Closed, e.Tasks = shut, nil
			c.roster.put(e)
		}
	}
}

// getsNoStarts reports whether a worker gets no starts for longer than a write
// of the roster takes.
func (c *Core) getsNoStarts(w *worker) bool {
	silent := w.unreached() && w.unanswered >= suspectAfter
	return w.info.Draining || !w.listed || silent || w.overReason != ""
}

// tasksAt returns the tasks that may be running at a worker, or whose end the
// worker lists and the store lacks.
func (w *worker) tasksAt() []string {
	var list []string
	for _, a := range w.attempts {
		list = append(list, a.task.id().String())
	}
	for id := range w.foreign {
		list = append(list, id.String())
	}
	for _, e := range w.ends {
		list = append(list, e.task.String())
	}
	slices.Sort(list)
	return list
}

// RosterStale reports whether the roster must be written.
func (c *Core) RosterStale() bool { return c.roster.stale }

// Roster returns the roster to be written, and the workers whose entries in it
// are open.
func (c *Core) Roster() ([]byte, []WorkerID, error) {
	list := make([]RosterEntry, 0, len(c.roster.entries))
	open := make([]WorkerID, 0, len(c.roster.entries))
	for id, e := range c.roster.entries {
		if _, waits := c.unresolved[id]; e.Closed && !waits {
			w := c.workers[id]
			e.Tasks, e.Young = w.tasksAt(), c.youngForRoster(w)
		}
		if !e.Closed {
			open = append(open, id)
		}
		name, born := e.ID.split()
		e.ID, e.Born = WorkerID(name), born
		list = append(list, e)
	}
	c.roster.written = true
	value, err := json.Marshal(list)
	return value, open, err
}

// RosterStored tells that the store holds a roster where these workers are open.
func (c *Core) RosterStored(open []WorkerID) {
	for _, id := range open {
		e, ok := c.roster.entries[id]
		if w := c.workers[id]; ok && w != nil && !e.Closed {
			w.recorded = true
		}
	}
	if c.roster.written {
		c.roster.stale = false
	}
}

// DecodeRoster reads what Roster returned.
func DecodeRoster(value []byte) ([]RosterEntry, error) {
	var list []RosterEntry
	if len(value) == 0 {
		return nil, nil
	}
	err := json.Unmarshal(value, &list)
	for i, e := range list {
		list[i].ID = LifeID(string(e.ID), e.Born)
	}
	return list, err
}
