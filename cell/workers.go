package cell

import (
	"slices"
	"sort"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	journalv1 "leverstile.dev/api/gen/leverstile/journal/v1"
	"leverstile.dev/api/result"
	"leverstile.dev/platform"
	"leverstile.dev/scheduler"
)

const (
	// goneAfter is how long a VM must be missing from the platform's list
	// before it counts as stopped: the list may lag behind, or be read from a
	// replica that does.
	goneAfter = 20 * time.Second
	// blameAfter first failures of different tasks in a row, without a success,
	// put a worker into quarantine.
	blameAfter = 4
	// firstQuarantine doubles each time up to maxQuarantine.
	firstQuarantine = time.Minute
	maxQuarantine   = 30 * time.Minute
	// quarantinedPart bounds the workers in quarantine, so that a wave of bad
	// tasks can't take the cell down.
	quarantinedPart = 0.2
)

// worker is what the owner knows of a worker.
type worker struct {
	id      string
	address string
	view    *scheduler.Worker
	history scheduler.History
	ladder  scheduler.Ladder

	// boot is the worker's incarnation, zero until it has answered under this
	// term; clockMS is the last reading of its clock, received at clockAt.
	boot    uint64
	clockMS int64
	clockAt time.Duration
	// leaseEnd: no task of this cell runs on the worker after this reading of
	// our clock unless the lease is renewed. It only grows while the worker may
	// hold a lease from any owner.
	leaseEnd time.Duration
	lapsed   bool // leaseEnd has passed and its tasks were given up

	seq       uint64
	inFlight  bool
	idleSync  bool // the call in flight lets the worker wait
	notBefore time.Duration
	dirty     bool // something to tell
	// untold are journal positions, ascending, after whose commit there is
	// something to tell.
	untold    []uint64
	needFull  bool
	askedFull bool // the call in flight asks for the full list
	// starts and stops are what the call in flight asks for.
	starts, stops []platform.AttemptRef

	// acks are the ended attempts that the worker still lists, with the journal
	// position that must be durable before the worker may forget them.
	acks map[platform.AttemptRef]uint64
	// strays run on the worker though the table holds them elsewhere or not at
	// all; foreign is the room they hold.
	strays  []platform.AttemptRef
	foreign platform.Resources

	makingRoomFor []*task

	failuresInRow   int
	quarantineFor   time.Duration
	quarantineUntil time.Duration
	throttledKind   string
	// barred kinds may not be started here until the given times.
	barred map[string]time.Duration
}

// worker returns the row of a worker, new if need be.
func (o *Owner) worker(id string) *worker {
	w := o.workers[id]
	if w == nil {
		w = &worker{id: id, needFull: true, dirty: true, leaseEnd: o.leaseEndFloor}
		w.view = &scheduler.Worker{ID: id, Kinds: map[string]int{}}
		o.workers[id] = w
		o.order = nil
		if vm, ok := o.vms[id]; ok {
			w.describe(vm)
		}
	}
	return w
}

// describe takes over what the platform's list says of a VM.
func (w *worker) describe(vm platform.VM) {
	w.address = vm.Worker
	capacity := vm.Capacity.Sub(vm.Reserved)
	held := w.view.Capacity.Sub(w.view.Free)
	w.view.Capacity = capacity
	w.view.Free = capacity.Sub(held)
	w.view.Place, w.view.Rack = vm.Place, vm.Rack
	set := labels.Set{"vm": vm.ID, "place": vm.Place, "rack": vm.Rack}
	for k, v := range vm.Labels {
		set[k] = v
	}
	w.view.Labels = set
	w.view.Services = w.view.Services[:0]
	for _, e := range vm.Endpoints {
		w.view.Services = append(w.view.Services, e.Service)
	}
}

// SetVMs takes over the platform's list, as far as it lies in this cell.
func (o *Owner) SetVMs(now time.Duration, vms []platform.VM) {
	o.vmsKnown = true
	next := make(map[string]platform.VM, len(vms))
	for _, vm := range vms {
		next[vm.ID] = vm
		delete(o.missing, vm.ID)
	}
	for id := range o.vms {
		o.noteMissing(now, id, next)
	}
	for id := range o.workers {
		o.noteMissing(now, id, next)
	}
	o.vms = next
	for id, vm := range next {
		if o.wasOwning {
			o.worker(id).describe(vm)
		}
	}
	o.largest = largestOf(vms)
	o.shares.SetTotal(o.totalCapacity())
	o.reconsiderUnfit()
	o.dirty = true
}

func largestOf(vms []platform.VM) platform.Resources {
	var most platform.Resources
	for _, vm := range vms {
		c := vm.Capacity.Sub(vm.Reserved)
		most.CPUMilli = max(most.CPUMilli, c.CPUMilli)
		most.MemoryMiB = max(most.MemoryMiB, c.MemoryMiB)
		most.Accelerators = max(most.Accelerators, c.Accelerators)
	}
	return most
}

func (o *Owner) noteMissing(now time.Duration, id string, listed map[string]platform.VM) {
	if _, ok := listed[id]; ok {
		return
	}
	if _, ok := o.missing[id]; !ok {
		o.missing[id] = now
	}
}

func (o *Owner) reconsiderUnfit() {
	for _, t := range o.table.tasks {
		t.unfit = false
	}
}

// gone reports whether the platform has surely stopped the VM.
func (o *Owner) gone(now time.Duration, id string) bool {
	since, ok := o.missing[id]
	return ok && now-since >= goneAfter
}

// expireWorkers gives up the attempts on workers that surely run them no more.
func (o *Owner) expireWorkers(now time.Duration) {
	for _, w := range o.sorted() {
		gone := o.gone(now, w.id)
		if gone || now > w.leaseEnd && !w.lapsed {
			o.giveUp(now, w, gone)
		}
		o.refreshUsable(now, w)
		if gone && len(o.table.onWorker[w.id]) == 0 {
			o.drop(w)
		}
	}
}

func (o *Owner) drop(w *worker) {
	if w.inFlight {
		o.inFlight--
	}
	delete(o.workers, w.id)
	delete(o.missing, w.id)
	o.order = nil
}

// sorted returns all workers in order of id.
func (o *Owner) sorted() []*worker {
	if o.order != nil {
		return o.order
	}
	for _, w := range o.workers {
		o.order = append(o.order, w)
	}
	sort.Slice(o.order, func(i, j int) bool { return o.order[i].id < o.order[j].id })
	return o.order
}

// giveUp ends the attempts on a worker whose task leases have ended or whose
// VM is gone. Records are only made while this entry may decide; until then
// the attempts keep counting as running, which is safe.
func (o *Owner) giveUp(now time.Duration, w *worker, gone bool) {
	if !o.mayDecide(now) {
		return
	}
	w.lapsed = true
	w.needFull = true
	for _, t := range o.onWorker(w.id) {
		why := "no contact until its lease had ended"
		if gone {
			why = "its VM is gone"
		}
		o.attemptLost(now, t, why)
	}
}

// onWorker returns the attempts on a worker in order of submission.
func (o *Owner) onWorker(id string) []*task {
	out := make([]*task, 0, len(o.table.onWorker[id]))
	for _, t := range o.table.onWorker[id] {
		out = append(out, t)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].seq < out[j].seq })
	return out
}

// attemptLost ends an attempt that may have run for a while and surely runs no
// more.
func (o *Owner) attemptLost(now time.Duration, t *task, why string) {
	o.counters.Lost++
	switch {
	case t.cancel:
		o.finish(now, t, result.TaskCancelled, "its worker was lost while it was being stopped")
	case t.spec.GetNotRepeatable():
		o.finish(now, t, result.WorkerLostNoRep, why)
	default:
		o.endAttempt(now, t, journalv1.EndReason_END_REASON_WORKER_LOST, nil, why)
	}
}

func (o *Owner) endAttempt(now time.Duration, t *task, reason journalv1.EndReason, checkpoint []byte, why string) {
	w := o.worker(t.worker)
	attempt := t.attempt
	o.propose(&journalv1.TaskRecord{
		Id: t.spec.GetId(),
		Change: &journalv1.TaskRecord_Ended{Ended: &journalv1.Ended{
			Attempt: attempt, Reason: reason, Checkpoint: checkpoint,
		}},
	})
	t.since = now
	o.recordKinds(now, w)
	o.decide(Decision{What: "attempt-ended", Task: t.spec.GetId(), Attempt: attempt, Worker: w.id, Reason: why})
}

func (o *Owner) finish(now time.Duration, t *task, code result.Code, detail string) {
	workerID, wasAssigned := t.worker, t.phase == Assigned
	o.propose(&journalv1.TaskRecord{
		Id: t.spec.GetId(),
		Change: &journalv1.TaskRecord_Finished{Finished: &journalv1.Finished{
			Attempt: t.attempt, Code: uint32(code), Detail: detail,
		}},
	})
	t.doneAt = now
	o.done = append(o.done, t)
	delete(o.reasons, t.spec.GetId())
	o.counters.Finished++
	if wasAssigned {
		w := o.worker(workerID)
		o.recordKinds(now, w)
	}
	o.decide(Decision{What: "done", Task: t.spec.GetId(), Attempt: t.attempt, Worker: workerID, Reason: code.String()})
}

func (o *Owner) refreshUsable(now time.Duration, w *worker) {
	vm, listed := o.vms[w.id]
	usable := listed && vm.State == platform.VMLive && w.boot != 0 && !w.lapsed
	w.liftBars(now)
	usable = usable && now >= w.quarantineUntil && now < w.leaseEnd
	if usable != w.view.Usable {
		w.view.Usable = usable
		o.dirty = true
	}
	if listed && vm.State == platform.VMLeaving {
		o.vacate(now, w)
	}
	o.noticeRoom(w)
}

// barFor is how long a kind that was evicted for a service's sake is kept off
// the VM.
const barFor = 5 * time.Minute

func (w *worker) bar(now time.Duration, kind string) {
	if w.barred == nil {
		w.barred, w.view.Barred = map[string]time.Duration{}, map[string]bool{}
	}
	w.barred[kind] = now + barFor
	w.view.Barred[kind] = true
}

func (w *worker) liftBars(now time.Duration) {
	for kind, until := range w.barred {
		if now >= until {
			delete(w.barred, kind)
			delete(w.view.Barred, kind)
		}
	}
}

// vacate moves tasks off a VM that is leaving. Tasks that can't be evicted run
// on as long as the VM lives.
func (o *Owner) vacate(now time.Duration, w *worker) {
	if !o.mayDecide(now) {
		return
	}
	for _, t := range o.table.onWorker[w.id] {
		if t.running && !t.stopping && !t.spec.GetNotRepeatable() {
			o.stop(t)
			o.decide(Decision{What: "evict", Task: t.spec.GetId(), Attempt: t.attempt, Worker: w.id, Reason: "the VM is leaving"})
		}
	}
}

// noticeRoom lets urgent tasks be planned again once nothing on the worker is
// being stopped for them any more.
func (o *Owner) noticeRoom(w *worker) {
	if len(w.makingRoomFor) == 0 {
		return
	}
	for _, t := range o.table.onWorker[w.id] {
		if t.stopping {
			return
		}
	}
	for _, t := range w.makingRoomFor {
		t.evictingFor = false
	}
	w.makingRoomFor = nil
	o.dirty = true
}

// syncWorkers calls the workers that have to be told something or are due for
// a heartbeat.
func (o *Owner) syncWorkers(now time.Duration) {
	if !o.mayRenew(now) {
		return
	}
	for _, w := range o.sorted() {
		w.noticeCommits(o.core.Committed())
		if w.address == "" || now < w.notBefore || w.inFlight && !(w.dirty && w.idleSync) {
			continue
		}
		if !w.dirty && len(w.acks) > 0 && now-w.clockAt < o.params.HeartbeatEvery {
			continue // the worker would answer at once with ends that wait for their commit
		}
		if !w.inFlight && o.inFlight >= o.params.WorkerCalls {
			return
		}
		o.sync(now, w)
	}
}

// noticeCommits marks the worker as having something to be told once records
// that concern it are durable.
func (w *worker) noticeCommits(committed uint64) {
	n := 0
	for n < len(w.untold) && w.untold[n] <= committed {
		n++
	}
	if n > 0 {
		w.untold = w.untold[n:]
		w.dirty = true
	}
}

func (o *Owner) sync(now time.Duration, w *worker) {
	w.seq++
	req := &platform.SyncRequest{
		Cell: o.params.Cell, Term: o.core.Term(), Seq: w.seq, Boot: w.boot, Full: w.needFull,
	}
	if w.boot != 0 {
		o.renew(w, req)
	}
	o.tell(now, w, req)
	if !w.inFlight {
		o.inFlight++
	}
	w.inFlight = true
	w.askedFull = w.needFull
	w.idleSync = !w.dirty && !w.needFull
	if w.idleSync {
		req.WaitMS = o.params.HeartbeatEvery.Milliseconds()
	}
	w.dirty = false
	o.out.Syncs = append(o.out.Syncs, Sync{Worker: w.id, Address: w.address, Request: req})
}

// renew sets the lease's end as a reading of the worker's own clock. The
// reading it counts from was taken before clockAt, so by our clock the lease
// ends no later than leaseEnd, however late the request arrives.
func (o *Owner) renew(w *worker, req *platform.SyncRequest) {
	req.LeaseUntilMS = w.clockMS + o.params.TaskLease.Milliseconds()
	w.leaseEnd = max(w.leaseEnd, w.clockAt+o.params.TaskLease+o.params.ClockMargin)
}

// tell adds starts, stops and acknowledgements that are due.
func (o *Owner) tell(now time.Duration, w *worker, req *platform.SyncRequest) {
	w.starts, w.stops = w.starts[:0], w.stops[:0]
	for _, t := range o.onWorker(w.id) {
		switch {
		case t.stopping:
			w.stops = append(w.stops, t.ref())
		case o.mayStart(now, w, t):
			req.Starts = append(req.Starts, startOf(t))
			w.starts = append(w.starts, t.ref())
		}
		if t.throttled {
			req.Throttled = append(req.Throttled, t.ref())
		}
	}
	req.Stops = append(req.Stops, w.stops...)
	req.Stops = append(req.Stops, w.strays...)
	for ref, pos := range w.acks {
		if pos <= o.core.Committed() || o.params.NoAckCommit {
			req.Acks = append(req.Acks, ref)
		}
	}
}

// mayStart reports whether the worker is to be told of an attempt: committed,
// meant for this incarnation, not listed by the worker yet. As a worker lists
// each attempt until its end is acknowledged, one that it doesn't list has not
// begun there, and telling it again is safe.
func (o *Owner) mayStart(now time.Duration, w *worker, t *task) bool {
	committed := t.startPos <= o.core.Committed() || o.params.NoStartCommit
	return !t.running && !w.needFull && t.boot == w.boot && committed && o.mayDecide(now)
}

func startOf(t *task) platform.Start {
	return platform.Start{
		AttemptRef: t.ref(), Kind: t.spec.GetKind(), Given: t.given,
		Payload: t.spec.GetPayload(), Checkpoint: t.checkpoint,
	}
}

// WorkerAnswer takes the outcome of a call to a worker. Answers to other calls
// than the last one are ignored: the last one's says all.
func (o *Owner) WorkerAnswer(now time.Duration, id string, term, seq uint64, reply *platform.SyncReply, err error) {
	w := o.workers[id]
	if !o.wasOwning || term != o.core.Term() || w == nil || seq != w.seq || !w.inFlight {
		return
	}
	w.inFlight = false
	o.inFlight--
	if err != nil || reply.Refused != "" {
		w.notBefore = now + o.params.RetryEvery
		w.dirty = true
		w.needFull = true
		o.Tick(now)
		return
	}
	o.heard(now, w, reply)
	o.Tick(now)
}

func (o *Owner) heard(now time.Duration, w *worker, reply *platform.SyncReply) {
	if w.boot != reply.Boot {
		o.booted(now, w, reply.Boot)
	}
	w.clockMS, w.clockAt = reply.ClockMS, now
	w.lapsed = false
	ended := o.heardEnds(now, w, reply.Ended)
	o.markStarted(w, ended)
	o.endNeverBegun(now, w)
	if w.askedFull {
		o.takeList(w, reply.Running)
	} else if reply.RunningHash != o.runningHash(w) {
		w.needFull, w.dirty = true, true
	}
	o.learn(now, w, reply)
}

// booted handles a worker's first answer under this term, or a restart. What
// was started on another incarnation runs no more.
func (o *Owner) booted(now time.Duration, w *worker, boot uint64) {
	if w.boot == 0 {
		// The worker refuses former owners from here on; what they last granted
		// counts from a reading of its clock that lies before now.
		w.leaseEnd = now + o.params.TaskLease + o.params.ClockMargin
	}
	w.boot = boot
	w.needFull = true
	for _, t := range o.onWorker(w.id) {
		if t.boot != boot {
			o.attemptLost(now, t, "its worker has restarted")
		}
	}
}

// heardEnds takes the attempts that the worker lists as ended, and returns them.
func (o *Owner) heardEnds(now time.Duration, w *worker, reports []platform.Report) map[platform.AttemptRef]bool {
	ended := make(map[platform.AttemptRef]bool, len(reports))
	acks := make(map[platform.AttemptRef]uint64, len(reports))
	for _, r := range reports {
		ended[r.AttemptRef] = true
		t := o.table.onWorker[w.id][r.Task]
		if t != nil && t.attempt == r.Attempt {
			o.attemptEnded(now, w, t, r)
		}
		if r.State == platform.AttemptRefused {
			continue // the worker doesn't keep it
		}
		// An end of an attempt that the table no longer holds was recorded before.
		pos, known := w.acks[r.AttemptRef]
		if !known {
			pos = o.core.Proposed()
			w.untold = append(w.untold, pos)
		}
		acks[r.AttemptRef] = pos
	}
	w.acks = acks
	return ended
}

// markStarted notes that the starts of the answered call have begun.
func (o *Owner) markStarted(w *worker, ended map[platform.AttemptRef]bool) {
	for _, ref := range w.starts {
		t := o.table.onWorker[w.id][ref.Task]
		if t != nil && t.attempt == ref.Attempt && !ended[ref] {
			t.running = true
		}
	}
	w.starts = w.starts[:0]
}

// endNeverBegun ends attempts that were to be stopped and that the worker does
// not know: had they begun, it would list them until they are acknowledged, and
// the fence on sequence numbers keeps earlier starts out from now on.
func (o *Owner) endNeverBegun(now time.Duration, w *worker) {
	for _, ref := range w.stops {
		t := o.table.onWorker[w.id][ref.Task]
		if t != nil && t.attempt == ref.Attempt {
			o.endOrCancel(now, t, journalv1.EndReason_END_REASON_NEVER_BEGAN, nil, "stopped before it began")
		}
	}
	w.stops = w.stops[:0]
}

func (o *Owner) attemptEnded(now time.Duration, w *worker, t *task, r platform.Report) {
	switch r.State {
	case platform.AttemptFinished:
		w.succeeded()
		o.finish(now, t, result.OK, r.Detail)
	case platform.AttemptFailed:
		o.attemptFailed(now, w, t, r)
	case platform.AttemptRefused:
		o.counters.Refused++
		w.notBefore = now + o.params.RetryEvery
		w.needFull = true
		o.endOrCancel(now, t, journalv1.EndReason_END_REASON_NEVER_BEGAN, nil, "refused by the worker")
	default:
		o.counters.Evicted++
		o.endOrCancel(now, t, journalv1.EndReason_END_REASON_EVICTED, r.Checkpoint, "stopped with a checkpoint")
	}
}

func (o *Owner) endOrCancel(now time.Duration, t *task, reason journalv1.EndReason, checkpoint []byte, why string) {
	if t.cancel {
		o.finish(now, t, result.TaskCancelled, why)
		return
	}
	o.endAttempt(now, t, reason, checkpoint, why)
}

func (o *Owner) attemptFailed(now time.Duration, w *worker, t *task, r platform.Report) {
	blamed := o.blame(now, w, t)
	switch {
	case t.cancel:
		o.finish(now, t, result.TaskCancelled, "failed while it was being cancelled")
	case t.spec.GetNotRepeatable():
		o.finish(now, t, result.TaskFailed, r.Detail)
	case blamed:
		o.endAttempt(now, t, journalv1.EndReason_END_REASON_WORKER_LOST, nil, "failed on a worker that fails everything")
	case o.exhausted(t):
		o.finish(now, t, result.AttemptsExhausted, r.Detail)
	default:
		o.endAttempt(now, t, journalv1.EndReason_END_REASON_FAILED, nil, "failed; tried again")
	}
}

// exhausted reports whether a failure now is a task's last: it has failed on
// enough different workers, or too often in all.
func (o *Owner) exhausted(t *task) bool {
	workers := len(t.failedOn)
	if !slices.Contains(t.failedOn, t.worker) {
		workers++
	}
	return workers >= o.params.MaxFailures || int(t.failures)+1 >= 2*o.params.MaxFailures
}

// blame decides whether a failure is the worker's fault rather than the task's:
// many tasks in a row that had not failed elsewhere, and no success.
func (o *Owner) blame(now time.Duration, w *worker, t *task) bool {
	if t.failures == 0 {
		w.failuresInRow++
	}
	if w.failuresInRow < blameAfter {
		return false
	}
	if now >= w.quarantineUntil && o.quarantined(now) < quarantinedPart*float64(len(o.workers)) {
		w.quarantineFor = min(max(2*w.quarantineFor, firstQuarantine), maxQuarantine)
		w.quarantineUntil = now + w.quarantineFor
		o.decide(Decision{What: "quarantine", Worker: w.id, Reason: "fails everything, for " + w.quarantineFor.String()})
	}
	return now < w.quarantineUntil
}

func (o *Owner) quarantined(now time.Duration) float64 {
	n := 0.0
	for _, w := range o.workers {
		if now < w.quarantineUntil {
			n++
		}
	}
	return n
}

// succeeded clears the worker's name.
func (w *worker) succeeded() {
	w.failuresInRow = 0
	w.quarantineFor = 0
}

func (o *Owner) runningHash(w *worker) uint64 {
	var sum uint64
	for _, t := range o.table.onWorker[w.id] {
		if t.running {
			sum += t.ref().Hash()
		}
	}
	return sum
}

// takeList takes over a full list of what runs on the worker. Attempts that
// the table doesn't hold there are stopped, and their room counts until then.
func (o *Owner) takeList(w *worker, running []platform.Report) {
	w.needFull = false
	for _, t := range o.table.onWorker[w.id] {
		t.running = false
	}
	w.view.Free = w.view.Free.Add(w.foreign)
	w.foreign, w.strays = platform.Resources{}, nil
	for _, r := range running {
		t := o.table.onWorker[w.id][r.Task]
		if t != nil && t.attempt == r.Attempt {
			t.running = true
			continue
		}
		w.foreign = w.foreign.Add(r.Given)
		w.strays = append(w.strays, r.AttemptRef)
	}
	w.view.Free = w.view.Free.Sub(w.foreign)
	// Strays are stopped by the next call, and the list after it tells that
	// they are gone.
	w.needFull = len(w.strays) > 0
	w.dirty = w.dirty || w.needFull || o.startsDue(w)
}

func (o *Owner) startsDue(w *worker) bool {
	for _, t := range o.table.onWorker[w.id] {
		if !t.running {
			return true
		}
	}
	return false
}
