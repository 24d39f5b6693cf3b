package scheduler

import (
	"math"
	"sort"

	"leverstile.dev/fleet"
)

// Plan places waiting tasks and takes the room for them from the snapshot's
// workers and shares; an owner that doesn't carry out a placement gives the
// room back. Urgent tasks of all groups come first; then
// groups take turns by their shares, each with its oldest task that fits.
func (p *Planner) Plan(snap *Snapshot) Plan {
	r := &round{planner: p, snap: snap, queues: map[string]*Queue{}, limit: p.limits.Placements}
	for _, q := range snap.Queues {
		r.queues[q.Group] = q
	}
	for _, w := range snap.Workers {
		w.reservedFor = "" // reservations are made anew in each round
	}
	r.urgent()
	r.reserve()
	r.fair()
	return r.plan
}

// round is the work of one call of Plan.
type round struct {
	planner *Planner
	snap    *Snapshot
	queues  map[string]*Queue
	plan    Plan
	limit   int
	// failed remembers asks that found no room in this round, so that a long
	// queue of equal tasks is tried once.
	failed map[askKey]bool
	// starved are groups with a task that has waited long for room.
	starved []string
}

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

func (r *round) urgent() {
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
		r.wait(t, ReasonQuota)
		return
	}
	if r.place(t) {
		return
	}
	if r.evictFor(t) {
		r.wait(t, ReasonEvicting)
		return
	}
	r.wait(t, r.whyNot(t))
}

func (r *round) fair() {
	pick := newPicker(r.snap.Shares, r.snap.Queues)
	own := map[string]bool{}
	blocked := map[string]int{}
	for _, q := range r.snap.Queues {
		own[q.Group] = len(q.Tasks) > 0
	}
	r.failed = map[askKey]bool{}
	for r.limit > 0 {
		group, ok := pick.next(own)
		if !ok {
			return
		}
		q := r.queues[group]
		blocked[group] += r.turn(q)
		if len(q.Tasks) == 0 || blocked[group] >= r.planner.limits.BlockedPerGroup {
			own[group] = false
			pick.mark(group, -1)
		}
	}
}

// turn looks at a group's first task and takes it off the queue. It returns
// how much that counts against the group's limit of blocked tasks: nothing for
// a task that was placed, or one just like another that found no room.
func (r *round) turn(q *Queue) int {
	t := q.Tasks[0]
	q.Tasks = q.Tasks[1:]
	if !r.snap.Shares.WithinQuota(t.Group, t.Ask) {
		r.wait(t, ReasonQuota)
		return 1
	}
	if r.leavesHole(t) {
		r.wait(t, ReasonShare)
		return 1
	}
	key := keyOf(t)
	if r.failed[key] {
		r.wait(t, ReasonNoRoom)
		return 0
	}
	if r.place(t) {
		return 0
	}
	r.failed[key] = true
	reason := r.whyNot(t)
	r.wait(t, reason)
	if reason == ReasonNoRoom && t.Waited >= r.planner.limits.ReserveAfter {
		r.starved = append(r.starved, t.Group)
	}
	return 1
}

// leavesHole reports whether a group that is above its share has to leave room
// unused, so that it adds up for one below its share.
func (r *round) leavesHole(t *Task) bool {
	for _, other := range r.starved {
		if other != t.Group && r.snap.Shares.Above(t.Group, other) {
			return true
		}
	}
	return false
}

func (r *round) wait(t *Task, reason Reason) {
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
	r.snap.Shares.Hold(t.Group, t.Ask)
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

// whyNot tells a task that could run on an empty VM from one that never can.
func (r *round) whyNot(t *Task) Reason {
	if r.fitsSome(t) {
		return ReasonNoRoom
	}
	return ReasonFitsNoVM
}

func (r *round) fitsSome(t *Task) bool {
	for _, w := range r.snap.Workers {
		if t.Ask.Fits(w.Capacity) && (selectorFilter{}).Passes(t, w) {
			return true
		}
	}
	return false
}

// reserve keeps VMs free for large tasks that have waited long, so that a
// stream of small ones can't starve them. The VM that has most room already is
// chosen; its tasks run to their end.
func (r *round) reserve() {
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
			return false // it finds room without help
		}
		if best == nil || missing(t.Ask, w) < missing(t.Ask, best) {
			best = w
		}
	}
	if best == nil {
		return false
	}
	best.reservedFor = t.ID
	return true
}

// missing is how much of the ask has no room yet, as parts of the VM.
func missing(ask fleet.Resources, w *Worker) float64 {
	short := ask.Sub(w.Free)
	return fraction(max(short.CPUMilli, 0), w.Capacity.CPUMilli) +
		fraction(max(short.MemoryMiB, 0), w.Capacity.MemoryMiB) +
		fraction(max(short.Accelerators, 0), w.Capacity.Accelerators)
}

// evictFor makes room for an urgent task where least work is lost.
func (r *round) evictFor(t *Task) bool {
	var best *Worker
	var victims []*Running
	var loss float64
	for _, w := range r.snap.Workers {
		if !w.Usable || !t.Ask.Fits(w.Capacity) || !(selectorFilter{}).Passes(t, w) {
			continue
		}
		v, l, ok := cheapest(t.Ask, w)
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
	// The room is promised to t: nothing else is placed on it in this round.
	w.reservedFor = t.ID
}

// evictionOverhead is the loss counted for each eviction beside lost work.
const evictionOverhead = 5.0 // seconds

// cheapest returns tasks on w whose end makes room for ask, those that lose
// least first, and their loss in seconds.
func cheapest(ask fleet.Resources, w *Worker) ([]*Running, float64, bool) {
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

// Explain counts, for each policy step that keeps t off a worker, the workers
// that the step rejects first. Workers that would take it count as "fits".
func (p *Planner) Explain(t *Task, workers []*Worker) map[string]int {
	return explain(p.filters, t, workers)
}
