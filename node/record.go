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

// flushBatch is what one write of the owner stores.
type flushBatch struct {
	records []dispatch.Record
	roster  []dispatch.RosterPart
	wave    *dispatch.WaveRecord
	// The encoded records of queues, of the elapsed time, of unread workers and of the models; nil
	// if they are not to be written.
	queues, elapsed, unread, models []byte
	// settled is set if the owner records that it has resolved all workers of its predecessors.
	settled bool
}

// isEmpty reports whether nothing needs a write. The models are written with the next one.
func (b *flushBatch) isEmpty() bool {
	return len(b.records) == 0 && len(b.roster) == 0 && b.unread == nil && b.queues == nil && b.elapsed == nil && b.wave == nil && !b.settled
}

// collect takes from the core what is to be written, up to the size of one write.
func (o *owner) collect(c *dispatch.Core) (b flushBatch, err error) {
	now := o.now()
	b.settled = !o.settledStored && c.Recovering() == 0
	if b.queues, err = c.QueueRecords(); err != nil {
		return b, err
	}
	if b.roster, err = c.Roster(maxFlushRosterParts); err != nil {
		return b, err
	}
	if b.elapsed, err = c.Elapsed(now); err != nil {
		return b, err
	}
	capacity := maxFlushRecords - len(b.roster)
	for _, other := range []bool{b.settled, b.queues != nil, b.elapsed != nil} {
		if other {
			capacity--
		}
	}
	if b.records, err = c.Records(capacity); err != nil {
		return b, err
	}
	if c.ModelsDue(now) {
		if b.models, err = c.EncodeModels(now); err != nil {
			return b, err
		}
	}
	if b.unread, err = c.Unread(); err != nil {
		return b, err
	}
	b.wave, err = c.DirtyWave()
	return b, err
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
	batch, err := o.collect(o.core)
	o.mu.Unlock()
	if err != nil {
		o.node.log.Error().Str("event", "record_unwritable").Err(err).Msg("")
		return false
	}
	if batch.isEmpty() {
		// The stored models are due at each idle flush; the removal of old records must not
		// wait for a flush without them.
		if removed := o.removeExpired(ctx); !removed || batch.models == nil {
			return removed
		}
	}
	began := o.node.clock()
	ok := o.write(ctx, o.operations(&batch))
	o.node.metrics.flush.UpdateDuration(time.Now().Add(began - o.node.clock()))
	if ok {
		o.recordStored(&batch)
	}
	return ok
}

// recordStored records that the store holds a batch.
func (o *owner) recordStored(b *flushBatch) {
	o.rosterMarked = o.rosterMarked || len(b.roster) > 0
	o.settledStored = o.settledStored || b.settled
	startsWait := false
	o.locked(func(c *dispatch.Core, _ dispatch.Instant) {
		c.Persisted(b.records)
		startsWait = c.HasUnsentStarts()
		c.RosterStored(b.roster)
		c.UnreadStored(b.unread)
		c.QueuesStored(b.queues)
		if b.wave != nil {
			c.WavePersisted(b.wave)
		}
	})
	if len(b.roster) > 0 || startsWait {
		signal(o.wake)
	}
}

// operations returns the writes of a batch.
func (o *owner) operations(b *flushBatch) []kv.Op {
	var ops []kv.Op
	if len(b.roster) > 0 && !o.rosterMarked {
		ops = append(ops, kv.Put(rosterKey, []byte(rosterInParts), 0))
	}
	for _, part := range b.roster {
		ops = append(ops, kv.Put(rosterPartKey(part.Number), part.Value, 0))
	}
	for _, r := range b.records {
		ops = append(ops, kv.Put(progressPrefix+r.Job, r.Value, 0))
	}
	for _, single := range []struct {
		key   string
		value []byte
	}{{unreadKey, b.unread}, {learntKey, b.models}, {queuesKey, b.queues}, {elapsedKey, b.elapsed}} {
		if single.value != nil {
			ops = append(ops, kv.Put(single.key, single.value, 0))
		}
	}
	if b.settled {
		ops = append(ops, kv.Put(settledKey, strconv.AppendUint(nil, o.own.lead.Term, 10), 0))
	}
	return append(ops, o.node.waveOps(b.wave)...)
}

// write makes one transaction, under the conditions that this is still the owner and that no
// other write of its own came between, and under those given.
func (o *owner) write(ctx context.Context, ops []kv.Op, conditions ...kv.Compare) bool {
	txn := kv.Txn{
		If:   append([]kv.Compare{{Key: leadKey, ModRevision: o.own.leadRev}, {Key: chainKey, ModRevision: o.own.chainRev}}, conditions...),
		Then: append([]kv.Op{kv.Put(chainKey, o.own.record, 0)}, ops...),
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
