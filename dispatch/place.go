package dispatch

import (
	"cmp"
	"slices"
	"time"

	"leverstile.dev/job"
)

// Figures of placement.
const (
	// servingUse is the part of their declared processor time that lasting
	// tasks use on average.
	servingUse = 0.55
	// admitRatio is the expected tail over target up to which a fill is
	// admitted. Undisturbed tasks are at 0.45 with a hundredth of their
	// readings over 1, so this leaves few readings over the target.
	admitRatio = 0.7
	// doubt is the weight of the model's deviation in admission: of a pair
	// that was not seen yet one or two fills are tried on a worker.
	doubt = 0.3
	// enoughSpare processor time, more of it makes no worker better for a fill.
	enoughSpare = 1.0
	// openWeight is the weight of a worker's openness to other images.
	openWeight = 0.5
	// harmWeight is the weight of an expected rise of a tail, against spare
	// processor time, in the choice of a worker for a fill.
	harmWeight = 2.0
	// mixWeight is the same of another serving image on a worker, in the
	// choice for a lasting task.
	mixWeight = 2.0
	// starvedAfter, a job that has nothing running is placed wherever there
	// is room, whatever the model says.
	starvedAfter = 1500 * time.Millisecond
	// starvedUse is the part of a pool's declared room in use below which this
	// holds. In a fuller pool a job may wait for a place where it does no harm.
	starvedUse = 0.6
	// fillOvercommit is how far the expected processor use of a worker may go
	// over its size by placing fills.
	fillOvercommit = 1.0
	// harmlessRise of a tail over its target does not keep a fill out.
	harmlessRise = 0.03
	// waitingPause is the pause between two log lines on a step that waits.
	waitingPause = time.Second
	// lateFactor times its objective, a job earns nothing for being on time.
	lateFactor = 3
)

// rank orders steps: by priority, then jobs that can still be on time by the
// slack that they have left, then late ones.
type rank struct {
	priority int
	class    int // 0 on time, 1 late, 2 hopeless
	slack    time.Duration
}

func (a rank) compare(b rank) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.class, b.class), cmp.Compare(a.slack, b.slack))
}

// rankOf returns a step's place in the order.
func (c *Core) rankOf(s *stepRun, q job.Queue, now Instant) rank {
	r := rank{priority: q.Priority}
	j := s.job
	from := j.spec.AcceptedMS
	if due := j.spec.DueMS(s.occurrence); due > 0 {
		from = due
	}
	chain := c.chain(j, s.occurrence)
	whole := time.Duration(float64(c.wholeChain(j))*q.Stretch) + q.TargetLatency
	waited := time.Duration(now.UnixMS-from) * time.Millisecond
	r.slack = whole - waited - chain
	switch {
	case r.slack >= 0 || s.spec.Lasting:
	case waited+chain < lateFactor*whole:
		r.class = 1
	default:
		r.class = 2
	}
	return r
}

// wholeChain returns the longest chain of work of the whole job.
func (c *Core) wholeChain(j *jobState) time.Duration {
	ends := make([]time.Duration, len(j.spec.Steps))
	longest := time.Duration(0)
	for i := range j.spec.Steps {
		for _, earlier := range j.spec.Steps[i].After {
			ends[i] = max(ends[i], ends[earlier])
		}
		if i < len(j.steps) && !j.spec.Steps[i].Lasting {
			ends[i] += c.estimate(j.steps[i])
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// candidate is a step that may start tasks in this pass.
type candidate struct {
	step  *stepRun
	queue job.Queue
	rank  rank
}

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

// candidates returns the steps with ready tasks in their order, and forgets
// those that have none.
func (c *Core) candidates(now Instant) []candidate {
	var list []candidate
	kept := c.open[:0]
	for _, s := range c.open {
		if s.job.progress.State.Final() || s.left == 0 {
			s.queued = false
			continue
		}
		if s.ready == 0 && !s.due(now) {
			kept = append(kept, s)
			continue
		}
		if s.ready == 0 && s.job.spec.Occurrences > 0 && !s.blocked() {
			for _, t := range s.tasks {
				if t.phase == phaseWaiting {
					t.phase, t.readySince = phaseReady, now.Steady
					s.ready++
				}
			}
		}
		if s.ready == 0 {
			s.queued = false
			continue
		}
		kept = append(kept, s)
		q, ok := c.queues[s.job.spec.Queue]
		if ok {
			list = append(list, candidate{s, q, c.rankOf(s, q, now)})
		}
	}
	c.open = kept
	slices.SortStableFunc(list, func(a, b candidate) int { return a.rank.compare(b.rank) })
	return list
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
		w.load.addServing(s.Image, 1)
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
	var best *worker
	bestScore := 0.0
	for _, w := range pool {
		if w.info.ID == t.avoid || now.Steady < w.fullUntil || !s.allowed(w) || !w.fits(amount) {
			continue
		}
		score, ok := c.score(s, w, starved)
		if ok && (best == nil || score > bestScore) {
			best, bestScore = w, score
		}
	}
	return best
}

// spareCPU is the processor time that a worker's tasks are expected to leave,
// over the worker's size.
func (w *worker) spareCPU() float64 {
	size := float64(max(w.info.CPUMilli, 1))
	return 1 - (servingUse*float64(w.lastingCPU)+w.load.otherCPU+w.load.fillCPU)/size
}

// score rates a worker for one more task of the step; more is better.
func (c *Core) score(s *stepRun, w *worker, starved bool) (float64, bool) {
	score := 0.0
	if s.spec.DataRack != "" && s.spec.DataRack != w.info.Rack {
		score -= c.params.RemoteFactor - 1
	}
	switch {
	case s.spec.Fills:
		f, ok := c.scoreFill(s, w, starved)
		return score + f, ok
	case s.spec.Lasting:
		return score + c.scoreLasting(s, w), true
	default:
		return score + w.spareCPU(), true
	}
}

// scoreFill rates a worker by the processor time that it leaves and by what
// the fill would do to the tails of the tasks there.
func (c *Core) scoreFill(s *stepRun, w *worker, starved bool) (float64, bool) {
	size := float64(max(w.info.CPUMilli, 1))
	add := float64(s.spec.CPUMilli) / size
	spare := w.spareCPU() - add
	if spare < 1-fillOvercommit && !starved {
		return 0, false
	}
	harm := 0.0
	for _, v := range w.load.serving {
		mean, deviation := c.model.coefficient(v.image, s.spec.Image)
		rise := (mean + doubt*deviation) * add * v.load
		if c.model.expect(v.image, w.load.fills)*v.load+rise > admitRatio && rise > harmlessRise && !starved {
			return 0, false
		}
		harm = max(harm, rise)
	}
	return min(spare, enoughSpare) - harmWeight*harm - openWeight*w.openness, true
}

// scoreLasting packs lasting tasks, each image beside its like only, so that
// each worker's fills have few images to spare and some workers have none.
func (c *Core) scoreLasting(s *stepRun, w *worker) float64 {
	size := float64(max(w.info.CPUMilli, 1))
	score := float64(w.used.cpu) / size
	for _, v := range w.load.serving {
		if v.image == s.spec.Image {
			score++
		} else {
			score -= mixWeight
		}
	}
	return score - harmWeight*max(0, c.model.expect(s.spec.Image, w.load.fills)-c.model.base(s.spec.Image))
}

// placeGang starts all tasks of a gang at once, or none.
func (c *Core) placeGang(s *stepRun, pool []*worker, now Instant) {
	if s.ready < s.left || s.gangRun != 0 {
		return
	}
	for _, t := range s.tasks {
		if t.phase == phaseReady && (now.Steady < t.notBefore || t.concluded && !c.certain(now)) {
			return
		}
	}
	chosen := c.chooseGang(s, pool, now)
	if chosen == nil {
		return
	}
	s.gangRun = c.newRun()
	for i, t := range s.tasks {
		if t.phase == phaseReady {
			c.place(t, chosen[i], s.gangRun, now)
		}
	}
}

// chooseGang returns a worker for each task of a gang: in one rack if it asks
// for that and one has room, else anywhere.
func (c *Core) chooseGang(s *stepRun, pool []*worker, now Instant) []*worker {
	if s.spec.SameRack {
		racks := map[string][]*worker{}
		var names []string
		for _, w := range pool {
			if racks[w.info.Rack] == nil {
				names = append(names, w.info.Rack)
			}
			racks[w.info.Rack] = append(racks[w.info.Rack], w)
		}
		for _, name := range names {
			if chosen := c.fitGang(s, racks[name], now); chosen != nil {
				return chosen
			}
		}
	}
	return c.fitGang(s, pool, now)
}

// fitGang finds room for all tasks, worker by worker, without changing any.
func (c *Core) fitGang(s *stepRun, pool []*worker, now Instant) []*worker {
	amount := s.amount()
	chosen := make([]*worker, 0, len(s.tasks))
	for _, w := range pool {
		if now.Steady < w.fullUntil || !s.allowed(w) {
			continue
		}
		taken := resources{}
		for here := 0; len(chosen) < len(s.tasks); here++ {
			if s.spec.MaxPerWorker > 0 && s.perWork[w]+here >= s.spec.MaxPerWorker {
				break
			}
			taken = taken.add(amount, 1)
			if !w.fits(taken) {
				break
			}
			chosen = append(chosen, w)
		}
	}
	if len(chosen) < len(s.tasks) {
		return nil
	}
	return chosen
}
