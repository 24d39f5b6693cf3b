package dispatch

import "container/heap"

// chooser selects workers for the tasks of one step, one after the other: all workers
// are rated once, and after each choice only the chosen one again. Placing eight tasks
// on 2,000 workers takes one walk over the workers instead of eight.
type chooser struct {
	core *Core
	step *stepRun
	view view
	now  Instant
	// rated is a heap of the workers that take a task, the best first.
	rated ratedWorkers
}

// ratedWorker is a worker with its score; poolIndex is its index in the pool, which
// breaks ties.
type ratedWorker struct {
	worker    *worker
	score     float64
	poolIndex int
}

func (c *Core) newChooser(s *stepRun, pool []*worker, v view, now Instant) *chooser {
	x := &chooser{core: c, step: s, view: v, now: now, rated: c.ratedScratch[:0]}
	for i, w := range pool {
		if score, ok := c.rate(s, w, v, now); ok {
			x.rated = append(x.rated, ratedWorker{w, score, i})
		}
	}
	heap.Init(&x.rated)
	c.ratedScratch = x.rated
	return x
}

// best returns the best worker whose id is not avoid, or nil.
func (x *chooser) best(avoid WorkerID) *worker {
	if len(x.rated) == 0 {
		return nil
	}
	if w := x.rated[0].worker; avoid == "" || w.info.ID != avoid {
		return w
	}
	// The second best is one of the root's children.
	var second *ratedWorker
	for i := 1; i <= 2 && i < len(x.rated); i++ {
		if second == nil || x.rated[i].better(*second) {
			second = &x.rated[i]
		}
	}
	if second == nil {
		return nil
	}
	return second.worker
}

// placed updates the rating of a worker that was given a task.
func (x *chooser) placed(w *worker) {
	for i := range x.rated {
		if x.rated[i].worker != w {
			continue
		}
		if score, ok := x.core.rate(x.step, w, x.view, x.now); ok {
			x.rated[i].score = score
			heap.Fix(&x.rated, i)
		} else {
			heap.Remove(&x.rated, i)
		}
		return
	}
}

func (a ratedWorker) better(b ratedWorker) bool {
	return a.score > b.score || a.score == b.score && a.poolIndex < b.poolIndex
}

// ratedWorkers implements heap.Interface.
type ratedWorkers []ratedWorker

func (r ratedWorkers) Len() int           { return len(r) }
func (r ratedWorkers) Less(i, j int) bool { return r[i].better(r[j]) }
func (r ratedWorkers) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }

// Push implements heap.Interface.
func (r *ratedWorkers) Push(x any) { *r = append(*r, x.(ratedWorker)) }

// Pop implements heap.Interface.
func (r *ratedWorkers) Pop() any {
	last := len(*r) - 1
	x := (*r)[last]
	*r = (*r)[:last]
	return x
}
