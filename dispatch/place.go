package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Figures of placement.
const (
	// starvedAfter, a job that has nothing running is placed wherever there
	// is room, whatever the model says.
	starvedAfter = 1500 * time.Millisecond
	// starvedUse is the part of a pool's declared room in use below which this
	// holds. In a fuller pool a job may wait for a place where it does no harm.
	starvedUse = 0.6
	// waitingPause is the pause between two log lines on a step that waits.
	waitingPause = time.Second
)

// Schedule starts what is ready as far as there is room.
func (c *Core) Schedule(now Instant) {
	if c.deposed || now.Steady >= c.validUntil {
		return
	}
	list := c.candidates(now)
	if len(list) == 0 {
		return
	}
	c.rateOpenness()
	pools := map[string][]*worker{}
	for _, x := range list {
		pool, ok := pools[x.queue.Service]
		if !ok {
			pool = c.pool(x.queue.Service, now)
			pools[x.queue.Service] = pool
		}
		if x.queue.Advice != nil {
			pool = c.advised(x.step, pool, *x.queue.Advice, now)
		}
		if x.step.spec.Gang {
			c.placeGang(x.step, pool, now)
		} else {
			c.placeStep(x.step, pool, now)
		}
	}
}

// pool returns the workers of a service that take work, in a fixed order.
func (c *Core) pool(service string, now Instant) []*worker {
	var pool []*worker
	for _, w := range c.workers {
		if w.info.Service == service && w.takesWork(now) && c.roster.stored[w.info.ID] {
			pool = append(pool, w)
		}
	}
	slices.SortFunc(pool, func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
	return pool
}

// placeStep starts as many ready tasks of a step as there is room for.
func (c *Core) placeStep(s *stepRun, pool []*worker, now Instant) {
	starved := s.job.active == 0 && now.Steady-s.job.idleSince > starvedAfter && poolUse(pool) < starvedUse
	for _, t := range s.tasks {
		if t.phase != phaseReady || now.Steady < t.notBefore || t.concluded && !c.certain(now) {
			continue
		}
		w := c.choose(t, pool, starved, now)
		if w == nil && t.avoid != "" {
			t.avoid = ""
			w = c.choose(t, pool, starved, now)
		}
		if w == nil {
			c.preempt(s, c.queues[s.job.spec.Queue].Priority, pool, now)
			c.tellWaiting(s, pool, now)
			return
		}
		c.place(t, w, c.newRun(), now)
		starved = false
	}
}

// tellWaiting logs, now and then, why ready tasks of a step do not start.
func (c *Core) tellWaiting(s *stepRun, pool []*worker, now Instant) {
	if now.Steady < s.toldWaiting+waitingPause {
		return
	}
	s.toldWaiting = now.Steady
	reason, fits := "no worker takes work", false
	for _, w := range pool {
		amount := s.amount()
		switch {
		case !s.allowed(w):
		case w.fits(amount):
			reason = "it would hurt the tasks on each worker with room, or has no processor time there"
			fits = true
		case w.fits(resources{cpu: amount.cpu}) && !fits:
			reason = "no worker has the memory"
		case reason == "no worker takes work":
			reason = "no worker has the processors"
		}
	}
	c.trace(Decision{Event: "step_waits", Job: s.job.spec.ID, Reason: reason, Age: now.Steady - s.job.idleSince})
}

// poolUse returns the part of the workers' processors that is taken.
func poolUse(pool []*worker) float64 {
	var used, size int64
	for _, w := range pool {
		used += w.used.cpu
		size += w.info.CPUMilli
	}
	return float64(used) / float64(max(size, 1))
}

func (c *Core) place(t *task, w *worker, run uint64, now Instant) {
	checkpoint := t.checkpoint
	if t.step.spec.Gang {
		checkpoint = t.step.checkpoint
	}
	c.tellTask("run_placed", t, w, run, t.step.spec.Image)
	c.start(t, w, run, checkpoint, t.step.ticketFor(w), now)
	s := t.step.spec
	switch {
	case s.Fills:
		c.demand.note(s.Image, 1)
		w.load.addFill(s.Image, float64(s.CPUMilli), w.info.CPUMilli)
	case s.Lasting && s.TargetMS > 0:
		w.load.addServing(s.Image, priorAlone)
	case !s.Lasting:
		w.load.otherCPU += float64(s.CPUMilli)
	}
}

// allowed reports whether a worker may run a task of the step at all.
func (s *stepRun) allowed(w *worker) bool {
	if s.spec.Requires != "" && !slices.Contains(w.info.Labels, s.spec.Requires) {
		return false
	}
	return s.spec.MaxPerWorker == 0 || s.perWork[w] < s.spec.MaxPerWorker
}

// choose returns the best worker for a task, or nil.
func (c *Core) choose(t *task, pool []*worker, starved bool, now Instant) *worker {
	s := t.step
	amount := s.amount()
	spares := s.sparesSlow(now)
	var best *worker
	bestScore := 0.0
	for _, w := range pool {
		slow := now.Steady < w.slowUntil
		if w.info.ID == t.avoid || slow && spares || now.Steady < w.fullUntil || !s.allowed(w) || !w.fits(amount) {
			continue
		}
		score, ok := c.score(s, w, starved)
		if slow {
			score -= slowWeight
		}
		if ok && (best == nil || score > bestScore) {
			best, bestScore = w, score
		}
	}
	return best
}
