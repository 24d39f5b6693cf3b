package cell

import (
	"sort"
	"time"

	journalv1 "leverstile.dev/api/gen/leverstile/journal/v1"
	"leverstile.dev/api/result"
	"leverstile.dev/fleet"
	"leverstile.dev/scheduler"
)

const (
	// maxOfferedPerGroup is how many waiting tasks of a group a plan considers.
	maxOfferedPerGroup = 64
	// replanInterval is the time after which a plan is made without any change,
	// as the time that tasks have waited counts.
	replanInterval = 5 * time.Second
	// maxEvictionBurst is how many evictions may happen at once.
	maxEvictionBurst = 16
)

// plan runs the planner and starts and evicts tasks by its result.
func (o *Owner) plan(now time.Duration) {
	o.shares.Advance(now)
	if !o.mayDecide(now) || now-o.lastPlan < o.params.PlanEvery {
		return
	}
	if !o.planNeeded && now-o.lastPlan < replanInterval {
		return
	}
	o.lastPlan = now
	o.planNeeded = false
	o.refillBudget(now)
	snap := &scheduler.Snapshot{
		Workers:       o.views(),
		Queues:        o.queueCandidates(now),
		Shares:        o.shares,
		EvictionsLeft: int(o.evictionBudget),
	}
	o.applyPlan(now, o.planner.Plan(snap))
}

func (o *Owner) refillBudget(now time.Duration) {
	passed := (now - o.budgetUpdatedAt).Minutes()
	o.budgetUpdatedAt = now
	o.evictionBudget = min(o.evictionBudget+passed*o.params.EvictionsPerMinute, maxEvictionBurst)
}

// views returns the planner's views of all workers, in order of id.
func (o *Owner) views() []*scheduler.Worker {
	out := make([]*scheduler.Worker, 0, len(o.workers))
	for _, w := range o.sortedWorkers() {
		out = append(out, w.view)
	}
	return out
}

func (o *Owner) queueCandidates(now time.Duration) []*scheduler.Queue {
	var queues []*scheduler.Queue
	urgent := false
	for group, q := range o.table.queues {
		tasks := q.first(maxOfferedPerGroup, func(t *task) bool { return !t.unfit && !t.awaitingEviction })
		if len(tasks) == 0 {
			continue
		}
		sq := &scheduler.Queue{Group: group}
		for _, t := range tasks {
			urgent = urgent || t.spec.GetUrgent()
			sq.Tasks = append(sq.Tasks, o.candidate(now, t))
		}
		queues = append(queues, sq)
	}
	sort.Slice(queues, func(i, j int) bool { return queues[i].Group < queues[j].Group })
	if urgent {
		o.listRunning(now)
	}
	return queues
}

func (o *Owner) candidate(now time.Duration, t *task) *scheduler.Task {
	ask := o.ask(t)
	return &scheduler.Task{
		ID: t.spec.GetId(), Kind: t.spec.GetKind(), Group: t.spec.GetGroup(),
		Ask: ask, Selector: t.selector, Urgent: t.spec.GetUrgent(),
		Waited: now - t.since, Avoid: t.failedOn,
	}
}

// ask returns the resources that a task is planned with: its kind's measured size
// if that is known, else the declared request. After a failure, which too little
// memory may have caused, it is the larger of both, and its memory grows with each
// failure. It is bounded by the largest VM.
func (o *Owner) ask(t *task) fleet.Resources {
	declared := fromProto(t.spec.GetRequest())
	ask := o.sizes.Ask(t.spec.GetKind(), declared)
	if t.failures > 0 {
		n := int64(t.failures) + 1
		ask.CPUMilli = max(ask.CPUMilli, declared.CPUMilli)
		ask.MemoryMiB = n * max(ask.MemoryMiB, declared.MemoryMiB)
	}
	if !declared.Fits(o.largest) {
		return declared
	}
	ask.CPUMilli = min(ask.CPUMilli, o.largest.CPUMilli)
	ask.MemoryMiB = min(ask.MemoryMiB, o.largest.MemoryMiB)
	return ask
}

// listRunning lists the running tasks that an urgent task could replace.
func (o *Owner) listRunning(now time.Duration) {
	for id, w := range o.workers {
		w.view.Running = w.view.Running[:0]
		for _, t := range o.table.onWorker[id] {
			if !o.evictable(t) {
				continue
			}
			w.view.Running = append(w.view.Running, &scheduler.Running{
				ID: t.spec.GetId(), Kind: t.spec.GetKind(), Given: t.given, Loss: now - t.since,
			})
		}
	}
}

// evictable reports whether a task may be evicted. A task that is not repeatable
// is excluded, as is one that isn't known to have started, for the effect of a
// stop would then be unknown.
func (o *Owner) evictable(t *task) bool {
	return t.running && !t.stopping && !t.spec.GetUrgent() && !t.spec.GetNotRepeatable()
}

func (o *Owner) applyPlan(now time.Duration, p scheduler.Plan) {
	for _, pl := range p.Placements {
		o.startPlaced(now, pl)
	}
	for _, ev := range p.Evictions {
		o.evict(ev)
	}
	for _, wt := range p.Waiting {
		o.recordWaiting(wt)
	}
}

// startPlaced checks a placement against the table and proposes its record. The
// planner has already reserved the capacity; that is undone first, so that only
// the record itself changes the accounts.
func (o *Owner) startPlaced(now time.Duration, pl scheduler.Placement) {
	o.undoPlacement(pl)
	t, w := o.table.tasks[pl.Task.ID], o.workers[pl.Worker.ID]
	if t == nil || t.phase != Pending || w == nil || !pl.Task.Ask.Fits(w.view.Free) {
		o.planNeeded = true
		return
	}
	delete(o.waitReasons, pl.Task.ID)
	t.startPos = o.propose(&journalv1.TaskRecord{
		Id: pl.Task.ID,
		Change: &journalv1.TaskRecord_Started{Started: &journalv1.Started{
			Attempt: t.attempt + 1, Worker: w.id, Boot: w.boot, Given: toProto(pl.Task.Ask),
		}},
	})
	t.since = now
	w.pendingCommits = append(w.pendingCommits, t.startPos)
	o.recordKinds(now, w)
	o.counters.Started++
	o.recordDecision(Decision{What: "start", Task: pl.Task.ID, Attempt: t.attempt, Worker: w.id, Score: pl.Score, Fitting: pl.Fitting})
}

func (o *Owner) undoPlacement(pl scheduler.Placement) {
	pl.Worker.Free = pl.Worker.Free.Add(pl.Task.Ask)
	if pl.Worker.Kinds[pl.Task.Kind]--; pl.Worker.Kinds[pl.Task.Kind] <= 0 {
		delete(pl.Worker.Kinds, pl.Task.Kind)
	}
	o.shares.AddUse(pl.Task.Group, fleet.Resources{}.Sub(pl.Task.Ask))
}

func (o *Owner) evict(ev scheduler.Eviction) {
	t := o.table.tasks[ev.Task]
	if t == nil || t.phase != Assigned || !o.evictable(t) {
		return
	}
	o.evictionBudget--
	o.stop(t)
	reason := "frees capacity for urgent task " + ev.For
	if ev.For == "" {
		reason = "slows a service down"
	}
	if u := o.table.tasks[ev.For]; u != nil {
		u.awaitingEviction = true
		o.workers[t.worker].freeingCapacityFor = append(o.workers[t.worker].freeingCapacityFor, u)
	}
	o.recordDecision(Decision{What: "evict", Task: ev.Task, Attempt: t.attempt, Worker: ev.Worker, Reason: reason})
}

// stop asks the task's worker to checkpoint and stop the attempt.
func (o *Owner) stop(t *task) {
	t.stopping = true
	o.ensureWorker(t.worker).callNeeded = true
}

func (o *Owner) recordWaiting(wt scheduler.Waiting) {
	t := o.table.tasks[wt.Task.ID]
	if t == nil || t.phase != Pending {
		return
	}
	if o.waitReasons[wt.Task.ID] != wt.Reason {
		o.waitReasons[wt.Task.ID] = wt.Reason
		o.recordDecision(Decision{What: "wait", Task: wt.Task.ID, Attempt: t.attempt, Reason: string(wt.Reason)})
	}
	if wt.Reason == scheduler.ReasonFitsNoVM {
		// The task's state and code report it; it is planned again when the VMs change.
		t.unfit = o.vmsKnown
		t.code = result.FitsNoVM
	}
}
