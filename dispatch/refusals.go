package dispatch

// shape is what decides whether a worker takes a task of a step: tasks of the same
// shape are refused by the same workers.
type shape struct {
	service  string
	amount   resources
	requires string
	// image and cpu are set for fills: the predictions of the interference model and
	// the spare processor time of a worker depend on them.
	image string
	cpu   int64
	fills bool
	view  view
	// step is set for a step with a limit of tasks per worker, to tell it from others.
	step *stepRun
}

// view is how a step's job treats restricted workers.
type view struct {
	// starved jobs take any capacity; avoidsSlow: slow workers are not used.
	starved, avoidsSlow bool
	// avoidsReserved: workers that are reserved for short tasks are not used.
	avoidsReserved bool
}

func (s *stepRun) shape(service string, v view) shape {
	x := shape{service: service, amount: s.amount(), requires: s.spec.Requires, view: v}
	if s.spec.Fills {
		x.fills, x.image, x.cpu = true, s.spec.Image, s.spec.CPUMilli
	}
	if s.spec.MaxPerWorker > 0 {
		x.step = s
	}
	return x
}

// workerChange records that a worker may take tasks that it refused before. If
// loadOnly is set, only its load has changed, which matters to fills alone.
type workerChange struct {
	worker   *worker
	loadOnly bool
}

// Limits of the record of refusals.
const (
	// maxWorkerChanges is how many changes are kept; shapes that were refused before the
	// oldest are tried at all workers again. A pass at 490 workers adds some 20.
	maxWorkerChanges = 8192
	// maxRefusedShapes is how many shapes are kept: each takes some 150 bytes.
	maxRefusedShapes = 4096
)

// refusals remembers which shapes no worker takes, so that a pass checks only workers
// that have changed since. Without it, a pass with 400 waiting steps at 490 workers takes
// 2.5 ms instead of 0.13 (BenchmarkPass), when the owner is busiest.
//
// Invariant: a worker that took no task of a shape when the shape was recorded, and is in
// no change since, takes none now, except for small updates of the interference model.
// Those take effect from the worker's next list.
type refusals struct {
	changes []workerChange
	dropped int // changes that are no longer kept
	// shapes holds, for each shape that no worker took, the number of changes that
	// had been recorded by then.
	shapes map[shape]int
}

// recordChange records that a worker may take what it refused; loadOnly is that of workerChange.
func (r *refusals) recordChange(w *worker, loadOnly bool) {
	if len(r.changes) >= maxWorkerChanges {
		half := maxWorkerChanges / 2
		r.changes = append(r.changes[:0], r.changes[half:]...)
		r.dropped += half
	}
	r.changes = append(r.changes, workerChange{w, loadOnly})
}

// recordRefused records that no worker takes tasks of a shape.
func (r *refusals) recordRefused(x shape) {
	if r.shapes == nil || len(r.shapes) >= maxRefusedShapes {
		r.shapes = map[shape]int{}
	}
	r.shapes[x] = r.dropped + len(r.changes)
}

// changesSince returns the worker changes since a shape was refused; ok is false if the
// shape must be tried at all workers.
func (r *refusals) changesSince(x shape) (list []workerChange, ok bool) {
	seen, ok := r.shapes[x]
	if !ok || seen < r.dropped {
		return nil, false
	}
	return r.changes[seen-r.dropped:], true
}

// stillRefused reports whether no worker takes a task of the step, by the recorded
// refusals and by a check of the workers that may have changed since.
func (c *Core) stillRefused(s *stepRun, x shape, now Instant) bool {
	list, ok := c.refusals.changesSince(x)
	if !ok {
		return false
	}
	for _, change := range list {
		if change.loadOnly && !x.fills {
			continue
		}
		if _, takes := c.rate(s, change.worker, x.view, now); takes && c.inPool(change.worker, x.service, now) {
			return false
		}
	}
	if len(list) > 0 {
		c.refusals.recordRefused(x)
	}
	return true
}

// recordUnblocked records a change of each of a service's workers that has just become able to
// get tasks again: it is back in the pool, or no longer full or slow.
func (c *Core) recordUnblocked(service string, now Instant) {
	for _, w := range c.workersByService[service] {
		g := placementBlocks{inPool: c.inPool(w, service, now), full: now.Steady < max(w.fullUntil, w.keptUntil), slow: now.Steady < w.slowUntil}
		if g.inPool && !w.placementBlocks.inPool || !g.full && w.placementBlocks.full || !g.slow && w.placementBlocks.slow {
			c.refusals.recordChange(w, false)
		}
		w.placementBlocks = g
	}
}

// placementBlocks is whether a worker was in the pool, full and slow in the latest pass.
type placementBlocks struct {
	inPool, full, slow bool
}
