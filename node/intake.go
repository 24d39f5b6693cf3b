package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"

	"leverstile.dev/dispatch"
	"leverstile.dev/job"
	"leverstile.dev/kv"
	"leverstile.dev/node/acceptance"
)

// Recorded is the result of a write that a customer asked for.
type Recorded uint8

// Results of a write.
const (
	// RecordedYes: the store holds the record.
	RecordedYes Recorded = iota
	// RecordedNo: nothing was sent, or the write was refused; it will never take effect.
	RecordedNo
	// RecordedUnknown: the write may have taken effect, or may still do so.
	RecordedUnknown
	// RecordedNotFound: there is no such job.
	RecordedNotFound
	// RecordedNoCapacity: the owner expects no capacity for the job in time; nothing was
	// sent to the store.
	RecordedNoCapacity
)

// Limits of customers' writes.
const (
	// writeTryTimeout bounds one try, writeBudget all of them: a customer waits 3 s.
	writeTryTimeout = 600 * time.Millisecond
	writeBudget     = 2200 * time.Millisecond
	// refusedBudget bounds the tries of a write that was refused each time.
	refusedBudget = 500 * time.Millisecond
	// admissionBudget bounds the admission of a job, with the read of the store that precedes
	// a refusal: the rest of the caller's time is for the write.
	admissionBudget = 600 * time.Millisecond
	writeRetryMin   = 20 * time.Millisecond
	writeRetryMax   = 200 * time.Millisecond
)

// Config returns the configuration in force, nil before the first.
func (n *Node) Config() *job.Config { return n.config.Load() }

// Submission is the result of a submitted job.
type Submission struct {
	Recorded Recorded
	// RetryAfter is the delay after which to submit a job again that was not recorded;
	// 0 means unknown.
	RetryAfter time.Duration
}

// Submit records a job with its acceptance time. It is idempotent.
func (n *Node) Submit(ctx context.Context, spec *job.Spec) Submission {
	began := n.clock()
	if callerWait(ctx) == 0 {
		ctx = WithCallEnd(ctx, time.Now().Add(acceptance.CallerTimeout))
	}
	spec.AcceptedMS = n.instant().UnixMS
	if config := n.config.Load(); spec.AcceptedQueue == nil && config != nil {
		spec.AcceptedQueue = config.QueueRecord(spec.Queue)
	}
	value, err := json.Marshal(spec)
	if err != nil {
		n.log.Error().Str("event", "job_unwritable").Str("job", spec.ID).Err(err).Msg("")
		return Submission{Recorded: RecordedNo}
	}
	result, refused := n.admitInTime(ctx, spec, value)
	if !refused {
		result.Recorded = n.submitRecord(ctx, spec.ID, value)
	}
	if result.Recorded == RecordedNo {
		result.RetryAfter = n.RetryAfter()
	}
	took := n.clock() - began
	n.metrics.submit.Update(took.Seconds())
	n.log.Info().Str("event", "job_submitted").Str("job", spec.ID).Str("queue", spec.Queue).
		Str("recorded", result.Recorded.String()).Dur("took", took).Msg("")
	return result
}

// admitInTime is admit within admissionBudget.
func (n *Node) admitInTime(ctx context.Context, spec *job.Spec, record []byte) (Submission, bool) {
	if n.opts.DisableAcceptance {
		return n.admit(ctx, spec, record)
	}
	ctx, cancel := context.WithTimeout(ctx, admissionBudget)
	defer cancel()
	return n.admit(ctx, spec, record)
}

// submitRecord writes a job to the store, through the owner or another entry if the store
// does not answer this one.
func (n *Node) submitRecord(ctx context.Context, id string, value []byte) Recorded {
	if n.ownerKnows(id) {
		return RecordedYes
	}
	if n.opts.DisableAcceptance || n.relaysOwnWrites() {
		return n.submitOneWay(ctx, id, value)
	}
	return n.resolve(ctx, n.submission(id, value), fromCaller, acceptance.End(n.clock(), callerWait(ctx)))
}

// relaysOwnWrites reports whether this entry owns the cell and the store does not answer it:
// other entries then make its writes.
func (n *Node) relaysOwnWrites() bool { return n.current.Load() != nil && n.store.Down() }

// ownerKnows reports whether this entry owns the cell and knows a job. It learns of jobs only
// once they are recorded, so a submission that is sent again needs no call to the store.
func (n *Node) ownerKnows(id string) bool {
	o := n.current.Load()
	if o == nil || n.opts.DisableAcceptance {
		return false
	}
	_, known := o.stateOf(id)
	return known
}

// submitForEntry records a job for another entry.
func (n *Node) submitForEntry(ctx context.Context, id string, value []byte, direct bool) Recorded {
	return n.acceptForEntry(direct, func() Recorded {
		if n.ownerKnows(id) {
			return RecordedYes
		}
		if n.opts.DisableAcceptance || n.relaysOwnWrites() {
			return n.submitOneWay(ctx, id, value)
		}
		return n.resolveForEntry(ctx, n.submission(id, value), direct)
	})
}

// cancelForEntry records a cancellation for another entry.
func (n *Node) cancelForEntry(ctx context.Context, id string, direct bool) Recorded {
	return n.acceptForEntry(direct, func() Recorded {
		if n.opts.DisableAcceptance || n.relaysOwnWrites() {
			return n.cancelOneWay(ctx, id)
		}
		return n.resolveForEntry(ctx, n.cancellation(id), direct)
	})
}

// submitOneWay writes a job by the way that the store's health suggests when it begins.
func (n *Node) submitOneWay(ctx context.Context, id string, value []byte) Recorded {
	if n.store.Down() {
		if o := n.current.Load(); o != nil {
			return o.recordViaRelay(ctx, jobPrefix+id, id, value)
		}
		return n.submitViaOwner(ctx, id, value)
	}
	return n.createJob(ctx, id, value)
}

// createJob writes a job to the store and sends the owner a hint of it.
func (n *Node) createJob(ctx context.Context, id string, value []byte) Recorded {
	recorded, fresh := n.create(ctx, jobPrefix+id, value)
	if fresh {
		n.hintOwner(id, value)
	}
	return recorded
}

// String returns the name of the result, as logged.
func (r Recorded) String() string {
	return [...]string{"yes", "no", "unknown", "not_found", "no_room"}[r]
}

// create writes a key if it does not exist. A key that exists counts as written: the
// same customer wrote it before. The result fresh is true if this call wrote it.
func (n *Node) create(ctx context.Context, key string, value []byte) (recorded Recorded, fresh bool) {
	began := n.clock()
	wait := backoff{minDelay: writeRetryMin, maxDelay: writeRetryMax}
	maybeDone := false
	for {
		tctx, cancel := context.WithTimeout(ctx, min(writeTryTimeout, writeBudget-(n.clock()-began)))
		res, err := n.store.Do(tctx, kv.Txn{
			If:   []kv.Compare{{Key: key, Missing: true}},
			Then: []kv.Op{kv.Put(key, value, 0)},
		})
		cancel()
		if err == nil {
			return RecordedYes, res.Succeeded
		}
		if !errors.Is(err, kv.ErrNotDone) {
			maybeDone = true
		}
		spent := n.clock() - began
		giveUp := spent > refusedBudget && !maybeDone || spent+writeRetryMax > writeBudget || n.store.Down()
		if giveUp || !sleep(ctx, wait.next()) {
			n.log.Warn().Str("event", "write_given_up").Str("key", key).Bool("maybe_done", maybeDone).Err(err).Dur("took", spent).Msg("")
			if maybeDone {
				return RecordedUnknown, false
			}
			return RecordedNo, false
		}
	}
}

// Cancel records a customer's request to cancel a job.
func (n *Node) Cancel(ctx context.Context, id string) Recorded {
	result := n.cancelRecord(ctx, id)
	n.log.Info().Str("event", "job_cancel_asked").Str("job", id).Str("recorded", result.String()).Msg("")
	return result
}

func (n *Node) cancelRecord(ctx context.Context, id string) Recorded {
	if n.opts.DisableAcceptance || n.relaysOwnWrites() {
		return n.cancelOneWay(ctx, id)
	}
	return n.resolve(ctx, n.cancellation(id), fromCaller, acceptance.End(n.clock(), callerWait(ctx)))
}

// cancelOneWay is submitOneWay for a cancellation.
func (n *Node) cancelOneWay(ctx context.Context, id string) Recorded {
	if n.store.Down() {
		if o := n.current.Load(); o != nil {
			return o.cancelViaRelay(ctx, id)
		}
		return n.cancelViaOwner(ctx, id)
	}
	_, known, err := n.State(ctx, id)
	if err != nil {
		return RecordedNo
	}
	// The cancellation is also recorded for an unknown job: its submission may still be under
	// way at the store, and the job would run after its customer was told that it does not exist.
	recorded, fresh := n.create(ctx, cancelPrefix+id, []byte("1"))
	if fresh {
		n.hintOwner(id, nil)
	}
	if recorded == RecordedYes && !known {
		return RecordedNotFound
	}
	return recorded
}

// State returns a job's state from the owner, or from the store if no owner
// answers. An error means that neither answered.
func (n *Node) State(ctx context.Context, id string) (job.Status, bool, error) {
	if state, ok := n.ownerState(ctx, id); ok {
		return state, true, nil
	}
	return n.storedState(ctx, id)
}

// storedState reads a job's state from the store.
func (n *Node) storedState(ctx context.Context, id string) (job.Status, bool, error) {
	if n.recordReads != nil {
		if err := n.recordReads.Acquire(ctx, 1); err != nil {
			return job.Status{}, false, errors.Annotate(err, "waiting to read the store")
		}
		defer n.recordReads.Release(1)
	}
	p, err := n.store.Get(ctx, progressPrefix+id)
	if err != nil {
		return job.Status{}, false, err
	}
	if p != nil {
		progress, err := dispatch.DecodeProgress(p.Value)
		if err != nil {
			n.logUnreadable("progress_unreadable", p.Key, p.ModRevision, err)
			return job.Status{}, false, errors.Trace(err)
		}
		return job.Status{State: progress.State, Reason: progress.Reason}, true, nil
	}
	p, err = n.store.Get(ctx, jobPrefix+id)
	if err != nil || p == nil {
		return job.Status{}, false, err
	}
	return job.Status{State: job.Queued}, true, nil
}

// stateOf returns the state of a job while this node owns the cell.
func (o *owner) stateOf(id string) (job.Status, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.core.JobStatus(id)
}

func (o *owner) pendingOf(queue string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.core.Pending(queue)
}

// maxPendingAge is how old a count of pending jobs may be; customers allow 2 s.
const maxPendingAge = 300 * time.Millisecond

// pendingCache caches counts of pending jobs for maxPendingAge. Its lock guards counts.
type pendingCache struct {
	mu     sync.Mutex
	counts map[string]pendingCount
}

type pendingCount struct {
	n  int
	at time.Duration
}

// Pending returns how many jobs of a queue have not started, and false if no
// owner answers.
func (n *Node) Pending(ctx context.Context, queue string) (int, bool) {
	n.pending.mu.Lock()
	c, ok := n.pending.counts[queue]
	n.pending.mu.Unlock()
	if ok && n.clock()-c.at < maxPendingAge {
		return c.n, true
	}
	count, ok := n.ownerPending(ctx, queue)
	if !ok {
		return 0, false
	}
	n.pending.mu.Lock()
	defer n.pending.mu.Unlock()
	if n.pending.counts == nil {
		n.pending.counts = map[string]pendingCount{}
	}
	n.pending.counts[queue] = pendingCount{count, n.clock()}
	return count, true
}
