package node

import (
	"context"
	"strconv"
	"time"

	"github.com/juju/errors"

	"leverstile.dev/dispatch"
	"leverstile.dev/kv"
)

// Limits and intervals of the writes of progress.
const (
	// flushInterval is the pause after a write, which collects changes of progress for the next.
	flushInterval = 40 * time.Millisecond
	// flushIntervalBehind is the same while more jobs wait than one write takes:
	// at most 70 writes a second, of 400 that the store takes.
	flushIntervalBehind = 10 * time.Millisecond
	// maxFlushRecords is the most records and parts of the roster in one write: the store
	// takes 32 entries, of which two are conditions and six other keys.
	maxFlushRecords = 24
	// maxFlushRosterParts is the most parts of the roster in one write, 5 KB each.
	maxFlushRosterParts = 8
	// idleFlushInterval is the pause after which a flush is tried without updates, to write
	// the stored models (run times, interference, demand of short tasks) and remove old records.
	idleFlushInterval = 3 * time.Second
	// flushTimeout bounds one write; a slow store takes 400 ms.
	flushTimeout = 700 * time.Millisecond
)

// flushLoop writes progress and the roster.
func (o *owner) flushLoop() {
	wait := backoff{minDelay: 2 * flushInterval, maxDelay: time.Second}
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.flushNow:
		case <-time.After(idleFlushInterval):
		}
		written := o.flush(o.ctx)
		again := o.unwritten()
		o.mu.Lock()
		behind := o.core.Backlog() >= maxFlushRecords
		o.mu.Unlock()
		switch {
		case !written:
			sleep(o.ctx, wait.next())
		case behind:
			wait.reset()
			sleep(o.ctx, flushIntervalBehind)
		default:
			wait.reset()
			o.removeBatch()
			sleep(o.ctx, flushInterval)
		}
		if again {
			signal(o.flushNow)
		}
	}
}

// flush writes what has changed, up to the size of one write. It reports whether the store
// accepted the write, or there was nothing to write.
func (o *owner) flush(ctx context.Context) bool {
	o.writing.Lock()
	defer o.writing.Unlock()
	o.mu.Lock()
	if o.core == nil {
		o.mu.Unlock()
		return false
	}
	settled := !o.settledStored && o.core.Recovering() == 0
	queues, err := o.core.QueueRecords()
	var roster []dispatch.RosterPart
	if err == nil {
		roster, err = o.core.Roster(maxFlushRosterParts)
	}
	var records []dispatch.Record
	if err == nil {
		capacity := maxFlushRecords - len(roster)
		if settled {
			capacity--
		}
		if queues != nil {
			capacity--
		}
		if o.core.ElapsedDue() {
			capacity--
		}
		records, err = o.core.Records(capacity)
	}
	var elapsed []byte
	if err == nil {
		elapsed, err = o.core.Elapsed(o.now())
	}
	var models []byte
	if now := o.now(); err == nil && o.core.ModelsDue(now) {
		models, err = o.core.EncodeModels(now)
	}
	var unread []byte
	if err == nil {
		unread, err = o.core.Unread()
	}
	var wave *dispatch.WaveRecord
	if err == nil {
		wave, err = o.core.DirtyWave()
	}
	o.mu.Unlock()
	if err != nil {
		o.node.log.Error().Str("event", "record_unwritable").Err(err).Msg("")
		return false
	}
	if len(records) == 0 && len(roster) == 0 && unread == nil && queues == nil && elapsed == nil && wave == nil && !settled {
		// The stored models are due at each idle flush; the removal of old records must not
		// wait for a flush without them.
		if removed := o.removeExpired(ctx); !removed || models == nil {
			return removed
		}
	}
	began := o.node.clock()
	ops := append(o.recordOps(records, roster, unread, models), o.node.waveOps(wave)...)
	if queues != nil {
		ops = append(ops, kv.Put(queuesKey, queues, 0))
	}
	if elapsed != nil {
		ops = append(ops, kv.Put(elapsedKey, elapsed, 0))
	}
	if settled {
		ops = append(ops, kv.Put(settledKey, strconv.AppendUint(nil, o.own.lead.Term, 10), 0))
	}
	ok := o.write(ctx, ops)
	o.node.metrics.flush.UpdateDuration(time.Now().Add(began - o.node.clock()))
	if !ok {
		return false
	}
	o.rosterMarked = o.rosterMarked || len(roster) > 0
	o.settledStored = o.settledStored || settled
	startsWait := false
	o.locked(func(c *dispatch.Core, _ dispatch.Instant) {
		c.Persisted(records)
		startsWait = c.HasUnsentStarts()
		c.RosterStored(roster)
		c.UnreadStored(unread)
		c.QueuesStored(queues)
		if wave != nil {
			c.WavePersisted(wave)
		}
	})
	if len(roster) > 0 || startsWait {
		signal(o.wake)
	}
	return true
}

// recordOps returns the writes of the given records of jobs, parts of the roster, unread
// workers and stored models.
func (o *owner) recordOps(records []dispatch.Record, roster []dispatch.RosterPart, unread, models []byte) []kv.Op {
	var ops []kv.Op
	if unread != nil {
		ops = append(ops, kv.Put(unreadKey, unread, 0))
	}
	if len(roster) > 0 && !o.rosterMarked {
		ops = append(ops, kv.Put(rosterKey, []byte(rosterInParts), 0))
	}
	for _, part := range roster {
		ops = append(ops, kv.Put(rosterPartKey(part.Number), part.Value, 0))
	}
	if models != nil {
		ops = append(ops, kv.Put(learntKey, models, 0))
	}
	for _, r := range records {
		ops = append(ops, kv.Put(progressPrefix+r.Job, r.Value, 0))
	}
	return ops
}

// write makes one transaction, under the conditions that this is still the owner and that no
// other write of its own came between, and under those given.
func (o *owner) write(ctx context.Context, ops []kv.Op, conditions ...kv.Compare) bool {
	txn := kv.Txn{
		If:   append([]kv.Compare{{Key: leadKey, ModRevision: o.own.leadRev}, {Key: chainKey, ModRevision: o.own.chainRev}}, conditions...),
		Then: append([]kv.Op{kv.Put(chainKey, []byte(o.own.lead.Session), 0)}, ops...),
	}
	wctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	res, mayBeRelayed, err := o.doTxn(wctx, txn)
	o.lastWriteUnknown = err != nil && !errors.Is(err, kv.ErrNotDone) || mayBeRelayed && !res.Succeeded
	if err != nil {
		if ctx.Err() == nil {
			o.node.log.Warn().Str("event", "flush_failed").Int("operations", len(ops)).Err(err).Msg("")
		}
		return false
	}
	if res.Succeeded {
		o.own.chainRev = res.Revision
		return true
	}
	return o.writeRefused(res)
}

// writeRefused handles a refused write: either an earlier write of this owner, whose
// answer was lost, was carried out, or the ownership has ended.
func (o *owner) writeRefused(res kv.TxnResult) bool {
	stillOwner := false
	for _, p := range res.Reads[0] {
		switch p.Key {
		case leadKey:
			stillOwner = p.ModRevision == o.own.leadRev
		case chainKey:
			o.own.chainRev = p.ModRevision
		}
	}
	if !stillOwner {
		o.node.log.Warn().Str("event", "ownership_lost").Uint64("term", o.own.lead.Term).Msg("")
		o.stop(errNotOwner)
	}
	return false
}
