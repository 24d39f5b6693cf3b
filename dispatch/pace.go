package dispatch

import (
	"sort"
	"time"
)

// Figures of pacing. A reading is over half a second and half a second old.
const (
	// overRatio of the target, a reading counts as over: the rules count from
	// 1, readings are rough.
	overRatio = 1.0
	// cutRatio is the ratio from which fills that hurt are slowed at once.
	cutRatio = 1.15
	// calmRatio is the ratio below which slowed fills are let go again.
	calmRatio = 0.8
	// clearRatio ends a stretch over the target with a single reading.
	clearRatio = 0.75
	// cutFactor and liftStep change a pace, in percent.
	cutFactor = 0.5
	liftStep  = 50
	// haltShare of the time allowed over the target, all fills beside are
	// halted: the rest is for the age of readings and the order's way.
	haltShare = 0.4
	// leastPace is the pace below which a fill is halted.
	leastPace = 13
	// tailSmoothing is the weight of a new reading in the smoothed tail.
	tailSmoothing = 0.4
	// cpuSmoothing is the same for processor use.
	cpuSmoothing = 0.5
	// culpritRise is the expected part in a tail from which a fill is slowed
	// down or moved: less than that is not worth its delay.
	culpritRise = 0.08
	// blameAll over its target for so long, all fills beside a task are slowed
	// down, since the model does not know the culprit.
	blameAll = 900 * time.Millisecond
	// moveAge is how long a run must have worked before it is moved, and
	// movesAtOnce how many of a worker are moved at one reading.
	moveAge     = 400 * time.Millisecond
	movesAtOnce = 3
	// firstReadings of a task that serves are from its start and say little.
	firstReadings = 1 * time.Second
	// youngRun is the age below which a fill's reading says little yet.
	youngRun = 700 * time.Millisecond
)

// tailWatch follows the tail of a serving task over its target.
type tailWatch struct {
	ratio   float64
	smooth  float64
	at      time.Duration
	over    bool
	since   time.Duration
	below   int // readings in a row that were not over
	hasRead bool
}

func (t *tailWatch) take(ratio float64, now time.Duration) {
	if !t.hasRead {
		t.smooth = ratio
	}
	t.hasRead = true
	t.ratio, t.at = ratio, now
	t.smooth += tailSmoothing * (ratio - t.smooth)
	switch {
	case ratio > overRatio && !t.over:
		t.over, t.since, t.below = true, now, 0
	case ratio > overRatio:
		t.below = 0
	case t.over:
		t.below++
		if t.below >= 2 || ratio < clearRatio {
			t.over = false
		}
	}
}

// overFor returns for how long the task has been over its target.
func (t *tailWatch) overFor(now time.Duration) time.Duration {
	if !t.over {
		return 0
	}
	return now - t.since
}

// read takes in the reading of a listed run.
func (c *Core) read(a *attempt, row *RunningTask, now Instant) {
	t := a.task
	t.atWork = row.Percent >= fullPace
	if !row.HasReading {
		return
	}
	s := t.step.spec
	if s.Lasting && s.TargetMS > 0 {
		a.tail.take(float64(row.Reading)/float64(s.TargetMS), now.Steady)
		return
	}
	if now.Steady-a.started < youngRun {
		return
	}
	if !a.hasUse {
		a.usedCPU, a.hasUse = float64(row.Reading), true
		return
	}
	a.usedCPU += cpuSmoothing * (float64(row.Reading) - a.usedCPU)
}

// observe draws the consequences of a fresh list: it teaches the model, and
// slows down or moves what hurts.
func (c *Core) observe(w *worker, now Instant) {
	w.rebuild()
	for _, a := range w.attempts {
		s := a.task.step.spec
		if s.Lasting && s.TargetMS > 0 && a.tail.at == now.Steady && a.tail.hasRead && now.Steady-a.started > firstReadings {
			c.model.learn(s.Image, a.tail.ratio, w.load.fills)
		}
	}
	c.pace(w, now)
}

// pace sets the speed of the worker's fills by the tails beside them.
func (c *Core) pace(w *worker, now Instant) {
	var worst *attempt
	longest := time.Duration(0)
	for _, a := range w.attempts {
		if !a.tail.hasRead || a.task.step.spec.TargetMS == 0 {
			continue
		}
		if worst == nil || a.tail.ratio > worst.tail.ratio {
			worst = a
		}
		longest = max(longest, a.tail.overFor(now.Steady))
	}
	if worst == nil {
		c.liftAll(w, fullPace, now)
		return
	}
	switch halt := time.Duration(float64(c.params.OverTarget) * haltShare); {
	case longest >= halt:
		c.halt(w, longest, now)
	case worst.tail.ratio > cutRatio:
		c.cut(w, worst, now)
	case worst.tail.ratio < calmRatio && worst.tail.smooth < overRatio:
		c.liftAll(w, liftStep, now)
	}
	c.sendPaces(w, now)
}

// halt stops all work of fills beside a task that was over its target too long.
func (c *Core) halt(w *worker, over time.Duration, now Instant) {
	for _, a := range w.attempts {
		if a.task.step.spec.Fills && a.percent > 0 {
			a.percent = 0
			c.stats.Paced++
			c.trace(Decision{Event: "fill_halted", Job: a.task.step.job.spec.ID, Task: a.task.id(), Run: a.run, Worker: w.info.ID, Reason: "a task is over its target", Age: over})
		}
	}
}

// culprit is a fill with its expected part in a tail.
type culprit struct {
	a    *attempt
	part float64
}

// cut moves or slows down those fills that by the model raise the worst tail
// most.
func (c *Core) cut(w *worker, worst *attempt, now Instant) {
	image := worst.task.step.spec.Image
	blind := worst.tail.overFor(now.Steady) >= blameAll
	need := worst.tail.ratio - calmRatio
	moves := 0
	for _, x := range c.culprits(w, image) {
		if need <= 0 || x.part < culpritRise && !blind {
			return
		}
		need -= x.part
		if moves < movesAtOnce && x.part >= culpritRise && c.movable(x.a, now) {
			moves++
			c.move(x.a, "it hurts "+image, now)
			continue
		}
		next := int(float64(x.a.percent) * cutFactor)
		if next < leastPace {
			next = 0
		}
		x.a.percent = next
		c.stats.Paced++
		c.trace(Decision{Event: "fill_slowed", Job: x.a.task.step.job.spec.ID, Task: x.a.task.id(), Run: x.a.run, Worker: w.info.ID, Reason: image})
	}
}

// culprits returns the worker's fills by their expected part in an image's
// tail, the largest first.
func (c *Core) culprits(w *worker, image string) []culprit {
	var list []culprit
	for _, a := range w.attempts {
		if !a.task.step.spec.Fills || a.percent == 0 || a.stopping {
			continue
		}
		mean, _ := c.model.coefficient(image, a.task.step.spec.Image)
		list = append(list, culprit{a, mean * a.cpu() / float64(max(w.info.CPUMilli, 1))})
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].part != list[j].part {
			return list[i].part > list[j].part
		}
		return list[i].a.run < list[j].a.run
	})
	return list
}

// movable reports whether a fill can go on elsewhere without losing work.
func (c *Core) movable(a *attempt, now Instant) bool {
	return a.task.step.spec.Checkpoints && a.task.phase == phaseRunning &&
		now.Steady-a.started > moveAge && c.hasRoomElsewhere(a.task, now)
}

func (c *Core) liftAll(w *worker, step int, now Instant) {
	for _, a := range w.attempts {
		if a.task.step.spec.Fills && a.percent < fullPace {
			a.percent = min(a.percent+step, fullPace)
		}
	}
	c.sendPaces(w, now)
}

// sendPaces tells the worker of paces that it does not know.
func (c *Core) sendPaces(w *worker, now Instant) {
	for _, a := range w.attempts {
		if a.percent == a.paced || a.stopping || a.task.phase != phaseRunning || now.Steady-a.started < c.params.PaceAfter {
			continue
		}
		if now.Steady-a.paceAt < holdWaitWatched/2 {
			continue
		}
		a.paceAt = now.Steady
		c.out = append(c.out, Order{
			Kind: OrderPace, Worker: w.info.ID, Address: w.info.Address, Term: c.term,
			Task: a.task.id(), Run: a.run, Percent: a.percent,
		})
	}
}
