package node

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"leverstile.dev/dispatch"
	"leverstile.dev/kv"
)

// Limits and intervals of the owner's loops.
const (
	// tickInterval is the pause between ticks of the core.
	tickInterval = 100 * time.Millisecond
	// scheduleInterval is the shortest pause between scheduling passes of the core.
	scheduleInterval = 8 * time.Millisecond
	// maxOrders is the most orders in flight at once; further ones wait. At 1,000 starts a
	// second and 5 ms a call, 5 are in flight. Stops and polls don't wait: running tasks must
	// not be lost.
	maxOrders = 256
	// linkWindow bounds the orders in flight on a small link to what it carries in that
	// time, at orderBytes a start, which are mostly the job's payload. A call times out
	// after 400 ms and is sent again: with 256 in flight on 2 Mbit/s, 1,205 calls got no
	// answer in the first 4 s, 291 starts were confirmed, and leases expired since polls
	// came late.
	linkWindow = 100 * time.Millisecond
	orderBytes = 2700
	// minOrders may be in flight however small the link is.
	minOrders = 8
	// maxHandoverWrites is the most writes at a handover: one of maxFlushRecords jobs
	// mostly holds all. The first is refused if the write that the end of the ownership
	// aborted was carried out nevertheless.
	maxHandoverWrites = 4
	// abortInterval is the pause before calls that are still in flight at the end of an
	// ownership are aborted again.
	abortInterval = 20 * time.Millisecond
)

// orderLimit returns how many orders may be in flight on a link of so many bytes per
// second; 0 means unknown.
func orderLimit(linkBytes float64) int {
	if linkBytes <= 0 {
		return maxOrders
	}
	return min(max(int(linkBytes*linkWindow.Seconds()/orderBytes), minOrders), maxOrders)
}

// errNotOwner ends an ownership.
var errNotOwner = errors.New("no longer the owner")

// owner runs the core for one term. mu guards core and pollers; no call is made
// while it is held.
type owner struct {
	node *Node
	own  *ownership

	// writing is held during a write of progress and is locked before mu. It guards
	// lastWriteUnknown, which is set if the newest write may have been carried out without
	// an answer, rosterMarked, which is set once the store records that the roster is
	// stored in parts, and removal.
	writing          sync.Mutex
	lastWriteUnknown bool
	rosterMarked     bool
	// settledStored is set once the store holds settledKey of this term.
	settledStored bool
	removal       unansweredRemoval
	mu            sync.Mutex
	core          *dispatch.Core
	pollers       map[dispatch.WorkerID]context.CancelFunc
	// firstPolls delays the first poll of each worker: after a takeover all are due at once.
	firstPolls *pacer

	// slots holds a value for each order in flight other than stops: starts and changes of
	// a run's pace, its CPU share limit.
	slots chan struct{}
	// longestWait is the longest time that an order waited to be sent since the last
	// tick, in nanoseconds.
	longestWait atomic.Int64
	wake        chan struct{} // the core has something to schedule
	flushNow    chan struct{}
	pollerEnded chan struct{} // a poller has ended because its worker is gone
	ctx         context.Context
	stop        context.CancelCauseFunc
	running     sync.WaitGroup
	// lastAlive is when the process was last observed to run.
	lastAlive time.Duration
	// waveRecords are the stored records of maintenance waves at the takeover, by key.
	// They don't change after the core is in place.
	waveRecords map[string][]byte
	// settledBefore is set if the previous owner had resolved all workers of those before it.
	settledBefore bool
	// suspended is set after a freeze until the lease is renewed; meanwhile no call to a
	// worker is made.
	suspended bool
}

// runOwner owns the cell until the ownership ends.
func (n *Node) runOwner(ctx context.Context, own *ownership) error {
	octx, stop := context.WithCancelCause(ctx)
	o := &owner{
		node: n, own: own, pollers: map[dispatch.WorkerID]context.CancelFunc{},
		slots: make(chan struct{}, orderLimit(n.opts.LinkBytes)), wake: make(chan struct{}, 1), flushNow: make(chan struct{}, 1),
		pollerEnded: make(chan struct{}, 1), firstPolls: newPacer(n.clock, runtime.Gosched), ctx: octx, stop: stop, lastAlive: n.clock(),
	}
	n.owning.Store(o)
	o.logBegin()
	o.running.Go(o.renewLoop)
	o.running.Go(o.freezeLoop)
	rev, err := o.load()
	if err == nil {
		n.current.Store(o)
		o.locked(o.applyWaves) // a wave may have been read since the load
		o.locked(o.applyEvacuations)
		o.running.Go(func() { o.intakeLoop(rev) })
		o.running.Go(o.askPredecessor)
		o.running.Go(o.listLoop)
		o.running.Go(o.pollersLoop)
		o.running.Go(o.tickLoop)
		o.running.Go(o.scheduleLoop)
		o.running.Go(o.flushLoop)
		select {
		case <-octx.Done():
		case <-n.drained:
		}
	}
	cause := context.Cause(octx)
	stillOwner := octx.Err() == nil || ctx.Err() != nil
	o.end()
	o.recordEnded()
	n.owning.Store(nil)
	if stillOwner {
		o.handOver()
	}
	o.logEnd(cause)
	return nil
}

// logBegin logs the takeover and its predecessor.
func (o *owner) logBegin() {
	e := o.node.log.Info().Str("event", "owner_begin").Uint64("term", o.own.lead.Term).
		Dur("vacant", o.own.vacantFor).Dur("acquire", o.own.acquireTook)
	if p := o.own.predecessor; p != nil {
		e = e.Str("predecessor", p.Entry).Uint64("predecessor_term", p.Term)
	}
	e.Msg("")
}

// logEnd logs the end of the ownership, and which leases may last at workers that do not answer.
func (o *owner) logEnd(cause error) {
	o.mu.Lock()
	silent, longest := 0, time.Duration(0)
	if o.core != nil {
		silent, longest = o.core.SilentLeases(o.now())
	}
	o.mu.Unlock()
	o.node.log.Info().Str("event", "owner_end").Uint64("term", o.own.lead.Term).Dur("since_renewal", o.node.clock()-o.own.lastRenewal).
		Int("silent_workers", silent).Dur("their_leases", longest).Err(cause).Msg("")
}

// end stops everything that decides and sends. Once it returns, nothing more is sent
// under this term.
func (o *owner) end() {
	o.node.current.CompareAndSwap(o, nil)
	o.node.skipRoutineLogs.Store(false)
	o.stop(errNotOwner)
	over := make(chan struct{})
	go func() {
		o.running.Wait()
		close(over)
	}()
	// Long polls would delay the next election by seconds. A call that waited for a
	// connection starts only when others are aborted.
	for {
		o.node.workers.Abort()
		select {
		case <-over:
			return
		case <-time.After(abortInterval):
		}
	}
}

// handOver writes unwritten changes and revokes the lease, so that the next owner
// need not wait for it to expire. It comes after end: the call that revokes the
// lease may take effect a second before its answer comes, and until then the
// core counts the lease as held for certain. Jobs submitted meanwhile would be started
// by both owners. Leases at workers outlast the handover.
func (o *owner) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	for range maxHandoverWrites {
		if o.flush(ctx) && !o.unwritten() {
			break
		}
	}
	o.node.revokeLease(o.own.lease)
}

// unwritten reports whether changes of the core are still to be written.
func (o *owner) unwritten() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.core != nil && changed(o.core)
}

// changed reports whether the core has changes that the store lacks.
func changed(c *dispatch.Core) bool {
	return c.Dirty() || c.RosterStale() || c.QueuesStale() || c.ElapsedDue()
}

func (o *owner) now() dispatch.Instant { return o.node.instant() }

// locked runs f on the core and sends the orders that result from it, until the
// ownership ends.
func (o *owner) locked(f func(c *dispatch.Core, now dispatch.Instant)) {
	o.mu.Lock()
	now := o.now()
	f(o.core, now)
	orders := o.core.TakeOrders()
	adviceRequests := o.core.TakeAdviceRequests()
	maintenanceOrders := o.core.TakeMaintenanceOrders()
	dirty := changed(o.core)
	deposed := o.core.Deposed()
	o.mu.Unlock()
	if deposed {
		o.stop(errNotOwner)
	}
	if dirty {
		signal(o.flushNow)
	}
	if o.ctx.Err() != nil {
		return
	}
	for _, order := range orders {
		o.running.Go(func() { o.send(order) })
	}
	for _, request := range adviceRequests {
		o.running.Go(func() { o.requestAdvice(request) })
	}
	for _, order := range maintenanceOrders {
		o.running.Go(func() { o.startMaintenance(order) })
	}
}

// signal wakes the loop that reads c, unless a signal is pending already.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// renewLoop renews the lease. An owner that gets no answer from the store continues
// until ownerHorizon; one whose lease has expired stops at once.
func (o *owner) renewLoop() {
	for {
		sent := o.node.clock()
		pause := renewRetryInterval
		err := o.renewLease()
		switch {
		case o.ctx.Err() != nil:
			return
		case err == nil:
			o.recordRenewal(sent)
			pause = renewInterval
		case errors.Is(err, kv.ErrLeaseNotFound):
			o.node.log.Warn().Str("event", "lease_lost").Uint64("term", o.own.lead.Term).Msg("")
			o.stop(errNotOwner)
			return
		case o.node.clock()-o.own.lastRenewal > ownerHorizon:
			o.node.log.Warn().Str("event", "lease_horizon").Err(err).Msg("")
			o.stop(errNotOwner)
			return
		}
		if !sleep(o.ctx, pause) {
			return
		}
	}
}

// recordRenewal records a successful renewal that was sent at the given time.
func (o *owner) recordRenewal(sent time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.own.lastRenewal = sent
	if o.suspended {
		o.suspended = false
		o.node.log.Info().Str("event", "owner_resumed").Msg("")
	}
	if o.core != nil {
		o.core.Renewed(sent)
	}
}

// freezeLoop detects freezes from the start of an ownership on: reading the
// state of 2,670 workers takes 0.9 s, which would look like a freeze afterwards, and
// the first poll would wait up to 0.5 s for the next renewal.
func (o *owner) freezeLoop() {
	for sleep(o.ctx, tickInterval) {
		o.mu.Lock()
		o.detectFreeze()
		o.mu.Unlock()
	}
}

// tickLoop calls the core's Tick at fixed intervals and reports to it how late the process
// runs.
func (o *owner) tickLoop() {
	for began := o.node.clock(); sleep(o.ctx, tickInterval); began = o.node.clock() {
		late := max(o.node.clock()-began-tickInterval, time.Duration(o.longestWait.Swap(0)))
		o.locked(func(c *dispatch.Core, now dispatch.Instant) {
			c.ObserveLateness(late, now)
			c.Tick(now)
			load, _ := c.Load()
			o.node.skipRoutineLogs.Store(load >= dispatch.LoadFewReadings)
		})
	}
}

// scheduleLoop runs a scheduling pass after events; one pass serves all that arrived since
// the previous one.
func (o *owner) scheduleLoop() {
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.wake:
		}
		o.locked(func(c *dispatch.Core, now dispatch.Instant) { c.Schedule(now) })
		if !sleep(o.ctx, scheduleInterval) {
			return
		}
	}
}
