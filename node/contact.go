package node

import (
	"context"
	"slices"
	"time"

	"leverstile.dev/dispatch"
)

// Limits and intervals of the calls to workers.
const (
	// freezeMargin is added to the platform's slack for late timers before a
	// pause counts as a freeze.
	freezeMargin = 200 * time.Millisecond
	// slotTimeout is how long an order may wait to be sent: a start must arrive
	// within 1.4 s of its decision, retries included.
	slotTimeout = 500 * time.Millisecond
	// pollerCheckInterval is the shortest pause between checks for workers without a poller.
	pollerCheckInterval = 50 * time.Millisecond
)

// syncPollers starts a poller, a goroutine that runs pollLoop, for each worker that has none,
// and ends the pollers of workers that are gone.
func (o *owner) syncPollers() {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := map[dispatch.WorkerID]bool{}
	for _, id := range o.awaitedFirst(o.core.Workers()) {
		known[id] = true
		if o.pollers[id] == nil {
			ctx, cancel := context.WithCancel(o.ctx)
			o.pollers[id] = cancel
			turn := o.firstPolls.join()
			o.running.Go(func() {
				if awaitTurn(ctx, turn) {
					o.pollLoop(ctx, id)
				}
			})
		}
	}
	for id, cancel := range o.pollers {
		if !known[id] {
			cancel()
			delete(o.pollers, id)
		}
	}
}

// awaitedFirst sorts workers that a recovery waits for before all others.
func (o *owner) awaitedFirst(ids []dispatch.WorkerID) []dispatch.WorkerID {
	slices.SortStableFunc(ids, func(a, b dispatch.WorkerID) int {
		return awaitedRank(o.core, a) - awaitedRank(o.core, b)
	})
	return ids
}

func awaitedRank(c *dispatch.Core, id dispatch.WorkerID) int {
	if c.Awaits(id) {
		return 0
	}
	return 1
}

// pollersLoop starts and ends pollers when workers come and go between two reads of the
// list. Many changes at once, as when a data centre is lost, take one check of all workers.
func (o *owner) pollersLoop() {
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.pollerEnded:
		}
		o.syncPollers()
		if !sleep(o.ctx, pollerCheckInterval) {
			return
		}
	}
}

// pollLoop renews the leases at one worker and reads its lists.
func (o *owner) pollLoop(ctx context.Context, id dispatch.WorkerID) {
	for ctx.Err() == nil {
		var plan dispatch.PollPlan
		o.locked(func(c *dispatch.Core, now dispatch.Instant) {
			plan = c.PlanPoll(id, now)
			if plan.Gone && ctx.Err() == nil {
				// A worker that comes back before the next syncPollers gets a new one.
				o.pollers[id]()
				delete(o.pollers, id)
			}
		})
		if plan.Gone {
			signal(o.pollerEnded) // the worker's next incarnation may be listed
			return
		}
		if !plan.Send {
			sleep(ctx, plan.Pause)
			continue
		}
		if !o.mayAct(ctx) {
			return
		}
		reply, outcome := o.node.workers.Poll(ctx, plan.Request)
		if ctx.Err() != nil {
			return
		}
		var pause time.Duration
		o.locked(func(c *dispatch.Core, now dispatch.Instant) {
			pause = c.PollDone(plan.Request, reply, outcome, now)
		})
		signal(o.wake)
		sleep(ctx, pause)
	}
}

// send makes one call to a worker and processes the answer.
func (o *owner) send(order dispatch.Order) {
	if order.Kind != dispatch.OrderStop {
		if !o.awaitSlot() {
			// The order was never sent. The core decides again with its current state.
			o.locked(func(c *dispatch.Core, now dispatch.Instant) {
				c.OrderDone(order, dispatch.Answer{Outcome: dispatch.OutcomeNotSent}, now)
			})
			return
		}
		defer func() { <-o.slots }()
	}
	answer := dispatch.Answer{Outcome: dispatch.OutcomeUnknown}
	if o.mayAct(o.ctx) {
		answer = o.node.workers.Send(o.ctx, order)
	}
	if o.ctx.Err() != nil {
		return
	}
	o.locked(func(c *dispatch.Core, now dispatch.Instant) { c.OrderDone(order, answer, now) })
	if order.Kind == dispatch.OrderStart && answer.Outcome != dispatch.OutcomeOK {
		signal(o.wake)
	}
}

// awaitSlot waits until one more order may be in flight. It reports false after
// slotTimeout, when the order is out of date, and once the ownership has ended.
func (o *owner) awaitSlot() bool {
	select {
	case o.slots <- struct{}{}:
		return true
	default:
	}
	began := o.node.clock()
	timer := time.NewTimer(slotTimeout)
	defer timer.Stop()
	sent := false
	select {
	case o.slots <- struct{}{}:
		sent = true
	case <-timer.C:
	case <-o.ctx.Done():
	}
	o.recordWait(o.node.clock() - began)
	return sent
}

// recordWait records how long an order waited to be sent.
func (o *owner) recordWait(d time.Duration) {
	for {
		longest := o.longestWait.Load()
		if int64(d) <= longest || o.longestWait.CompareAndSwap(longest, int64(d)) {
			return
		}
	}
}

// mayAct waits while the owner is suspended after a freeze; it reports false
// once the ownership has ended.
func (o *owner) mayAct(ctx context.Context) bool {
	for ctx.Err() == nil {
		o.mu.Lock()
		o.detectFreeze()
		suspended := o.suspended
		o.mu.Unlock()
		if !suspended {
			return true
		}
		sleep(ctx, tickInterval/4)
	}
	return false
}

// detectFreeze suspends calls to workers after a freeze, a time in which the process did
// not run: the lease may have expired. The next renewal resumes them.
func (o *owner) detectFreeze() {
	now := o.node.clock()
	if pause := now - o.lastAlive; pause > tickInterval+o.node.opts.FreezeSlack+freezeMargin && !o.suspended {
		o.suspended = true
		o.node.log.Warn().Str("event", "owner_suspended").Dur("pause", pause).Msg("")
	}
	o.lastAlive = max(o.lastAlive, now)
}

// requestAdvice makes one call to the placement policy. The core requests the next one only
// after this has ended.
func (o *owner) requestAdvice(req dispatch.AdviceRequest) {
	answer, err := o.node.advisor.Advise(o.ctx, req)
	if o.ctx.Err() != nil {
		return
	}
	if err != nil {
		o.node.log.Warn().Str("event", "advice_unanswered").Str("task", req.Task.String()).Err(err).Msg("")
	}
	o.locked(func(c *dispatch.Core, now dispatch.Instant) { c.AdviceDone(req, answer, err == nil, now) })
	signal(o.wake)
}
