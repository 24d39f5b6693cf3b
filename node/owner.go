package node

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"leverstile.dev/dispatch"
	"leverstile.dev/job"
	"leverstile.dev/kv"
)

// Figures of the owner's loops.
const (
	// tickPause is the pause between ticks of the core.
	tickPause = 100 * time.Millisecond
	// listPause is the pause between reads of the list of workers. A worker
	// that drains must get no new work within 2 s.
	listPause = 700 * time.Millisecond
	// schedulePause bounds how often the core schedules.
	schedulePause = 8 * time.Millisecond
	// flushPause gathers changes of progress into one write.
	flushPause = 40 * time.Millisecond
	// flushPauseBehind is the same while more jobs wait than one write takes:
	// at most 70 writes a second, of 400 that the store takes.
	flushPauseBehind = 10 * time.Millisecond
	// flushRecords is the most records in one write: the store takes 32
	// entries, of which two are conditions and three other keys.
	flushRecords = 27
	// idleFlush is the pause after which a flush is tried without news: for what
	// was learnt, and for records to be removed.
	idleFlush = 3 * time.Second
	// removeJobs is the most finished jobs whose three records are removed in
	// one write.
	removeJobs = 8
	// flushTimeout bounds one write; a slow store takes 400 ms.
	flushTimeout = 1500 * time.Millisecond
	// loadRetry is the longest pause between tries to read the store at
	// takeover.
	loadRetryMin = 50 * time.Millisecond
	loadRetryMax = 500 * time.Millisecond
	// freezeMargin is added to the platform's slack for late timers before a
	// pause counts as a freeze.
	freezeMargin = 200 * time.Millisecond
)

// errNotOwner ends an ownership.
var errNotOwner = errors.New("no longer the owner")

// owner runs the core for one term. mu guards core and polled; no call is made
// while it is held.
type owner struct {
	node *Node
	own  *ownership

	mu     sync.Mutex
	core   *dispatch.Core
	polled map[dispatch.WorkerID]context.CancelFunc

	wake     chan struct{} // the core has something to schedule
	flushNow chan struct{}
	ctx      context.Context
	stop     context.CancelCauseFunc
	running  sync.WaitGroup
	// lastAlive is when the process last proved to itself that it runs.
	lastAlive time.Duration
	suspended bool
}

// runOwner owns the cell until the ownership ends.
func (n *Node) runOwner(ctx context.Context, own *ownership) error {
	octx, stop := context.WithCancelCause(ctx)
	o := &owner{
		node: n, own: own, polled: map[dispatch.WorkerID]context.CancelFunc{},
		wake: make(chan struct{}, 1), flushNow: make(chan struct{}, 1),
		ctx: octx, stop: stop, lastAlive: n.clock(),
	}
	n.log.Info().Str("event", "owner_begin").Uint64("term", own.lead.Term).Msg("")
	o.running.Go(o.renewLoop)
	rev, err := o.load()
	if err == nil {
		n.current.Store(o)
		o.running.Go(func() { o.intakeLoop(rev) })
		o.running.Go(o.listLoop)
		o.running.Go(o.tickLoop)
		o.running.Go(o.scheduleLoop)
		o.running.Go(o.flushLoop)
		select {
		case <-octx.Done():
		case <-n.drained:
		}
	}
	cause := context.Cause(octx)
	n.current.CompareAndSwap(o, nil)
	if octx.Err() == nil || ctx.Err() != nil {
		o.handOver()
	}
	stop(errNotOwner)
	o.running.Wait()
	n.log.Info().Str("event", "owner_end").Uint64("term", own.lead.Term).Err(cause).Msg("")
	return nil
}

// handOver writes what waits and gives up the lease, so that the next owner
// need not wait for it to lapse.
func (o *owner) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	for range 3 {
		if !o.flush(ctx) {
			break
		}
	}
	o.node.endLease(o.own.lease)
}

func (o *owner) now() dispatch.Instant { return o.node.instant() }

// locked runs f on the core and sends the orders that it leads to.
func (o *owner) locked(f func(c *dispatch.Core, now dispatch.Instant)) {
	o.mu.Lock()
	now := o.now()
	f(o.core, now)
	orders := o.core.TakeOrders()
	dirty := o.core.Dirty() || o.core.RosterStale()
	deposed := o.core.Deposed()
	o.mu.Unlock()
	if deposed {
		o.stop(errNotOwner)
	}
	if dirty {
		signal(o.flushNow)
	}
	for _, order := range orders {
		o.running.Go(func() { o.send(order) })
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
		err := o.node.store.KeepAlive(o.ctx, o.own.lease)
		switch {
		case o.ctx.Err() != nil:
			return
		case err == nil:
			o.renewed(sent)
		case errors.Is(err, kv.ErrLeaseNotFound):
			o.node.log.Warn().Str("event", "lease_lost").Uint64("term", o.own.lead.Term).Msg("")
			o.stop(errNotOwner)
			return
		case o.node.clock()-o.own.renewed > ownerHorizon:
			o.node.log.Warn().Str("event", "lease_horizon").Err(err).Msg("")
			o.stop(errNotOwner)
			return
		}
		if !sleep(o.ctx, ownerRenew) {
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

// load builds the core from the store. It returns the revision from which the
// intake is watched.
func (o *owner) load() (int64, error) {
	wait := backoff{least: loadRetryMin, most: loadRetryMax}
	for {
		rev, err := o.loadOnce()
		if err == nil {
			return rev, nil
		}
		o.node.log.Warn().Str("event", "load_failed").Err(err).Msg("")
		if !sleep(o.ctx, wait.next()) {
			return 0, errNotOwner
		}
	}
}

func (o *owner) loadOnce() (int64, error) {
	n := o.node
	began := n.clock()
	config := n.config.Load()
	if config == nil {
		return 0, errors.New("no configuration yet")
	}
	own, _, err := n.store.Range(o.ctx, ownPrefix)
	if err != nil {
		return 0, err
	}
	progress, _, err := n.store.Range(o.ctx, progressPrefix)
	if err != nil {
		return 0, err
	}
	intake, rev, err := n.store.Range(o.ctx, intakePrefix)
	if err != nil {
		return 0, err
	}
	workers, err := n.lister.ListWorkers(o.ctx)
	if err != nil {
		return 0, err
	}
	core := dispatch.New(n.opts.Params, o.own.lead.Term, n.logDecision)
	now := n.instant()
	if err := n.takeOver(core, own, now); err != nil {
		return 0, err
	}
	core.SetConfig(config)
	core.SetWorkers(workers, now)
	if err := loadJobs(core, progress, intake, now); err != nil {
		return 0, err
	}
	o.mu.Lock()
	o.core = core
	core.Renewed(o.own.renewed)
	o.mu.Unlock()
	n.log.Info().Str("event", "owner_loaded").Int("intake", len(intake)).Int("workers", len(workers)).
		Int("unresolved", core.Recovering()).Dur("took", n.clock()-began).Msg("")
	return rev, nil
}

// takeOver reads what the previous owner left beside the jobs.
func (n *Node) takeOver(core *dispatch.Core, own []kv.Pair, now dispatch.Instant) error {
	for _, p := range own {
		switch p.Key {
		case rosterKey:
			list, err := dispatch.DecodeRoster(p.Value)
			if err != nil {
				return errors.Annotate(err, rosterKey)
			}
			core.Recover(list, now)
		case learntKey:
			if err := core.TakeLearnt(p.Value); err != nil {
				// It only saves time: the new owner learns again.
				n.log.Warn().Str("event", "learnt_unreadable").Err(err).Msg("")
			}
		}
	}
	return nil
}

func loadJobs(core *dispatch.Core, progress, intake []kv.Pair, now dispatch.Instant) error {
	done := make(map[string]*job.Progress, len(progress))
	for _, p := range progress {
		r, err := dispatch.DecodeProgress(p.Value)
		if err != nil {
			return errors.Annotate(err, p.Key)
		}
		done[strings.TrimPrefix(p.Key, progressPrefix)] = r
	}
	for _, p := range intake {
		if id, ok := strings.CutPrefix(p.Key, jobPrefix); ok {
			spec, err := decodeSpec(p)
			if err != nil {
				return err
			}
			core.AddJob(spec, done[id], true, now)
		}
	}
	for _, p := range intake {
		if id, ok := strings.CutPrefix(p.Key, cancelPrefix); ok {
			core.Cancel(id, now)
		}
	}
	return nil
}

func decodeSpec(p kv.Pair) (*job.Spec, error) {
	spec := &job.Spec{}
	return spec, errors.Annotate(json.Unmarshal(p.Value, spec), p.Key)
}

// intakeLoop takes in jobs and cancellations as entries record them.
func (o *owner) intakeLoop(rev int64) {
	wait := backoff{least: loadRetryMin, most: loadRetryMax}
	for o.ctx.Err() == nil {
		err := o.node.store.Watch(o.ctx, intakePrefix, rev, func(at int64, events []kv.Event) {
			rev = at
			wait.reset()
			o.takeIn(events)
		})
		if o.ctx.Err() != nil {
			return
		}
		if !errors.Is(err, kv.ErrCompacted) {
			o.node.log.Warn().Str("event", "intake_watch_failed").Err(err).Msg("")
			sleep(o.ctx, wait.next())
			continue
		}
		o.node.log.Warn().Str("event", "intake_history_lost").Int64("revision", rev).Msg("")
		pairs, at, err := o.node.store.Range(o.ctx, intakePrefix)
		if err != nil {
			sleep(o.ctx, wait.next())
			continue
		}
		events := make([]kv.Event, len(pairs))
		for i := range pairs {
			events[i].Pair = pairs[i]
		}
		rev = at
		o.takeIn(events)
	}
}

func (o *owner) takeIn(events []kv.Event) {
	if len(events) == 0 {
		return
	}
	o.locked(func(c *dispatch.Core, now dispatch.Instant) {
		for _, ev := range events {
			if ev.Deleted {
				continue
			}
			if strings.HasPrefix(ev.Pair.Key, jobPrefix) {
				spec, err := decodeSpec(ev.Pair)
				if err != nil {
					o.node.log.Error().Str("event", "job_unreadable").Str("key", ev.Pair.Key).Err(err).Msg("")
					continue
				}
				c.AddJob(spec, nil, false, now)
			}
		}
		for _, ev := range events {
			if id, ok := strings.CutPrefix(ev.Pair.Key, cancelPrefix); ok && !ev.Deleted {
				c.Cancel(id, now)
			}
		}
	})
	signal(o.wake)
}

// listLoop reads the list of workers, and keeps one poller a worker.
func (o *owner) listLoop() {
	o.syncPollers()
	for sleep(o.ctx, listPause) {
		list, err := o.node.lister.ListWorkers(o.ctx)
		o.node.store.note(err)
		if err != nil {
			if o.ctx.Err() == nil {
				o.node.log.Warn().Str("event", "list_failed").Err(err).Msg("")
			}
			continue
		}
		config := o.node.config.Load()
		o.locked(func(c *dispatch.Core, now dispatch.Instant) {
			c.SetWorkers(list, now)
			c.SetConfig(config)
		})
		o.syncPollers()
	}
}

func (o *owner) syncPollers() {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := map[dispatch.WorkerID]bool{}
	for _, id := range o.core.Workers() {
		known[id] = true
		if o.polled[id] == nil {
			ctx, cancel := context.WithCancel(o.ctx)
			o.polled[id] = cancel
			o.running.Go(func() { o.pollLoop(ctx, id) })
		}
	}
	for id, cancel := range o.polled {
		if !known[id] {
			cancel()
			delete(o.polled, id)
		}
	}
}

// pollLoop keeps the leases at one worker and reads its lists.
func (o *owner) pollLoop(ctx context.Context, id dispatch.WorkerID) {
	for ctx.Err() == nil {
		var plan dispatch.HoldPlan
		o.locked(func(c *dispatch.Core, now dispatch.Instant) { plan = c.PlanHold(id, now) })
		if plan.Gone {
			return
		}
		if !plan.Send {
			sleep(ctx, plan.Pause)
			continue
		}
		if !o.mayAct(ctx) {
			return
		}
		reply, outcome := o.node.workers.Hold(ctx, plan.Order)
		if ctx.Err() != nil {
			return
		}
		var pause time.Duration
		o.locked(func(c *dispatch.Core, now dispatch.Instant) {
			pause = c.HoldDone(plan.Order, reply, outcome, now)
		})
		signal(o.wake)
		sleep(ctx, pause)
	}
}

// send makes one call to a worker and takes in the answer.
func (o *owner) send(order dispatch.Order) {
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

// mayAct waits while the owner is suspended after a freeze; it reports false
// once the ownership has ended.
func (o *owner) mayAct(ctx context.Context) bool {
	for ctx.Err() == nil {
		o.mu.Lock()
		o.noticeFreeze()
		suspended := o.suspended
		o.mu.Unlock()
		if !suspended {
			return true
		}
		sleep(ctx, tickPause/4)
	}
	return false
}

// noticeFreeze suspends orders if the process did not run for a while: the
// lease may be over. The next renewal resumes them.
func (o *owner) noticeFreeze() {
	now := o.node.clock()
	if pause := now - o.lastAlive; pause > tickPause+o.node.opts.FreezeSlack+freezeMargin && !o.suspended {
		o.suspended = true
		o.node.log.Warn().Str("event", "owner_suspended").Dur("pause", pause).Msg("")
	}
	o.lastAlive = max(o.lastAlive, now)
}

func (o *owner) tickLoop() {
	for sleep(o.ctx, tickPause) {
		o.mu.Lock()
		o.noticeFreeze()
		o.mu.Unlock()
		o.locked(func(c *dispatch.Core, now dispatch.Instant) { c.Tick(now) })
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

// flushLoop writes progress and the roster.
func (o *owner) flushLoop() {
	wait := backoff{least: 2 * flushPause, most: time.Second}
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.flushNow:
		case <-time.After(idleFlush):
		}
		written := o.flush(o.ctx)
		o.mu.Lock()
		again := o.core.Dirty() || o.core.RosterStale()
		behind := o.core.Backlog() >= flushRecords
		o.mu.Unlock()
		switch {
		case !written:
			sleep(o.ctx, wait.next())
		case behind:
			wait.reset()
			sleep(o.ctx, flushPauseBehind)
		default:
			wait.reset()
			sleep(o.ctx, flushPause)
		}
		if again {
			signal(o.flushNow)
		}
	}
}

// flush writes once; it reports whether the store took it, or nothing waited.
func (o *owner) flush(ctx context.Context) bool {
	o.mu.Lock()
	if o.core == nil {
		o.mu.Unlock()
		return false
	}
	records, err := o.core.Records(flushRecords)
	var roster []byte
	var rosterIDs []dispatch.WorkerID
	if err == nil && o.core.RosterStale() {
		roster, rosterIDs, err = o.core.Roster()
	}
	var learnt []byte
	if now := o.now(); err == nil && o.core.LearntDue(now) {
		learnt, err = o.core.Learnt(now)
	}
	o.mu.Unlock()
	if err != nil {
		o.node.log.Error().Str("event", "record_unwritable").Err(err).Msg("")
		return false
	}
	if len(records) == 0 && roster == nil && learnt == nil {
		return o.removeExpired(ctx)
	}
	began := o.node.clock()
	ok := o.write(ctx, recordOps(records, roster, learnt))
	o.node.metrics.flush.UpdateDuration(time.Now().Add(began - o.node.clock()))
	if !ok {
		return false
	}
	o.locked(func(c *dispatch.Core, _ dispatch.Instant) {
		c.Persisted(records)
		if roster != nil {
			c.RosterStored(rosterIDs)
		}
	})
	if roster != nil {
		signal(o.wake)
	}
	return true
}

// removeExpired removes the records of jobs that ended long ago.
func (o *owner) removeExpired(ctx context.Context) bool {
	o.mu.Lock()
	ids := slices.Clone(o.core.Expired(removeJobs))
	o.mu.Unlock()
	if len(ids) == 0 {
		return true
	}
	var ops []kv.Op
	for _, id := range ids {
		ops = append(ops, kv.Delete(jobPrefix+id), kv.Delete(cancelPrefix+id), kv.Delete(progressPrefix+id))
	}
	if !o.write(ctx, ops) {
		return false
	}
	o.locked(func(c *dispatch.Core, _ dispatch.Instant) { c.Removed(len(ids)) })
	return true
}

func recordOps(records []dispatch.Record, roster, learnt []byte) []kv.Op {
	var ops []kv.Op
	if roster != nil {
		ops = append(ops, kv.Put(rosterKey, roster, 0))
	}
	if learnt != nil {
		ops = append(ops, kv.Put(learntKey, learnt, 0))
	}
	for _, r := range records {
		ops = append(ops, kv.Put(progressPrefix+r.Job, r.Value, 0))
	}
	return ops
}

// write makes one transaction, under the condition that this is still the
// owner and that no other write of its own came between.
func (o *owner) write(ctx context.Context, ops []kv.Op) bool {
	txn := kv.Txn{
		If:   []kv.Compare{{Key: leadKey, ModRevision: o.own.leadRev}, {Key: chainKey, ModRevision: o.own.chainRev}},
		Then: append([]kv.Op{kv.Put(chainKey, []byte(o.own.lead.Session), 0)}, ops...),
	}
	wctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	res, err := o.node.store.Do(wctx, txn)
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

// writeRefused tells an earlier write of this owner, whose answer was lost,
// from the end of the ownership.
func (o *owner) writeRefused(res kv.TxnResult) bool {
	lead := false
	for _, p := range res.Reads[0] {
		switch p.Key {
		case leadKey:
			lead = p.ModRevision == o.own.leadRev
		case chainKey:
			o.own.chainRev = p.ModRevision
		}
	}
	if !lead {
		o.node.log.Warn().Str("event", "ownership_lost").Uint64("term", o.own.lead.Term).Msg("")
		o.stop(errNotOwner)
	}
	return false
}
