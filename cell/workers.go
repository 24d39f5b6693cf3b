package cell

import (
	"sort"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"leverstile.dev/fleet"
	"leverstile.dev/scheduler"
)

const (
	// goneAfter is how long a VM must be missing from the platform's list before
	// it counts as stopped: the list may lag, or be read from a replica that
	// does.
	goneAfter = 20 * time.Second
	// quarantineThreshold is how many failures in a row, of tasks that had not
	// failed before and without a success, put a worker into quarantine.
	quarantineThreshold = 4
	// initialQuarantine is the length of a worker's first quarantine. It doubles
	// with each further one up to maxQuarantine.
	initialQuarantine = time.Minute
	maxQuarantine     = 30 * time.Minute
	// maxQuarantinedFraction bounds the workers in quarantine, so that many
	// failing tasks can't take the cell down.
	maxQuarantinedFraction = 0.2
)

// worker is the owner's state of a worker.
type worker struct {
	id      string
	address string
	view    *scheduler.Worker
	history scheduler.History
	ladder  scheduler.Ladder

	// boot identifies the worker's incarnation, zero until it has answered under
	// this term; clockMS is the last reading of its clock, received at clockAt.
	boot    uint64
	clockMS int64
	clockAt time.Duration
	// leaseEnd: no task of this cell runs on the worker after this time of the
	// entry's clock unless the lease is renewed. It only grows while the worker
	// may hold a lease from any owner.
	leaseEnd   time.Duration
	leaseEnded bool // leaseEnd has passed and the attempts have been ended

	seq        uint64
	inFlight   bool
	idleSync   bool // the call in flight lets the worker wait
	notBefore  time.Duration
	callNeeded bool // there is something to send
	// pendingCommits are journal positions, ascending, whose commit gives
	// something to send.
	pendingCommits    []uint64
	fullListNeeded    bool
	fullListRequested bool // the call in flight asks for the full list
	// starts and stops are those in the call in flight.
	starts, stops []fleet.AttemptRef

	// acks are the ended attempts that the worker still lists, with the journal
	// position that must be durable before the worker may forget them.
	acks map[fleet.AttemptRef]uint64
	// orphans run on the worker although the table has them elsewhere or not at
	// all; orphanResources is what they use.
	orphans         []fleet.AttemptRef
	orphanResources fleet.Resources

	// freeingCapacityFor are the urgent tasks for which tasks here are evicted.
	freeingCapacityFor []*task

	failuresInRow   int
	quarantineFor   time.Duration
	quarantineUntil time.Duration
	throttledKind   string
	// excludedKinds may not be started here until the given times.
	excludedKinds map[string]time.Duration
}

// ensureWorker returns the state of a worker and creates it if missing.
func (o *Owner) ensureWorker(id string) *worker {
	w := o.workers[id]
	if w == nil {
		w = &worker{id: id, fullListNeeded: true, callNeeded: true, leaseEnd: o.minLeaseEnd}
		w.view = &scheduler.Worker{ID: id, Kinds: map[string]int{}}
		o.workers[id] = w
		o.workerOrder = nil
		if vm, ok := o.vms[id]; ok {
			w.applyVM(vm)
		}
	}
	return w
}

// applyVM records what the platform's list reports of a VM.
func (w *worker) applyVM(vm fleet.VM) {
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

// SetVMs records the VMs of this cell in the platform's list.
func (o *Owner) SetVMs(now time.Duration, vms []fleet.VM) {
	o.vmsKnown = true
	next := make(map[string]fleet.VM, len(vms))
	for _, vm := range vms {
		next[vm.ID] = vm
		delete(o.missingSince, vm.ID)
	}
	for id := range o.vms {
		o.recordMissing(now, id, next)
	}
	for id := range o.workers {
		o.recordMissing(now, id, next)
	}
	o.vms = next
	for id, vm := range next {
		if o.owning {
			o.ensureWorker(id).applyVM(vm)
		}
	}
	o.largest = largestOf(vms)
	o.shares.SetTotal(o.totalCapacity())
	o.clearUnfit()
	o.planNeeded = true
}

func largestOf(vms []fleet.VM) fleet.Resources {
	var largest fleet.Resources
	for _, vm := range vms {
		c := vm.Capacity.Sub(vm.Reserved)
		largest.CPUMilli = max(largest.CPUMilli, c.CPUMilli)
		largest.MemoryMiB = max(largest.MemoryMiB, c.MemoryMiB)
		largest.Accelerators = max(largest.Accelerators, c.Accelerators)
	}
	return largest
}

func (o *Owner) recordMissing(now time.Duration, id string, listed map[string]fleet.VM) {
	if _, ok := listed[id]; ok {
		return
	}
	if _, ok := o.missingSince[id]; !ok {
		o.missingSince[id] = now
	}
}

func (o *Owner) clearUnfit() {
	for _, t := range o.table.tasks {
		t.unfit = false
	}
}

// gone reports whether the VM has been missing long enough to count as stopped.
func (o *Owner) gone(now time.Duration, id string) bool {
	since, ok := o.missingSince[id]
	return ok && now-since >= goneAfter
}

// expireWorkers ends the attempts on workers that can no longer run them.
func (o *Owner) expireWorkers(now time.Duration) {
	for _, w := range o.sortedWorkers() {
		gone := o.gone(now, w.id)
		if gone || now > w.leaseEnd && !w.leaseEnded {
			o.endLostAttempts(now, w, gone)
		}
		o.updateUsable(now, w)
		if gone && len(o.table.onWorker[w.id]) == 0 {
			o.removeWorker(w)
		}
	}
}

func (o *Owner) removeWorker(w *worker) {
	if w.inFlight {
		o.inFlight--
	}
	delete(o.workers, w.id)
	delete(o.missingSince, w.id)
	o.workerOrder = nil
}

// sortedWorkers returns all workers in order of id.
func (o *Owner) sortedWorkers() []*worker {
	if o.workerOrder != nil {
		return o.workerOrder
	}
	for _, w := range o.workers {
		o.workerOrder = append(o.workerOrder, w)
	}
	sort.Slice(o.workerOrder, func(i, j int) bool { return o.workerOrder[i].id < o.workerOrder[j].id })
	return o.workerOrder
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

func (o *Owner) updateUsable(now time.Duration, w *worker) {
	vm, listed := o.vms[w.id]
	usable := listed && vm.State == fleet.VMLive && w.boot != 0 && !w.leaseEnded
	w.removeExpiredExclusions(now)
	usable = usable && now >= w.quarantineUntil && now < w.leaseEnd
	if usable != w.view.Usable {
		w.view.Usable = usable
		o.planNeeded = true
	}
	if listed && vm.State == fleet.VMLeaving {
		o.vacate(now, w)
	}
	o.checkFreedCapacity(w)
}

// kindExclusionPeriod is how long a kind that was evicted to protect a service is
// excluded from the VM.
const kindExclusionPeriod = 5 * time.Minute

func (w *worker) excludeKind(now time.Duration, kind string) {
	if w.excludedKinds == nil {
		w.excludedKinds, w.view.ExcludedKinds = map[string]time.Duration{}, map[string]bool{}
	}
	w.excludedKinds[kind] = now + kindExclusionPeriod
	w.view.ExcludedKinds[kind] = true
}

func (w *worker) removeExpiredExclusions(now time.Duration) {
	for kind, until := range w.excludedKinds {
		if now >= until {
			delete(w.excludedKinds, kind)
			delete(w.view.ExcludedKinds, kind)
		}
	}
}

// vacate moves tasks off a VM that is leaving. Tasks that can't be evicted
// continue as long as the VM lives.
func (o *Owner) vacate(now time.Duration, w *worker) {
	if !o.mayDecide(now) {
		return
	}
	for _, t := range o.table.onWorker[w.id] {
		if t.running && !t.stopping && !t.spec.GetNotRepeatable() {
			o.stop(t)
			o.recordDecision(Decision{What: "evict", Task: t.spec.GetId(), Attempt: t.attempt, Worker: w.id, Reason: "the VM is leaving"})
		}
	}
}

// checkFreedCapacity lets urgent tasks be planned again once no more tasks on the
// worker are being stopped for them.
func (o *Owner) checkFreedCapacity(w *worker) {
	if len(w.freeingCapacityFor) == 0 {
		return
	}
	for _, t := range o.table.onWorker[w.id] {
		if t.stopping {
			return
		}
	}
	for _, t := range w.freeingCapacityFor {
		t.awaitingEviction = false
	}
	w.freeingCapacityFor = nil
	o.planNeeded = true
}
