package cell

import (
	"time"

	"google.golang.org/protobuf/proto"

	journalv1 "leverstile.dev/api/gen/leverstile/journal/v1"
	"leverstile.dev/api/result"
	"leverstile.dev/fleet"
	"leverstile.dev/scheduler"
	"leverstile.dev/shard"
)

// Params are the fixed parameters of an Owner. Times are by the entry's
// monotonic clock unless said otherwise.
type Params struct {
	// Cell is the cell's name, Self this entry's id.
	Cell string
	Self string
	// TaskLease is how long a worker may run tasks after the last clock reading
	// that it sent.
	TaskLease time.Duration
	// OutageGrace is how long after the end of its own lease an owner continues to
	// renew the leases of running tasks. A new owner waits for it to pass
	// before it gives up a worker that it can't reach.
	OutageGrace time.Duration
	// ClockMargin covers the difference in rate between the clocks of two machines
	// over TaskLease.
	ClockMargin time.Duration
	// HeartbeatEvery is how long a worker may hold its answer when idle.
	HeartbeatEvery time.Duration
	// RetryEvery is the wait after a call to a worker without an answer.
	RetryEvery time.Duration
	// StoreSilence is how long a commit may wait for the store's answer before
	// submissions and cancellations are refused.
	StoreSilence time.Duration
	// MaxFailures is the number of different workers on which a task must fail to
	// fail permanently. Twice as many failures in all have the same effect.
	MaxFailures int
	// Retain is how long a finished task is kept.
	Retain time.Duration
	// EvictionsPerMinute is the eviction budget.
	EvictionsPerMinute float64
	// PlanEvery is the minimum time between two plans.
	PlanEvery time.Duration
	// WorkerCalls bounds the concurrent calls to workers, so that a takeover or
	// the end of an outage causes no burst of calls.
	WorkerCalls int
	// NoSelfFence makes an owner continue after its lease. NoStartCommit sends
	// starts to workers before they are durable, NoAckCommit acknowledges ended
	// attempts before their ends are. NoTakeoverWait gives up unreachable workers
	// at once. Tests use them to show that their checks detect the missing safeguard.
	NoSelfFence, NoStartCommit, NoAckCommit, NoTakeoverWait bool
}

// DefaultParams returns the parameters in use for a cell.
func DefaultParams(cell, self string) Params {
	return Params{
		Cell: cell, Self: self,
		TaskLease:          30 * time.Second,
		OutageGrace:        time.Hour,
		ClockMargin:        300 * time.Millisecond,
		HeartbeatEvery:     8 * time.Second,
		RetryEvery:         time.Second,
		StoreSilence:       3 * time.Second,
		MaxFailures:        3,
		Retain:             time.Hour,
		EvictionsPerMinute: 60,
		PlanEvery:          50 * time.Millisecond,
		WorkerCalls:        1024,
	}
}

// Sync is a call to a worker that the caller of the Owner must make. Its outcome
// goes to Owner.WorkerAnswer with the same worker and sequence number.
type Sync struct {
	Worker  string
	Address string
	Request *fleet.SyncRequest
}

// TaskResult is the outcome of one submitted or cancelled task.
type TaskResult struct {
	ID     string
	Code   result.Code
	Detail string
}

// Reply answers a call by its ticket, once all that it reports is durable.
type Reply struct {
	Ticket  uint64
	Results []TaskResult
	Tasks   []*journalv1.TaskState
	// Err refuses the call as a whole.
	Err *result.Error
}

// Decision is a line of the decision log.
type Decision struct {
	What    string
	Task    string
	Attempt uint32
	Worker  string
	Reason  string
	Score   float64
	Fitting int
	Term    uint64
}

// Commands are the actions that an Owner requests from its caller.
type Commands struct {
	Store     []shard.Op
	Syncs     []Sync
	Replies   []Reply
	Decisions []Decision
	// Errs are errors in stored state, for the log.
	Errs []error
}

// Counters count what an Owner has done since it was made.
type Counters struct {
	Submitted, Started, Finished, Evicted, Lost, Refused uint64
}

// Owner decides for the tasks of the cell at one entry, whether or not this entry
// owns the cell now. It isn't safe for concurrent use.
type Owner struct {
	params       Params
	core         *shard.Core
	table        *table
	planner      scheduler.Scheduler
	model        *scheduler.Interference
	sizes        *scheduler.Estimator
	shares       *scheduler.Shares
	ladderParams scheduler.LadderParams

	groups       []scheduler.GroupSpec
	vms          map[string]fleet.VM
	vmsKnown     bool
	largest      fleet.Resources          // the largest amount of each resource that a VM has
	missingSince map[string]time.Duration // when a VM was first missing from the list
	workers      map[string]*worker
	workerOrder  []*worker // workers by id; nil when out of date
	inFlight     int
	owning       bool
	owningSince  time.Duration
	// minLeaseEnd is until when tasks that a former owner started may run on
	// workers that have not answered under this term.
	minLeaseEnd     time.Duration
	planNeeded      bool // something changed that a new plan could use
	lastPlan        time.Duration
	evictionBudget  float64
	budgetUpdatedAt time.Duration
	waitReasons     map[string]scheduler.Reason
	finishedTasks   []*task
	pendingReplies  []pendingReply
	counters        Counters
	out             Commands
}

type pendingReply struct {
	pos   uint64
	reply Reply
}

// NewOwner returns an Owner that doesn't own the cell yet. planner may use model;
// model learns from the workers' samples.
func NewOwner(params Params, sp shard.Params, planner scheduler.Scheduler, model *scheduler.Interference) *Owner {
	o := &Owner{
		params:       params,
		table:        newTable(),
		planner:      planner,
		model:        model,
		sizes:        scheduler.NewEstimator(),
		ladderParams: scheduler.DefaultLadderParams,
		vms:          map[string]fleet.VM{},
		missingSince: map[string]time.Duration{},
		workers:      map[string]*worker{},
	}
	o.core = shard.New(sp, o.table)
	o.resetVolatile()
	return o
}

func (o *Owner) resetVolatile() {
	o.shares = scheduler.NewShares(o.groups, o.totalCapacity(), scheduler.DefaultHalfLife)
	o.workers, o.workerOrder = map[string]*worker{}, nil
	o.waitReasons = map[string]scheduler.Reason{}
	o.finishedTasks = nil
	o.inFlight = 0
	o.planNeeded = true
}

// Core gives access to ownership: SetWanted, SetLease, Phase, Term.
func (o *Owner) Core() *shard.Core { return o.core }

// Counters returns the counts so far.
func (o *Owner) Counters() Counters { return o.counters }

// Take returns the pending commands and clears them.
func (o *Owner) Take() Commands {
	c := o.out
	o.out = Commands{}
	return c
}

// SetGroups sets the declared groups.
func (o *Owner) SetGroups(groups []scheduler.GroupSpec) {
	o.groups = groups
	o.shares.SetGroups(groups)
	o.planNeeded = true
}

// SetElsewhere sets the resources that each group uses in other cells, and the
// capacity of those cells.
func (o *Owner) SetElsewhere(use map[string]fleet.Resources, capacity fleet.Resources) {
	for _, name := range o.shares.Names() {
		o.shares.SetElsewhere(name, use[name])
	}
	o.shares.SetTotal(o.totalCapacity().Add(capacity))
}

// InUse returns the resources that each group uses in this cell.
func (o *Owner) InUse() map[string]fleet.Resources { return o.shares.InUse() }

// Capacity returns the workers' capacity for tasks.
func (o *Owner) Capacity() fleet.Resources { return o.totalCapacity() }

func (o *Owner) totalCapacity() fleet.Resources {
	var sum fleet.Resources
	for _, vm := range o.vms {
		sum = sum.Add(vm.Capacity.Sub(vm.Reserved))
	}
	return sum
}

// mayDecide reports whether this entry may start, evict and submit at now.
func (o *Owner) mayDecide(now time.Duration) bool {
	if o.params.NoSelfFence {
		return o.core.Phase() == shard.Owning
	}
	return o.core.MayDecide(now)
}

// mayRenew reports whether this entry may renew leases of running tasks. A
// store outage must not end them, so renewal continues for a bounded time after the
// entry's own lease; see Params.OutageGrace.
func (o *Owner) mayRenew(now time.Duration) bool {
	if o.core.Phase() != shard.Owning && o.core.Phase() != shard.Releasing {
		return false
	}
	return o.params.NoSelfFence || now < o.core.LeaseUntil()+o.params.OutageGrace
}

// propose applies a record and puts it into the next commit.
func (o *Owner) propose(rec *journalv1.TaskRecord) uint64 {
	if err := o.table.apply(rec); err != nil {
		o.out.Errs = append(o.out.Errs, err)
		return o.core.Proposed()
	}
	b, err := proto.Marshal(rec)
	if err != nil {
		o.out.Errs = append(o.out.Errs, err)
	}
	o.planNeeded = true
	pos := o.core.Propose(b)
	if t := o.table.tasks[rec.GetId()]; t != nil {
		t.lastRecordPos = pos
	}
	return pos
}

// Tick performs the work that is due at now.
func (o *Owner) Tick(now time.Duration) {
	o.out.Store = append(o.out.Store, o.core.Tick(now)...)
	o.updateOwnership(now)
	o.flushReplies()
	if !o.owning {
		return
	}
	o.expireWorkers(now)
	o.plan(now)
	o.syncWorkers(now)
	o.removeExpired(now)
}

// StoreAnswer processes the outcome of a store operation.
func (o *Owner) StoreAnswer(now time.Duration, a shard.Answer) {
	if err := o.core.Answer(now, a); err != nil {
		o.out.Errs = append(o.out.Errs, err)
	}
	o.Tick(now)
}

// updateOwnership handles the start and the end of this entry's ownership.
func (o *Owner) updateOwnership(now time.Duration) {
	phase := o.core.Phase()
	owning := phase == shard.Owning || phase == shard.Releasing
	if owning == o.owning {
		return
	}
	o.owning = owning
	if !owning {
		o.ownershipLost()
		return
	}
	o.ownershipGained(now)
}

func (o *Owner) ownershipGained(now time.Duration) {
	o.owningSince = now
	// A former owner may have renewed leases until the end of its grace period,
	// just before which it may have had a fresh reading of the worker's clock.
	o.minLeaseEnd = now + o.params.OutageGrace + o.params.TaskLease + o.params.ClockMargin
	if o.params.NoTakeoverWait {
		o.minLeaseEnd = now + o.params.ClockMargin
	}
	o.resetVolatile()
	o.table.listener = o.onChange
	for _, t := range o.table.ordered() {
		o.recoverTask(now, t)
	}
	for id := range o.table.onWorker {
		o.ensureWorker(id)
	}
	for id := range o.vms {
		o.ensureWorker(id)
	}
	o.recordDecision(Decision{What: "takeover", Reason: "ownership gained"})
}

// recoverTask restores the volatile state of a task read from the journal.
func (o *Owner) recoverTask(now time.Duration, t *task) {
	switch t.phase {
	case Assigned:
		o.reserve(t)
	case Done:
		t.doneAt = now
		o.finishedTasks = append(o.finishedTasks, t)
	default:
		t.since = now
	}
}

func (o *Owner) ownershipLost() {
	o.table.listener = nil
	o.table.Reset()
	for _, w := range o.pendingReplies {
		unknown := result.New(result.CommitUnknown, "ownership was lost before the commit was confirmed")
		o.out.Replies = append(o.out.Replies, Reply{Ticket: w.reply.Ticket, Err: unknown})
	}
	o.pendingReplies = nil
	o.resetVolatile()
	o.recordDecision(Decision{What: "ownership-lost", Reason: "lease or term lost, or handed over"})
}

func (o *Owner) recordDecision(d Decision) {
	d.Term = o.core.Term()
	o.out.Decisions = append(o.out.Decisions, d)
}

// onChange keeps free capacity and shares consistent with the table.
func (o *Owner) onChange(t *task, from Phase) {
	switch {
	case from == Pending && t.phase == Assigned:
		o.reserve(t)
	case from == Assigned && t.phase != Assigned:
		o.release(t)
	}
}

func (o *Owner) reserve(t *task) {
	w := o.ensureWorker(t.worker)
	w.view.Free = w.view.Free.Sub(t.given)
	w.view.Kinds[t.spec.GetKind()]++
	o.shares.AddUse(t.spec.GetGroup(), t.given)
}

func (o *Owner) release(t *task) {
	w := o.ensureWorker(t.worker)
	w.view.Free = w.view.Free.Add(t.given)
	if w.view.Kinds[t.spec.GetKind()]--; w.view.Kinds[t.spec.GetKind()] <= 0 {
		delete(w.view.Kinds, t.spec.GetKind())
	}
	o.shares.AddUse(t.spec.GetGroup(), fleet.Resources{}.Sub(t.given))
}

func (o *Owner) flushReplies() {
	rest := o.pendingReplies[:0]
	for _, w := range o.pendingReplies {
		if w.pos <= o.core.Committed() {
			o.out.Replies = append(o.out.Replies, w.reply)
			continue
		}
		rest = append(rest, w)
	}
	o.pendingReplies = rest
}

// answerAfter sends a reply once the records up to pos are committed.
func (o *Owner) answerAfter(pos uint64, reply Reply) {
	if pos <= o.core.Committed() {
		o.out.Replies = append(o.out.Replies, reply)
		return
	}
	o.pendingReplies = append(o.pendingReplies, pendingReply{pos, reply})
}

// removeExpired removes finished tasks after their retention period.
func (o *Owner) removeExpired(now time.Duration) {
	if !o.mayDecide(now) {
		return
	}
	n := 0
	for n < len(o.finishedTasks) && now-o.finishedTasks[n].doneAt >= o.params.Retain {
		o.propose(&journalv1.TaskRecord{
			Id:     o.finishedTasks[n].spec.GetId(),
			Change: &journalv1.TaskRecord_Forgotten{Forgotten: &journalv1.Forgotten{}},
		})
		n++
	}
	o.finishedTasks = o.finishedTasks[n:]
}
