// Package node is an entry process that schedules jobs: it accepts them into
// the store, takes part in the election of the cell's owner, and as owner runs
// dispatch.Core against the workers. All durable state is in the store.
package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"leverstile.dev/dispatch"
	"leverstile.dev/kv"
)

// Store is the part of the platform's store that a node uses.
type Store interface {
	kv.Store
	// Get reads one key; the pair is nil if the key does not exist.
	Get(ctx context.Context, key string) (*kv.Pair, error)
	// WatchLongPoll is Watch with a longer poll, and so fewer calls while nothing changes; it
	// takes some seconds longer to detect a watch that the store no longer answers.
	WatchLongPoll(ctx context.Context, prefix string, after int64, handle func(rev int64, events []kv.Event)) error
}

// Lister reads the platform's list of workers.
type Lister interface {
	ListWorkers(ctx context.Context) (dispatch.WorkerList, error)
}

// Workers sends requests to workers.
type Workers interface {
	Poll(ctx context.Context, req dispatch.PollRequest) (dispatch.PollReply, dispatch.Outcome)
	Send(ctx context.Context, o dispatch.Order) dispatch.Answer
	// Abort cancels the calls under way.
	Abort()
}

// Advisor calls the placement policy of a queue.
type Advisor interface {
	Advise(ctx context.Context, req dispatch.AdviceRequest) (dispatch.Advice, error)
}

// VMs asks the platform to start the maintenance of VMs.
type VMs interface {
	StartMaintenance(ctx context.Context, o dispatch.MaintenanceOrder) dispatch.MaintenanceOutcome
}

// Ports are the interfaces to the platform that a node uses.
type Ports struct {
	Store   Store
	Lister  Lister
	Workers Workers
	Advisor Advisor
	// VMs may be nil if no maintenance is requested.
	VMs VMs
}

// Keys in the store.
const (
	// leadKey holds the owner, under its lease.
	leadKey = "ls/own/lead"
	// termKey holds the highest fencing token reserved by the latest term. The next term
	// starts above it, also that of an entry which uses one token a term.
	termKey = "ls/own/term"
	// chainKey is written with every record of the owner, under the condition that it is
	// unchanged since the owner's previous write: a write whose answer was lost can't take
	// effect after a later one. It holds the owner as leadKey does, also once the lease is over.
	chainKey = "ls/own/chain"
	// rosterKey holds rosterInParts, and rosterPrefix the parts of the list of all workers
	// that may have orders. An entry that expects the whole list under rosterKey reads that
	// value as a damaged list.
	rosterKey     = "ls/own/roster"
	rosterPrefix  = rosterKey + "/"
	rosterInParts = "parts"
	// unreadKey holds the tasks that may have run at workers which were lost before the
	// owner read their lists.
	unreadKey = "ls/own/unheard"
	// settledKey holds the term of the last owner that had resolved all workers of its
	// predecessors: none of them can extend a lease any more.
	settledKey = "ls/own/settled"
	// sealsKey holds, as sealsRecord, since which term owners keep to the seals in the roster,
	// and elapsedKey the elapsed time by which these expire.
	sealsKey   = "ls/own/seals"
	elapsedKey = "ls/own/elapsed"
	// learntKey holds the owner's stored models: the estimates of run times and interference,
	// and the demand of short tasks.
	learntKey = "ls/own/learnt"
	// queuesKey holds the settings of the queues that the owner knows.
	queuesKey = "ls/own/queues"
	// intakePrefix holds the intake: the jobs and cancellations that entries record for the
	// owner.
	intakePrefix = "ls/in/"
	jobPrefix    = intakePrefix + "job/"
	cancelPrefix = intakePrefix + "cancel/"
	// progressPrefix holds the progress of jobs, written by the owner.
	progressPrefix = "ls/progress/"
	// ownPrefix holds the records that owners keep for their successors.
	ownPrefix = "ls/own/"
)

// storeHealth tracks whether the store answers this process. It wraps the store, so
// that every call counts.
type storeHealth struct {
	Store
	lastOK   atomic.Int64 // steady clock, in nanoseconds
	failures atomic.Int32 // in a row
	clock    func() time.Duration
	changed  func(up bool, err error)
}

// Thresholds of the store's health.
const (
	// downFailures is the number of failed calls in a row, and downOutage the time without a
	// success, after which the store counts as down and callers make no calls that need it.
	downFailures = 2
	downOutage   = 400 * time.Millisecond
	// unreadyOutage is the outage after which the entry is not ready: shorter outages hit
	// all entries alike, and sending callers to another entry would not help them.
	unreadyOutage = 2500 * time.Millisecond
)

// record counts the outcome of a call. A missing lease and a compacted history are answers
// of the store, not failures.
func (h *storeHealth) record(err error) {
	if err == nil || errors.Is(err, kv.ErrLeaseNotFound) || errors.Is(err, kv.ErrCompacted) {
		h.lastOK.Store(int64(h.clock()))
		if h.failures.Swap(0) >= downFailures {
			h.changed(true, nil)
		}
		return
	}
	if h.failures.Add(1) == downFailures {
		h.changed(false, err)
	}
}

// outage returns for how long the store has not answered, 0 while it answers.
func (h *storeHealth) outage() time.Duration {
	if h.failures.Load() < downFailures {
		return 0
	}
	return h.clock() - time.Duration(h.lastOK.Load())
}

// sinceAnswer returns the time since the store last answered this process.
func (h *storeHealth) sinceAnswer() time.Duration { return h.clock() - time.Duration(h.lastOK.Load()) }

// Down reports whether callers should not wait for the store.
func (h *storeHealth) Down() bool { return h.outage() > downOutage }

// Range implements kv.Store.
func (h *storeHealth) Range(ctx context.Context, prefix string) ([]kv.Pair, int64, error) {
	pairs, rev, err := h.Store.Range(ctx, prefix)
	h.record(err)
	return pairs, rev, err
}

// Get implements Store.
func (h *storeHealth) Get(ctx context.Context, key string) (*kv.Pair, error) {
	p, err := h.Store.Get(ctx, key)
	h.record(err)
	return p, err
}

// Do implements kv.Store.
func (h *storeHealth) Do(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	r, err := h.Store.Do(ctx, txn)
	h.record(err)
	return r, err
}

// Grant implements kv.Store.
func (h *storeHealth) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	lease, err := h.Store.Grant(ctx, ttl)
	h.record(err)
	return lease, err
}

// KeepAlive implements kv.Store.
func (h *storeHealth) KeepAlive(ctx context.Context, lease int64) error {
	err := h.Store.KeepAlive(ctx, lease)
	h.record(err)
	return err
}

// watchFunc is Watch or WatchLongPoll of a store.
type watchFunc func(ctx context.Context, prefix string, after int64, handle func(int64, []kv.Event)) error

// Watch implements kv.Store.
func (h *storeHealth) Watch(ctx context.Context, prefix string, after int64, handle func(int64, []kv.Event)) error {
	return h.recorded(h.Store.Watch)(ctx, prefix, after, handle)
}

// WatchLongPoll implements Store.
func (h *storeHealth) WatchLongPoll(ctx context.Context, prefix string, after int64, handle func(int64, []kv.Event)) error {
	return h.recorded(h.Store.WatchLongPoll)(ctx, prefix, after, handle)
}

// recorded returns a watch whose answers count for the store's health.
func (h *storeHealth) recorded(watch watchFunc) watchFunc {
	return func(ctx context.Context, prefix string, after int64, handle func(int64, []kv.Event)) error {
		err := watch(ctx, prefix, after, func(rev int64, events []kv.Event) {
			h.record(nil)
			handle(rev, events)
		})
		if ctx.Err() == nil {
			h.record(err)
		}
		return err
	}
}
