package node

import (
	"context"
	"slices"

	"leverstile.dev/dispatch"
	"leverstile.dev/kv"
)

// Limits of the removal of the records of jobs that ended long ago.
const (
	// maxRemovedJobs is the most finished jobs whose three records are removed in
	// one write.
	maxRemovedJobs = 8
	// maxRetriedRemovals is the same where each is removed under a condition of its own,
	// of 32 entries that the store takes in total.
	maxRetriedRemovals = 6
)

// unansweredRemoval is a removal that may have been carried out: its answer was lost.
type unansweredRemoval struct {
	// before is a revision of the store before it, remaining the number of the core's
	// expired jobs that it may have removed and that are still to be checked.
	before    int64
	remaining int
}

// removeBatch removes records of old jobs once there are as many as one write takes. While
// jobs arrive, every flush has updates, and a flush with updates removes no records.
func (o *owner) removeBatch() {
	o.mu.Lock()
	full := len(o.core.Expired(maxRemovedJobs)) == maxRemovedJobs
	o.mu.Unlock()
	if !full {
		return
	}
	o.writing.Lock()
	defer o.writing.Unlock()
	o.removeExpired(o.ctx)
}

// removeExpired removes the records of jobs that ended long ago, or else old cancellations.
// It reports false if a write or read failed.
func (o *owner) removeExpired(ctx context.Context) bool {
	if o.removal.remaining > 0 {
		return o.retryRemoval(ctx)
	}
	ids := o.expired(maxRemovedJobs)
	if len(ids) == 0 {
		return o.removeCancels(ctx)
	}
	var ops []kv.Op
	for _, id := range ids {
		ops = append(ops, removeOps(id)...)
	}
	before := o.own.chainRev
	if !o.write(ctx, ops) {
		if o.lastWriteUnknown {
			o.removal = unansweredRemoval{before, len(ids)}
		}
		return false
	}
	o.recordRemoval(len(ids), o.own.chainRev)
	return true
}

// retryRemoval repeats a removal that may have been carried out. Jobs may have been
// submitted since under the same ids: their records are newer, and stay.
func (o *owner) retryRemoval(ctx context.Context) bool {
	ids := o.expired(min(o.removal.remaining, maxRetriedRemovals))
	var ops []kv.Op
	var unchanged []kv.Compare
	for _, id := range ids {
		p, err := o.node.store.Get(ctx, jobPrefix+id)
		if err != nil {
			return false
		}
		if p != nil && p.ModRevision <= o.removal.before {
			ops = append(ops, removeOps(id)...)
			unchanged = append(unchanged, kv.Compare{Key: p.Key, ModRevision: p.ModRevision})
		}
	}
	if len(ops) > 0 && !o.write(ctx, ops, unchanged...) {
		return false
	}
	o.recordRemoval(len(ids), o.removal.before)
	o.removal.remaining -= len(ids)
	return true
}

// removeCancels removes cancellations of jobs that were never submitted, under the
// condition that they still have not been.
func (o *owner) removeCancels(ctx context.Context) bool {
	o.mu.Lock()
	ids := o.core.OldCancels(maxRemovedJobs, o.now())
	o.mu.Unlock()
	if len(ids) == 0 {
		return true
	}
	var ops []kv.Op
	var missing []kv.Compare
	for _, id := range ids {
		ops = append(ops, kv.Delete(cancelPrefix+id))
		missing = append(missing, kv.Compare{Key: jobPrefix + id, Missing: true})
	}
	if !o.write(ctx, ops, missing...) {
		return false
	}
	o.locked(func(c *dispatch.Core, _ dispatch.Instant) { c.CancelsRemoved(ids) })
	return true
}

func removeOps(id string) []kv.Op {
	return []kv.Op{kv.Delete(jobPrefix + id), kv.Delete(cancelPrefix + id), kv.Delete(progressPrefix + id)}
}

// expired returns up to limit jobs whose records can be removed.
func (o *owner) expired(limit int) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.core.Expired(limit))
}

// recordRemoval reports to the core that the records of its first n expired jobs are gone, from
// a revision of the store on.
func (o *owner) recordRemoval(n int, revision int64) {
	o.locked(func(c *dispatch.Core, _ dispatch.Instant) { c.RecordsRemoved(n, revision) })
}
