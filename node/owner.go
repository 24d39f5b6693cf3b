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

// Figures of the owner's loops.
const (
	// tickPause is the pause between ticks of the core.
	tickPause = 100 * time.Millisecond
	// schedulePause bounds how often the core schedules.
	schedulePause = 8 * time.Millisecond
	// mostOrders under way at once; more wait. At 1,000 starts a second and 5 ms
	// a call there are 5. Stops and polls don't wait: what runs must not be lost.
	mostOrders = 256
	// On a small link fewer are under way: what it carries in linkAhead, at
	// orderBytes a start, mostly the job's payload. A call is given up after 400
	// ms and sent again: with 256 under way on 2 Mbit/s, 1,205 calls got no answer
	// in the first 4 s and 291 starts were confirmed, and leases lapsed since
	// polls came late. With this bound 0.17 instead of 0.05 of the work was
	// served there, and none lapsed on a calm day; half and twice of linkAhead
	// give the same.
	linkAhead  = 100 * time.Millisecond
	orderBytes = 2700
	// leastOrders are under way however small the link.
	leastOrders = 8
	// handOverWrites is the most writes at a handover: one of flushRecords jobs mostly
	// holds all. The first is refused if the one that the end of the ownership broke
	// off was carried out all the same.
	handOverWrites = 4
	// abortPause is the pause before calls that are still under way at the end of an
	// ownership are broken off again.
	abortPause = 20 * time.Millisecond
)

// ordersFor returns how many orders may be under way on a link that carries so
// many bytes a second; 0 is not known.
func ordersFor(linkBytes float64) int {
	if linkBytes <= 0 {
		return mostOrders
	}
	return min(max(int(linkBytes*linkAhead.Seconds()/orderBytes), leastOrders), mostOrders)
}

// errNotOwner ends an ownership.
var errNotOwner = errors.New("no longer the owner")

// owner runs the core for one term. mu guards core and polled; no call is made
// while it is held.
type owner struct {
	node *Node
	own  *ownership

	// writing is held during a write of progress; it is taken before mu. It guards
	// unsure, which is set if the newest write may have been carried out without an
	// answer, rosterMarked, which is set once the store tells that the roster is in
	// parts, and removal.
	writing      sync.Mutex
	unsure       bool
	rosterMarked bool
	removal      unsureRemoval
	mu           sync.Mutex
	core         *dispatch.Core
	polled       map[dispatch.WorkerID]context.CancelFunc
	// firstPolls paces the first poll of each worker: after a takeover all are due at once.
	firstPolls *pacer

	// slots holds a value for each start or change of pace under way.
	slots chan struct{}
	// waited is the longest that an order waited to be sent since the last tick,
	// in nanoseconds.
	waited   atomic.Int64
	wake     chan struct{} // the core has something to schedule
	flushNow chan struct{}
	repoll   chan struct{} // a poller has ended since its worker is gone
	ctx      context.Context
	stop     context.CancelCauseFunc
	// asking is held by the one call to the placement policy at a time that
	// it takes of a VM.
	asking  sync.Mutex
	running sync.WaitGroup
	// lastAlive is when the process last proved to itself that it runs.
	lastAlive time.Duration
	// waveRecords is what the store held of waves at the takeover, by key. It is
	// not changed after the core is in place.
	waveRecords map[string][]byte
	suspended   bool
}

// runOwner owns the cell until the ownership ends.
func (n *Node) runOwner(ctx context.Context, own *ownership) error {
	octx, stop := context.WithCancelCause(ctx)
	o := &owner{
		node: n, own: own, polled: map[dispatch.WorkerID]context.CancelFunc{},
		slots: make(chan struct{}, ordersFor(n.opts.LinkBytes)), wake: make(chan struct{}, 1), flushNow: make(chan struct{}, 1),
		repoll: make(chan struct{}, 1), firstPolls: newPacer(n.clock, runtime.Gosched), ctx: octx, stop: stop, lastAlive: n.clock(),
	}
	n.log.Info().Str("event", "owner_begin").Uint64("term", own.lead.Term).Msg("")
	o.running.Go(o.renewLoop)
	o.running.Go(o.aliveLoop)
	rev, err := o.load()
	if err == nil {
		n.current.Store(o)
		o.locked(o.applyWaves) // one may have been seen since the load
		o.locked(o.applyEvacuations)
		o.running.Go(func() { o.intakeLoop(rev) })
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
	ours := octx.Err() == nil || ctx.Err() != nil
	o.end()
	if ours {
		o.handOver()
	}
	n.log.Info().Str("event", "owner_end").Uint64("term", own.lead.Term).Err(cause).Msg("")
	return nil
}

// end stops all that decides and sends. Once it returns, nothing more is sent
// under this term.
func (o *owner) end() {
	o.node.current.CompareAndSwap(o, nil)
	o.node.sparing.Store(false)
	o.stop(errNotOwner)
	over := make(chan struct{})
	go func() {
		o.running.Wait()
		close(over)
	}()
	// Long polls would hold up the next election for seconds. A call that waited
	// for a connection begins only when others are broken off.
	for {
		o.node.workers.Abort()
		select {
		case <-over:
			return
		case <-time.After(abortPause):
		}
	}
}

// handOver writes what waits and gives up the lease, so that the next owner
// need not wait for it to lapse. It comes after end: the call that gives up the
// lease may take effect a second before its answer comes, and until then the
// core counts the lease as sure. Jobs handed in meanwhile would be started by both
// owners. Leases at workers outlast the handover.
func (o *owner) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	for range handOverWrites {
		if o.flush(ctx) && !o.unwritten() {
			break
		}
	}
	o.node.endLease(o.own.lease)
}

// unwritten reports whether something waits to be written.
func (o *owner) unwritten() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.core != nil && (o.core.Dirty() || o.core.RosterStale())
}

func (o *owner) now() dispatch.Instant { return o.node.instant() }

// locked runs f on the core and sends the orders that it leads to, until the
// ownership ends.
func (o *owner) locked(f func(c *dispatch.Core, now dispatch.Instant)) {
	o.mu.Lock()
	now := o.now()
	f(o.core, now)
	orders := o.core.TakeOrders()
	asks := o.core.TakeAdviceRequests()
	upkeeps := o.core.TakeMaintenanceOrders()
	dirty := o.core.Dirty() || o.core.RosterStale()
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
	for _, ask := range asks {
		o.running.Go(func() { o.ask(ask) })
	}
	for _, order := range upkeeps {
		o.running.Go(func() { o.beginMaintenance(order) })
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// renewLoop renews the lease. An owner that the store does not answer goes on
// until the horizon; one whose lease is over stops at once.
func (o *owner) renewLoop() {
	for {
		sent := o.node.clock()
		pause := ownerRenewRetry
		err := o.renewLease()
		switch {
		case o.ctx.Err() != nil:
			return
		case err == nil:
			o.renewed(sent)
			pause = ownerRenew
		case errors.Is(err, kv.ErrLeaseNotFound):
			o.node.log.Warn().Str("event", "lease_lost").Uint64("term", o.own.lead.Term).Msg("")
			o.stop(errNotOwner)
			return
		case o.node.clock()-o.own.renewed > ownerHorizon:
			o.node.log.Warn().Str("event", "lease_horizon").Err(err).Msg("")
			o.stop(errNotOwner)
			return
		}
		if !sleep(o.ctx, pause) {
			return
		}
	}
}

func (o *owner) renewed(sent time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.own.renewed = sent
	if o.suspended {
		o.suspended = false
		o.node.log.Info().Str("event", "owner_resumed").Msg("")
	}
	if o.core != nil {
		o.core.Renewed(sent)
	}
}

// aliveLoop notices freezes, from the first moment of an ownership on: reading the
// state of 2,670 workers takes 0.9 s, which looked like a freeze afterwards, and
// the first poll waited up to 0.5 s for the next renewal.
func (o *owner) aliveLoop() {
	for sleep(o.ctx, tickPause) {
		o.mu.Lock()
		o.noticeFreeze()
		o.mu.Unlock()
	}
}

func (o *owner) tickLoop() {
	for began := o.node.clock(); sleep(o.ctx, tickPause); began = o.node.clock() {
		late := max(o.node.clock()-began-tickPause, time.Duration(o.waited.Swap(0)))
		o.locked(func(c *dispatch.Core, now dispatch.Instant) {
			c.ObserveLateness(late, now)
			c.Tick(now)
			load, _ := c.Load()
			o.node.sparing.Store(load >= dispatch.LoadFewReadings)
		})
	}
}

// scheduleLoop schedules after events, several at once.
func (o *owner) scheduleLoop() {
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.wake:
		}
		o.locked(func(c *dispatch.Core, now dispatch.Instant) { c.Schedule(now) })
		if !sleep(o.ctx, schedulePause) {
			return
		}
	}
}
