package scheduler

import (
	"math"
	"sort"

	"leverstile.dev/fleet"
)

// Plan places waiting tasks and allocates their capacity in the snapshot's
// workers and shares; an owner that doesn't carry out a placement must return
// its capacity. Urgent tasks of all groups come first; then groups take turns by
// their shares, each with its oldest task that fits.
func (p *Planner) Plan(snap *Snapshot) Plan {
	r := &round{planner: p, snap: snap, queues: map[string]*Queue{}, limit: p.limits.Placements}
	for _, q := range snap.Queues {
		r.queues[q.Group] = q
	}
	for _, w := range snap.Workers {
		w.reservedFor = "" // each round makes its own reservations
	}
	r.placeUrgentTasks()
	r.reserveVMs()
	r.placeByShares()
	return r.plan
}

// round is the state of one call of Plan.
type round struct {
	planner *Planner
	snap    *Snapshot
	queues  map[string]*Queue
	plan    Plan
	// limit is the number of placements left.
	limit int
	// failedAsks holds the asks that could not be placed in this round, so that
	// only the first of many equal tasks is tried.
	failedAsks map[askKey]bool
	// starvedGroups have a task that has waited long for capacity.
	starvedGroups []string
}

// askKey identifies tasks that can be placed on the same workers.
type askKey struct {
	ask      fleet.Resources
	selector string
	kind     string
}

func keyOf(t *Task) askKey {
	k := askKey{ask: t.Ask, kind: t.Kind}
	if t.Selector != nil {
		k.selector = t.Selector.String()
	}
	return k
}

func (r *round) placeUrgentTasks() {
	for _, q := range r.snap.Queues {
		rest := q.Tasks[:0]
		for _, t := range q.Tasks {
			if !t.Urgent || r.limit == 0 {
				rest = append(rest, t)
				continue
			}
			r.placeUrgent(t)
		}
		q.Tasks = rest
	}
}

func (r *round) placeUrgent(t *Task) {
	if !r.snap.Shares.WithinQuota(t.Group, t.Ask) {
		r.recordWaiting(t, ReasonQuota)
		return
	}
	if r.place(t) {
		return
	}
	if r.evictFor(t) {
		r.recordWaiting(t, ReasonEvicting)
		return
	}
	r.recordWaiting(t, r.waitReason(t))
}

func (r *round) placeByShares() {
	pick := newPicker(r.snap.Shares, r.snap.Queues)
	own := map[string]bool{}
	blocked := map[string]int{}
	for _, q := range r.snap.Queues {
		own[q.Group] = len(q.Tasks) > 0
	}
	r.failedAsks = map[askKey]bool{}
	for r.limit > 0 {
		group, ok := pick.next(own)
		if !ok {
			return
		}
		q := r.queues[group]
		blocked[group] += r.takeTurn(q)
		if len(q.Tasks) == 0 || blocked[group] >= r.planner.limits.BlockedPerGroup {
			own[group] = false
			pick.mark(group, -1)
		}
	}
}

// takeTurn removes a group's first task from the queue and tries to place it. It
// returns how much the task counts against the group's limit of blocked tasks:
// zero if it was placed or its ask has failed in this round, otherwise one.
func (r *round) takeTurn(q *Queue) int {
	t := q.Tasks[0]
	q.Tasks = q.Tasks[1:]
	if !r.snap.Shares.WithinQuota(t.Group, t.Ask) {
		r.recordWaiting(t, ReasonQuota)
		return 1
	}
	if r.yieldsToStarved(t) {
		r.recordWaiting(t, ReasonShare)
		return 1
	}
	key := keyOf(t)
	if r.failedAsks[key] {
		r.recordWaiting(t, ReasonNoCapacity)
		return 0
	}
	if r.place(t) {
		return 0
	}
	r.failedAsks[key] = true
	reason := r.waitReason(t)
	r.recordWaiting(t, reason)
	if reason == ReasonNoCapacity && t.Waited >= r.planner.limits.ReserveAfter {
		r.starvedGroups = append(r.starvedGroups, t.Group)
	}
	return 1
}

// yieldsToStarved reports whether a task must wait because its group is above its
// share, so that free capacity accumulates for a group below its share.
func (r *round) yieldsToStarved(t *Task) bool {
	for _, other := range r.starvedGroups {
		if other != t.Group && r.snap.Shares.Above(t.Group, other) {
			return true
		}
	}
	return false
}

func (r *round) recordWaiting(t *Task, reason Reason) {
	r.plan.Waiting = append(r.plan.Waiting, Waiting{t, reason})
}

// place puts a task on the best worker that passes all filters.
func (r *round) place(t *Task) bool {
	var best *Worker
	var bestScore float64
	fitting := 0
	for _, w := range r.snap.Workers {
		if firstRejection(r.planner.filters, t, w) != "" {
			continue
		}
		fitting++
		score := r.planner.score(t, w)
		if best == nil || score > bestScore || score == bestScore && w.ID < best.ID {
			best, bestScore = w, score
		}
	}
	if best == nil {
		return false
	}
	best.Free = best.Free.Sub(t.Ask)
	best.Kinds[t.Kind]++
	r.snap.Shares.AddUse(t.Group, t.Ask)
	r.limit--
	r.plan.Placements = append(r.plan.Placements, Placement{Task: t, Worker: best, Score: bestScore, Fitting: fitting})
	return true
}

func (p *Planner) score(t *Task, w *Worker) float64 {
	sum := 0.0
	for _, s := range p.scorers {
		sum += s.weight * s.scorer.Score(t, w)
	}
	return sum
}

// waitReason distinguishes a task that fits an empty VM from one that fits none.
func (r *round) waitReason(t *Task) Reason {
	if r.fitsAnyVM(t) {
		return ReasonNoCapacity
	}
	return ReasonFitsNoVM
}

func (r *round) fitsAnyVM(t *Task) bool {
	for _, w := range r.snap.Workers {
		if t.Ask.Fits(w.Capacity) && (selectorFilter{}).Passes(t, w) {
			return true
		}
	}
	return false
}

// reserveVMs reserves VMs for large tasks that have waited long, so that a
// stream of small tasks can't starve them. It chooses the VM with the least
// missing capacity; the tasks on it run to their end.
func (r *round) reserveVMs() {
	left := int(math.Ceil(r.planner.limits.ReservedPart * float64(len(r.snap.Workers))))
	for _, q := range r.snap.Queues {
		for i, t := range q.Tasks {
			if i >= r.planner.limits.BlockedPerGroup || left == 0 {
				break
			}
			if t.Waited < r.planner.limits.ReserveAfter || !r.reserveFor(t) {
				continue
			}
			left--
		}
	}
}

func (r *round) reserveFor(t *Task) bool {
	var best *Worker
	for _, w := range r.snap.Workers {
		if !w.Usable || w.reservedFor != "" || !t.Ask.Fits(w.Capacity) || !(selectorFilter{}).Passes(t, w) {
			continue
		}
		if t.Ask.Fits(w.Free) {
			return false // it fits without a reservation
		}
		if best == nil || missingCapacity(t.Ask, w) < missingCapacity(t.Ask, best) {
			best = w
		}
	}
	if best == nil {
		return false
	}
	best.reservedFor = t.ID
	return true
}

// missingCapacity sums, over the kinds of resource, the fraction of the VM that
// the ask exceeds its free capacity by.
func missingCapacity(ask fleet.Resources, w *Worker) float64 {
	short := ask.Sub(w.Free)
	return fraction(max(short.CPUMilli, 0), w.Capacity.CPUMilli) +
		fraction(max(short.MemoryMiB, 0), w.Capacity.MemoryMiB) +
		fraction(max(short.Accelerators, 0), w.Capacity.Accelerators)
}

// evictFor frees capacity for an urgent task where the least work is lost.
func (r *round) evictFor(t *Task) bool {
	var best *Worker
	var victims []*Running
	var loss float64
	for _, w := range r.snap.Workers {
		if !w.Usable || !t.Ask.Fits(w.Capacity) || !(selectorFilter{}).Passes(t, w) {
			continue
		}
		v, l, ok := cheapestVictims(t.Ask, w)
		if !ok || len(v) > r.snap.EvictionsLeft {
			continue
		}
		if best == nil || l < loss {
			best, victims, loss = w, v, l
		}
	}
	if best == nil {
		return false
	}
	r.evict(t, best, victims)
	return true
}

func (r *round) evict(t *Task, w *Worker, victims []*Running) {
	gone := map[string]bool{}
	for _, v := range victims {
		gone[v.ID] = true
		r.plan.Evictions = append(r.plan.Evictions, Eviction{Task: v.ID, Worker: w.ID, For: t.ID, Loss: v.Loss})
	}
	r.snap.EvictionsLeft -= len(victims)
	rest := w.Running[:0]
	for _, run := range w.Running {
		if !gone[run.ID] {
			rest = append(rest, run)
		}
	}
	w.Running = rest
	// The capacity is reserved for t: this round places no other task on it,
	// except urgent ones.
	w.reservedFor = t.ID
}

// evictionOverhead is the fixed loss counted for each eviction in addition to
// the discarded run time.
const evictionOverhead = 5.0 // seconds

// cheapestVictims returns tasks on w whose eviction frees capacity for ask,
// chosen in order of increasing loss, and their total loss in seconds.
func cheapestVictims(ask fleet.Resources, w *Worker) ([]*Running, float64, bool) {
	byLoss := append([]*Running(nil), w.Running...)
	sort.Slice(byLoss, func(i, j int) bool {
		if byLoss[i].Loss != byLoss[j].Loss {
			return byLoss[i].Loss < byLoss[j].Loss
		}
		return byLoss[i].ID < byLoss[j].ID
	})
	free, loss := w.Free, 0.0
	var victims []*Running
	for _, v := range byLoss {
		if ask.Fits(free) {
			break
		}
		free = free.Add(v.Given)
		loss += v.Loss.Seconds() + evictionOverhead
		victims = append(victims, v)
	}
	return victims, loss, ask.Fits(free)
}

// Explain counts the workers by the first filter that rejects t on them.
// Workers that pass all filters count as "fits".
func (p *Planner) Explain(t *Task, workers []*Worker) map[string]int {
	return countRejections(p.filters, t, workers)
}
