package dispatch

import (
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// RosterEntry is a worker that the owner may have sent orders to.
type RosterEntry struct {
	ID      WorkerID `json:"id"`
	Address string   `json:"address"`
	VM      string   `json:"vm,omitempty"`
}

// roster is the list of workers that may have orders of this owner. It is
// persisted before a worker's first order, so that the next owner knows where
// to look; stale is set while the store's copy lacks something or holds what is
// over, and written tells whether a write holds the newest entries.
type roster struct {
	entries        map[WorkerID]RosterEntry
	stale, written bool
}

func newRoster() roster {
	return roster{entries: map[WorkerID]RosterEntry{}}
}

func (r *roster) want(info WorkerInfo) {
	if _, ok := r.entries[info.ID]; !ok {
		r.entries[info.ID] = RosterEntry{info.ID, info.Address, info.VM}
		r.stale, r.written = true, false
	}
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

// RosterStale reports whether the roster must be written.
func (c *Core) RosterStale() bool { return c.roster.stale }

// Roster returns the roster to be written.
func (c *Core) Roster() ([]byte, []WorkerID, error) {
	list := make([]RosterEntry, 0, len(c.roster.entries))
	ids := make([]WorkerID, 0, len(c.roster.entries))
	for _, e := range c.roster.entries {
		list = append(list, e)
		ids = append(ids, e.ID)
	}
	c.roster.written = true
	value, err := json.Marshal(list)
	return value, ids, err
}

// RosterStored tells that the store holds a roster with these workers.
func (c *Core) RosterStored(ids []WorkerID) {
	for _, id := range ids {
		if w := c.workers[id]; w != nil {
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
	return list, err
}

// Recover takes in the previous owner's roster, before any job. Until each of
// these workers has answered under the new term, has ended, or RecoveryWait is
// over, tasks that it may run are not started elsewhere.
func (c *Core) Recover(list []RosterEntry, now Instant) {
	for _, e := range list {
		c.unresolved[e.ID] = now.Steady + c.params.RecoveryWait
		c.roster.entries[e.ID] = e
		c.addWorker(WorkerInfo{ID: e.ID, Address: e.Address, VM: e.VM}, now).recorded = true
	}
	if len(list) > 0 {
		c.trace(Decision{Event: "recovery_begun", Age: c.params.RecoveryWait})
	}
}

// resolve takes a worker off the list of those that may run unknown tasks.
func (c *Core) resolve(id WorkerID, reason string, now Instant) {
	if _, ok := c.unresolved[id]; !ok {
		return
	}
	delete(c.unresolved, id)
	if len(c.unresolved) == 0 {
		c.trace(Decision{Event: "recovery_done", Worker: id, Reason: reason})
		c.unknown = true
		c.settleUnknown(now)
	}
}

// settleUnknown releases the tasks that may have run anywhere, once no worker
// is waited for. Like every conclusion from silence or from the end of a life,
// it needs a lease that holds for sure.
func (c *Core) settleUnknown(now Instant) {
	if c.unknown && len(c.unresolved) == 0 && c.certain(now) {
		c.unknown = false
		c.releaseUnknown(now)
	}
}

// expireUnresolved stops waiting for workers whose leases are over for sure.
func (c *Core) expireUnresolved(now Instant) {
	for id, until := range c.unresolved {
		if now.Steady >= until && c.certain(now) {
			c.resolve(id, "the previous owner's leases are over", now)
		}
	}
	c.settleUnknown(now)
}

// releaseUnknown makes tasks ready that run at no worker.
func (c *Core) releaseUnknown(now Instant) {
	ids := slices.Sorted(maps.Keys(c.jobs))
	for _, id := range ids {
		for _, s := range c.jobs[id].steps {
			for _, t := range s.tasks {
				if t.phase == phaseUnknown {
					t.phase = phaseWaiting
					t.concluded = true
				}
			}
			if s.spec.Gang && s.gangRun != 0 {
				c.mendGang(s, now)
				continue
			}
			c.openStep(s, now)
		}
	}
}

// mendGang ends a gang's run that lost members with the previous owner.
func (c *Core) mendGang(s *stepRun, now Instant) {
	for _, t := range s.tasks {
		if t.attempt == nil && t.phase != phaseDone {
			c.gangMemberLeft(s, s.gangRun, now)
			return
		}
	}
}

// Recovering reports for how many workers the core still waits.
func (c *Core) Recovering() int { return len(c.unresolved) }

// recoverySlack is added to the wait for the previous owner's leases, for the
// rate of clocks and the time that calls take.
const recoverySlack = 400 * time.Millisecond

// RecoveryWaitFor returns Params.RecoveryWait, for owners whose leases at the
// store last ttl and who give orders until horizon after a renewal.
func RecoveryWaitFor(ttl, horizon time.Duration) time.Duration {
	return time.Duration(float64(horizon-ttl)/clockRate) + recoverySlack
}
