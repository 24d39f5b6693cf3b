package dispatch

// shape is what decides whether a worker takes a task of a step: tasks of one
// shape are refused by the same workers.
type shape struct {
	service  string
	amount   resources
	requires string
	// image and cpu are set for fills: what the model and the spare processor
	// time of a worker say depends on them.
	image string
	cpu   int64
	fills bool
	view  view
	// step tells steps apart whose workers take so many of its tasks only.
	step *stepRun
}

// view is what a step's job makes of workers that others leave alone.
type view struct {
	starved, sparesSlow bool
	// sparesKept: workers that are kept for short tasks are left alone.
	sparesKept bool
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

// opening notes that a worker may take what it refused before. If load is set,
// only its load has changed, which matters to fills.
type opening struct {
	worker *worker
	load   bool
}

// Figures of what is remembered of refusals.
const (
	// mostOpenings kept; shapes that were refused before the oldest are tried
	// at all workers again. A pass at 490 workers has some 20 new ones.
	mostOpenings = 8192
	// mostRefusals kept: a shape takes some 150 bytes.
	mostRefusals = 4096
)

// refusals remembers which shapes no worker takes, so that a pass looks only at
// workers that may have changed their mind. Without it, a pass with 400 steps
// that wait at 490 workers takes 2.5 ms instead of 0.13 (BenchmarkPass), at the time when the
// owner has most to do.
//
// Invariant: a worker that took no task of a shape when the shape was noted,
// and stands in no opening since, takes none now, but for small changes of the
// interference model. Those count from the worker's next list.
type refusals struct {
	openings []opening
	dropped  int // openings that are no longer kept
	// shapes holds the number of openings that had been seen when no worker
	// took a task of the shape.
	shapes map[shape]int
}

// opened notes that a worker may take what it refused.
func (r *refusals) opened(w *worker, load bool) {
	if len(r.openings) >= mostOpenings {
		half := mostOpenings / 2
		r.openings = append(r.openings[:0], r.openings[half:]...)
		r.dropped += half
	}
	r.openings = append(r.openings, opening{w, load})
}

// note remembers that no worker takes tasks of a shape.
func (r *refusals) note(x shape) {
	if r.shapes == nil || len(r.shapes) >= mostRefusals {
		r.shapes = map[shape]int{}
	}
	r.shapes[x] = r.dropped + len(r.openings)
}

// since returns the openings since a shape was refused; ok is false if the
// shape must be tried at all workers.
func (r *refusals) since(x shape) (list []opening, ok bool) {
	seen, ok := r.shapes[x]
	if !ok || seen < r.dropped {
		return nil, false
	}
	return r.openings[seen-r.dropped:], true
}

// stillRefused reports whether no worker takes a task of the step, by what is
// remembered and by a look at the workers that may have changed.
func (c *Core) stillRefused(s *stepRun, x shape, now Instant) bool {
	list, ok := c.refusals.since(x)
	if !ok {
		return false
	}
	for _, o := range list {
		if o.load && !x.fills {
			continue
		}
		if _, takes := c.rate(s, o.worker, x.view, now); takes && c.inPool(o.worker, x.service, now) {
			return false
		}
	}
	if len(list) > 0 {
		c.refusals.note(x)
	}
	return true
}

// noteGates notes the workers of a pool that have come back from a pause.
func (c *Core) noteGates(service string, now Instant) {
	for _, w := range c.members[service] {
		g := gates{takesWork: c.inPool(w, service, now), full: now.Steady < w.fullUntil, slow: now.Steady < w.slowUntil}
		if g.takesWork && !w.gates.takesWork || !g.full && w.gates.full || !g.slow && w.gates.slow {
			c.refusals.opened(w, false)
		}
		w.gates = g
	}
}

// gates are the reasons for which a worker gets no tasks for a while, as of the
// newest pass.
type gates struct {
	takesWork, full, slow bool
}
