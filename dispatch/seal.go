package dispatch

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Seal bounds the leases at a worker that its owner can't reach. While the stored entry of a worker
// has one, no owner extends a lease there: an owner gives the worker no deadline before the store
// has an entry without the seal. So the next owner waits for the last leases only, however its
// predecessors ended.
type Seal struct {
	// Term is the term of the owner that stored the seal.
	Term uint64 `json:"term"`
	// ExpiresMS is the elapsed time, see seals, from which no lease lasts at the worker.
	ExpiresMS int64 `json:"expires_ms"`
	// ListedExpireMS, if set, is the elapsed time from which no lease lasts there but those of the
	// tasks in Unlisted; see leaseBound.
	ListedExpireMS int64    `json:"listed_expire_ms,omitempty"`
	Unlisted       []string `json:"unlisted,omitempty"`
}

// seals holds what an owner needs to read the seals of its predecessors and to set its own.
//
// The elapsed time is the time that successive owners have measured, each on its steady clock. A
// new owner goes on from the newest stored reading. It runs behind the real time by what passes
// between that reading and the takeover, so that a seal never expires too early.
type seals struct {
	// base is the elapsed time at the steady time start.
	base, start time.Duration
	// from is the first term of owners that count the same elapsed time and keep to seals.
	from uint64
	// storedAt is when a reading was last encoded for the store, due is set if another one is to
	// be stored.
	storedAt time.Duration
	due      bool
}

// elapsedInterval is the minimum time between two stored readings of the elapsed time. A next owner
// does not count the time since the newest one.
const elapsedInterval = 100 * time.Millisecond

// elapsedRecord is a reading of the elapsed time as it is stored.
type elapsedRecord struct {
	MS int64 `json:"ms"`
	// From is the first term of owners that count this time.
	From uint64 `json:"from"`
}

// RecoverSeals reads the stored reading of the elapsed time, nil if there is none. It precedes
// Recover. from is the first term of an unbroken sequence of owners that keep to seals, up to this
// one; seals of earlier terms don't count.
func (c *Core) RecoverSeals(value []byte, from uint64, now Instant) error {
	c.seals = seals{start: now.Steady, from: c.term, storedAt: now.Steady}
	if value == nil {
		return nil
	}
	var r elapsedRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return err
	}
	c.seals.base = time.Duration(r.MS) * time.Millisecond
	c.seals.from = max(from, r.From)
	return nil
}

// elapsedAt returns the elapsed time at a steady time.
func (c *Core) elapsedAt(t time.Duration) time.Duration { return c.seals.base + t - c.seals.start }

// ElapsedDue reports whether a reading of the elapsed time is to be stored, for a next owner.
func (c *Core) ElapsedDue() bool { return c.seals.due }

// Elapsed returns a reading of the elapsed time for the store, nil if none is due.
func (c *Core) Elapsed(now Instant) ([]byte, error) {
	if !c.seals.due {
		return nil, nil
	}
	c.seals.due, c.seals.storedAt = false, now.Steady
	return json.Marshal(elapsedRecord{MS: c.elapsedAt(now.Steady).Milliseconds(), From: c.seals.from})
}

// update determines whether a reading of the elapsed time is due: while tasks wait for a seal, the
// last one until the given steady time, and once more after that.
func (s *seals) update(awaited time.Duration, now Instant) {
	if now.Steady < awaited+elapsedInterval && now.Steady-s.storedAt >= elapsedInterval {
		s.due = true
	}
}

// sealOf returns the seal to store with an entry, nil if the entry is not sealed.
func (c *Core) sealOf(e RosterEntry) *Seal {
	if !e.sealed {
		return nil
	}
	b := c.leaseBoundOf(c.workers[e.ID])
	seal := &Seal{Term: c.term, ExpiresMS: max(c.elapsedAt(b.all), 0).Milliseconds() + 1}
	if b.listed < b.all {
		seal.ListedExpireMS, seal.Unlisted = max(c.elapsedAt(b.listed), 0).Milliseconds()+1, slices.Sorted(maps.Keys(b.unlisted))
	}
	return seal
}

// leaseBound bounds the leases at a worker, unless its owner extends one.
type leaseBound struct {
	// all is the steady time from which no lease lasts there, listed the time from which none lasts
	// but those of the tasks in unlisted. The next incarnation under the worker's id may carry out a
	// start that the worker has not listed, and take a longer lease by its own clock.
	all, listed time.Duration
	unlisted    map[string]bool
}

// leaseBoundOf returns the bound on the leases at a worker.
func (c *Core) leaseBoundOf(w *worker) leaseBound {
	b := leaseBound{unlisted: map[string]bool{}}
	if w.lastDeadline > 0 {
		b.all = w.passes(w.lastDeadline)
	}
	b.listed = b.all
	for _, a := range w.attempts {
		if a.mayBeOfNextIncarnation() {
			b.unlisted[a.task.id().String()] = true
			b.all = max(b.all, c.nextIncarnationLeaseEnd(w)+startWindow) // a start may be sent again within its window
		}
	}
	if u, waits := c.unresolved[w.info.ID]; waits {
		b.all, b.listed = max(b.all, u.until), max(b.listed, u.listedUntil)
		maps.Copy(b.unlisted, u.unlisted)
	}
	return b
}

// leasesEnd returns the steady time from which no lease lasts at a worker, unless this owner extends
// one.
func (c *Core) leasesEnd(w *worker) time.Duration { return c.leaseBoundOf(w).all }

// trusts reports whether all owners since a seal was stored have kept to it.
func (c *Core) trusts(s *Seal) bool { return s != nil && s.Term >= c.seals.from }

// recoveryBound returns the bound on the leases of earlier owners at the worker of a stored entry.
func (c *Core) recoveryBound(e RosterEntry, now Instant) leaseBound {
	longest := now.Steady + c.recoveryWaitFor(e.ID)
	b := leaseBound{all: longest, listed: longest, unlisted: map[string]bool{}}
	if !c.trusts(e.Seal) {
		return b
	}
	expiry := func(ms int64) time.Duration {
		left := time.Duration(ms)*time.Millisecond - c.elapsedAt(now.Steady)
		return min(longest, now.Steady+max(left, 0)+clockMargin)
	}
	b.all = expiry(e.Seal.ExpiresMS)
	b.listed = b.all
	if e.Seal.ListedExpireMS > 0 && e.Closed {
		b.listed = min(b.all, expiry(e.Seal.ListedExpireMS))
		b.unlisted = setOf(e.Seal.Unlisted)
	}
	return b
}

// recoveryReason tells why recoveryBound is what it is.
func (c *Core) recoveryReason(e RosterEntry) string {
	switch {
	case e.Seal == nil:
		return "no seal"
	case !c.trusts(e.Seal):
		return fmt.Sprintf("the seal of term %d does not count", e.Seal.Term)
	default:
		return fmt.Sprintf("sealed in term %d", e.Seal.Term)
	}
}

// SilentLeases returns the number of workers that do not answer, and the longest time for which a
// lease may last at one of them.
func (c *Core) SilentLeases(now Instant) (workers int, longest time.Duration) {
	for _, w := range c.sortedWorkers {
		if w.unreached() {
			workers++
			longest = max(longest, c.leasesEnd(w)-now.Steady)
		}
	}
	return workers, longest
}

// mustSeal reports whether the stored entry of a worker is to have a seal: while the worker does not
// answer, and until its lists are read.
func (w *worker) mustSeal(e RosterEntry) bool {
	return w.isSilent() || e.sealed && !w.synced && !w.partlyRead
}

// isSilent reports whether the worker did not answer the newest calls.
func (w *worker) isSilent() bool { return w.unreached() && w.unansweredCalls >= unreachedAfter }
