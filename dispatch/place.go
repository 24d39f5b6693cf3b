package dispatch

import (
	"fmt"
	"slices"
	"time"
)

// Limits of placement.
const (
	// starvedAfter is the time after which a job that has nothing running is placed
	// wherever there is capacity, whatever the interference model predicts.
	starvedAfter = 1500 * time.Millisecond
	// starvedUse is the share of a pool's declared capacity in use below which this
	// applies. In a fuller pool a job may wait for a place where it does no harm.
	starvedUse = 0.6
	// waitingPause is the minimum time between two log lines on a step that waits.
	waitingPause = time.Second
)

// Schedule starts ready tasks, in the order of their steps' ranks, as far as there is capacity.
func (c *Core) Schedule(now Instant) {
	if c.deposed || now.Steady >= c.validUntil {
		return
	}
	c.sendRecordedStarts(now)
	c.policy.waiting = c.policy.waiting[:0]
	list := c.candidates(now)
	if len(list) == 0 {
		c.recordDemand(nil, now)
		return
	}
	pools := map[string]*pool{}
	for _, x := range list {
		if !c.overload.allowsStart(x.step) {
			continue
		}
		p := pools[x.queue.Service]
		if p == nil {
			c.recordUnblocked(x.queue.Service, now)
			p = &pool{workers: c.poolOf(x.queue.Service, now)}
			pools[x.queue.Service] = p
		}
		if x.queue.Advice == nil {
			x.step.advice, x.step.awaitsPolicy = nil, false // a configuration may have ended it
		} else {
			p = &pool{workers: c.workersWithTicket(x.step, x.queue.Service, now.Steady, now), whole: p}
		}
		if x.step.spec.Gang {
			c.placeGang(x.step, p, now)
		} else {
			c.placeStep(x.step, p, now)
		}
		if x.queue.Advice != nil {
			c.awaitPolicy(x, p.whole, now)
		}
	}
	c.recordDemand(list, now)
	c.callPolicy(now)
}

// pool holds the workers on which a scheduling pass may place a step's tasks.
type pool struct {
	workers []*worker
	// whole is the pool of the service, if workers are only those with a ticket for a step.
	whole *pool
	// use is the share of their processors that is taken, determined once per pass when a
	// step first needs it; useKnown is set then. A pass changes it by a few per cent.
	use      float64
	useKnown bool
	// fills is whether a worker runs fills, determined in the same way.
	fills, fillsKnown bool
	// withoutSuspects is the result of suspectFree, nil until a step of the pass needs it.
	withoutSuspects *suspectFreePool
}

func (p *pool) usedShare() float64 {
	if p.whole != nil {
		return p.whole.usedShare()
	}
	if !p.useKnown {
		p.use, p.useKnown = poolUse(p.workers), true
	}
	return p.use
}

// hasFills reports whether a worker of the pool runs fills.
func (p *pool) hasFills() bool {
	if !p.fillsKnown {
		p.fills, p.fillsKnown = slices.ContainsFunc(p.workers, func(w *worker) bool { return w.load.fillCPU > 0 }), true
	}
	return p.fills
}

// placeStep starts as many ready tasks of a step as there is capacity for.
func (c *Core) placeStep(s *stepRun, p *pool, now Instant) {
	queue := c.settingsOf(s.job.spec)
	if s.suspects > 0 {
		c.placeSuspects(s, p, now)
	}
	x := s.shape(queue.Service, c.viewOf(s, p, now))
	if c.stillRefused(s, x, now) {
		c.freeCapacity(s, queue.Priority, p, now)
		return
	}
	var chosen *chooser
	for _, t := range s.tasks {
		if t.phase != phaseReady || t.suspectedCrashes() > 0 || now.Steady < t.notBefore || t.endUnknown && !c.holdsLease(now) {
			continue
		}
		if chosen == nil || chosen.view != x.view {
			chosen = c.newChooser(s, p.workers, x.view, now)
		}
		w := chosen.best(t.avoid)
		if w == nil && t.avoid != "" {
			t.avoid = ""
			w = chosen.best("")
		}
		if w == nil {
			if p.whole == nil {
				c.refusals.recordRefused(x)
			}
			c.freeCapacity(s, queue.Priority, p, now)
			return
		}
		c.place(t, w, c.newRun(), now)
		chosen.placed(w)
		x.view = c.viewOf(s, p, now)
	}
}

// viewOf returns which restricted workers the step's job may use: a job that has had
// nothing running for long takes what there is, unless the pool is full.
func (c *Core) viewOf(s *stepRun, p *pool, now Instant) view {
	starved := s.starved(now)
	v := c.plainView(s, now)
	v.starved = starved && p.usedShare() < starvedUse
	return v
}

// plainView returns what viewOf returns for a job that is not starved.
func (c *Core) plainView(s *stepRun, now Instant) view {
	return view{
		avoidsSlow:     s.avoidsSlow(now),
		avoidsReserved: c.avoidsReserved(s, now),
	}
}

// starved reports whether the job has had nothing running for longer than starvedAfter.
func (s *stepRun) starved(now Instant) bool {
	return s.job.active == 0 && now.Steady-s.job.idleSince > starvedAfter
}

// freeCapacity preempts fills for a step that fits no worker, if that is due, and logs
// why the step waits. A worker that the placement policy has granted needs no valid ticket for
// that, but none is preempted while the policy may still grant one with capacity.
func (c *Core) freeCapacity(s *stepRun, priority int, p *pool, now Instant) {
	workers := p.workers
	if p.whole != nil {
		workers = c.grantedWorkers(s, c.serviceOf(s.job.spec), now, anyGrant)
	}
	if !s.awaitsDecision() {
		c.preempt(s, priority, workers, now)
	}
	c.logWaiting(s, workers, now)
}

// logWaiting logs, at most once per waitingPause, why ready tasks of a step do not start.
func (c *Core) logWaiting(s *stepRun, pool []*worker, now Instant) {
	if now.Steady < s.waitLoggedAt+waitingPause {
		return
	}
	s.waitLoggedAt = now.Steady
	reason, fits := "no worker takes work", false
	avoidsReserved, reserved := c.avoidsReserved(s, now), 0
	for _, w := range pool {
		amount := s.amount()
		switch {
		case !s.allowed(w):
		case w.fits(amount) && w.isReserved && avoidsReserved:
			reserved++
		case w.fits(amount):
			reason = "it would hurt the tasks on each worker with room, or has no processor time there"
			fits = true
		case w.fits(resources{cpu: amount.cpu}) && !fits:
			reason = "no worker has the memory"
		case reason == "no worker takes work":
			reason = "no worker has the processors"
		}
	}
	service := c.serviceOf(s.job.spec)
	if s.awaitsPolicy {
		reason = c.policyWaitReason(s, service, now)
	}
	if reserved > 0 {
		reason += fmt.Sprintf("; %d workers with room are reserved for short tasks", reserved)
	}
	if excluded := c.countExclusions(service, now).String(); excluded != "" {
		reason += "; workers that get nothing: " + excluded
	}
	c.trace(Decision{Event: "step_waits", Job: s.job.spec.ID, Reason: reason, Age: now.Steady - s.job.idleSince})
}

// poolUse returns the share of the workers' processors that is taken.
func poolUse(pool []*worker) float64 {
	var used, size int64
	for _, w := range pool {
		used += w.used.cpu
		size += w.info.CPUMilli
	}
	return float64(used) / float64(max(size, 1))
}

// place starts a task at a worker and adds the task to the worker's load, which is otherwise
// rebuilt only at its next list.
func (c *Core) place(t *task, w *worker, run uint64, now Instant) {
	from := t.continuesFrom()
	d := taskDecision(eventPlaced, t, w, run, t.step.spec.Image)
	d.Detail = from.String()
	c.trace(d)
	c.start(t, w, run, from.text, t.step.ticketFor(w), now)
	s := t.step.spec
	if t.step.short() {
		c.reservedCapacityOf(w.info.Service).placed += s.CPUMilli
	}
	switch {
	case s.Fills:
		c.demand.record(s.Image, 1)
		w.load.addFill(s.Image, float64(s.CPUMilli), w.info.CPUMilli)
	case s.LongRunning && s.TargetMS > 0:
		w.load.addServing(s.Image, priorBaseHeadroom)
	case !s.LongRunning:
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

// choose returns the best worker for one task, or nil. For several tasks of a step, chooser
// rates the workers only once.
func (c *Core) choose(t *task, pool []*worker, v view, now Instant) *worker {
	var best *worker
	bestScore := 0.0
	for _, w := range pool {
		if w.info.ID == t.avoid {
			continue
		}
		score, ok := c.rate(t.step, w, v, now)
		if ok && (best == nil || score > bestScore) {
			best, bestScore = w, score
		}
	}
	return best
}

// rate returns a worker's score for one more task of the step, and false if the
// worker takes none.
func (c *Core) rate(s *stepRun, w *worker, v view, now Instant) (float64, bool) {
	slow := now.Steady < w.slowUntil
	if slow && v.avoidsSlow || w.isReserved && v.avoidsReserved || now.Steady < w.fullUntil || s.spec.Fills && now.Steady < w.keptUntil || !w.fits(s.amount()) || !s.allowed(w) {
		return 0, false
	}
	score, ok := c.score(s, w, v.starved)
	if slow {
		score -= slowWeight
	}
	if now.Steady < w.coldUntil {
		score -= coldWeight
	}
	return score - failWeight*float64(max(w.failStreak-1, 0)), ok
}
