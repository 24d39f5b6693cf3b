package dispatch

import (
	"strconv"
	"time"
)

// Figures of pacing. A reading is over half a second and half a second old.
const (
	// overRatio of the target, a reading counts as over. Readings are rough: a
	// task that was over its target for 4 s read 0.86 to 1.2 meanwhile.
	overRatio = 0.85
	// clearRatio ends a stretch over the target with a single reading.
	clearRatio = 0.7
	// loadSmoothing is the weight of a new reading in a task's load, and
	// leastLoad and mostLoad its bounds: loads swing by half in 14 to 20 s.
	loadSmoothing = 0.3
	leastLoad     = 0.7
	mostLoad      = 2.5
	// paceRatio is the expected tail over target that paces aim at.
	paceRatio = 0.8
	// squeezeAfter over its target, the fills that hurt a task are slowed
	// further; haltAfter they are halted, and haltAllAfter all fills beside.
	// Each is a part of the time allowed over the target; the rest is for the
	// age of readings and the order's way.
	squeezeAfter = 0.1
	haltAfter    = 0.25
	haltAllAfter = 0.45
	// squeezeFactor is applied with each reading over the target, squeezeEase
	// with each that is not.
	squeezeFactor = 0.6
	squeezeEase   = 1.5
	// culpritRise is the expected part in a tail from which a fill is slowed
	// down or moved: less than that is not worth its delay.
	culpritRise = 0.06
	// moveRise is the same for a move, if its pace would be below movePace.
	moveRise = 0.08
	movePace = 60
	// moveAge is how long a run must have worked before it is moved, and
	// movesAtOnce how many of a worker are moved at one reading.
	moveAge     = 400 * time.Millisecond
	movesAtOnce = 3
	// firstReadings of a task that serves are from its start and say little.
	firstReadings = 1 * time.Second
	// paceStep is the grain of paces, in percent: a finer one costs orders.
	paceStep = 20
	// cpuSmoothing is the weight of a new reading of processor use.
	cpuSmoothing = 0.5
	// youngRun is the age below which a fill's reading says little yet.
	youngRun = 700 * time.Millisecond
	// leastPaceRead is the pace below which a reading of processor use says
	// little of what the fill would use at its full pace.
	leastPaceRead = 40
)

// tailWatch follows the tail of a serving task over its target.
type tailWatch struct {
	ratio float64
	at    time.Duration
	over  bool
	since time.Duration
	below int // readings in a row that were not over
	// load is the task's own load, by its readings over the expected ones.
	load    float64
	hasRead bool
}

func (t *tailWatch) take(ratio float64, now time.Duration) {
	if !t.hasRead {
		t.load = 1
	}
	t.hasRead = true
	t.ratio, t.at = ratio, now
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
	if !row.HasReading {
		return
	}
	s := t.step.spec
	if s.Lasting && s.TargetMS > 0 {
		a.tail.take(float64(row.Reading)/float64(s.TargetMS), now.Steady)
		return
	}
	if now.Steady-a.started < youngRun || a.paced < leastPaceRead {
		return
	}
	full := float64(row.Reading) * fullPace / float64(a.paced)
	if !a.hasUse {
		a.fullCPU, a.hasUse = full, true
		return
	}
	a.fullCPU += cpuSmoothing * (full - a.fullCPU)
}

// observe draws the consequences of a fresh list: it teaches the model, and
// slows down or moves what hurts.
func (c *Core) observe(w *worker, now Instant) {
	w.rebuild()
	for _, a := range w.attempts {
		s := a.task.step.spec
		if s.Lasting && s.TargetMS > 0 && a.tail.at == now.Steady && a.tail.hasRead && now.Steady-a.started > firstReadings {
			a.noteLoad(c.model.expect(s.Image, w.load.fills))
			c.model.learn(s.Image, a.tail.ratio, w.load.fills)
		}
	}
	c.pace(w, now)
}

// noteLoad compares the newest reading with the expected one: what is left is
// the load of the task itself, by which what runs beside it counts more or less.
func (a *attempt) noteLoad(expected float64) {
	factor := a.tail.ratio / max(expected, 0.05)
	a.tail.load += loadSmoothing * (factor - a.tail.load)
	a.tail.load = min(max(a.tail.load, leastLoad), mostLoad)
}

// pace sets the speed of the worker's fills: by the model, so that tails stay
// below their targets, and by the readings where the model is wrong.
func (c *Core) pace(w *worker, now Instant) {
	over := w.longestOver(now)
	limit := func(share float64) time.Duration {
		return time.Duration(float64(c.params.OverTarget) * share)
	}
	switch {
	case over > 0 && over >= limit(squeezeAfter):
		w.squeeze = max(w.squeeze*squeezeFactor, 0.05)
	case over == 0:
		w.squeeze = min(w.squeeze*squeezeEase, 1)
	}
	scales := c.headroom(w)
	moves := 0
	for _, a := range w.attempts {
		if !a.task.step.spec.Fills || a.stopping {
			continue
		}
		percent, rise := c.paceOf(w, a, scales)
		switch {
		case over >= limit(haltAllAfter), over >= limit(haltAfter) && rise >= culpritRise:
			percent = 0
		}
		if percent < movePace && rise >= moveRise && moves < movesAtOnce && c.movable(a, now) {
			moves++
			c.move(a, "it hurts tasks that serve", now)
			continue
		}
		c.setPace(w, a, percent, over)
	}
	c.sendPaces(w, now)
}

// longestOver returns for how long a task of the worker has been over its target.
func (w *worker) longestOver(now Instant) time.Duration {
	longest := time.Duration(0)
	for _, a := range w.attempts {
		if a.tail.hasRead {
			longest = max(longest, a.tail.overFor(now.Steady))
		}
	}
	return longest
}

// servingScale is the pace, from 0 to 1, of fills that hurt a serving image, at
// which its tail is expected to stay within paceRatio.
type servingScale struct {
	image string
	scale float64
}

// headroom returns a scale for each serving image of the worker.
func (c *Core) headroom(w *worker) []servingScale {
	scales := make([]servingScale, 0, len(w.load.serving))
	for _, v := range w.load.serving {
		room := paceRatio/v.load - c.model.base(v.image)
		wanted := 0.0
		for _, a := range w.attempts {
			if !a.task.step.spec.Fills || a.stopping {
				continue
			}
			if rise := c.rise(w, a, v.image); rise >= culpritRise {
				wanted += rise
			} else {
				room -= rise
			}
		}
		scale := 1.0
		if wanted > 0 {
			scale = min(max(room, 0)/wanted, 1)
		}
		scales = append(scales, servingScale{v.image, scale * w.squeeze})
	}
	return scales
}

// rise returns the expected part of a fill, at its full pace, in the tail over
// target of a serving image beside it.
func (c *Core) rise(w *worker, a *attempt, serving string) float64 {
	mean, _ := c.model.coefficient(serving, a.task.step.spec.Image)
	return mean * a.demand() / float64(max(w.info.CPUMilli, 1))
}

// paceOf returns the pace of a fill, in percent, and its largest expected part
// in a tail.
func (c *Core) paceOf(w *worker, a *attempt, scales []servingScale) (percent int, rise float64) {
	scale := 1.0
	for _, v := range scales {
		r := c.rise(w, a, v.image)
		rise = max(rise, r)
		if r >= culpritRise {
			scale = min(scale, v.scale)
		}
	}
	return int(scale*fullPace) / paceStep * paceStep, rise
}

func (c *Core) setPace(w *worker, a *attempt, percent int, over time.Duration) {
	if a.percent == percent {
		return
	}
	if percent < a.percent {
		c.stats.Paced++
		c.trace(Decision{Event: "fill_slowed", Job: a.task.step.job.spec.ID, Task: a.task.id(), Run: a.run, Worker: w.info.ID, Reason: strconv.Itoa(percent), Age: over})
	}
	a.percent = percent
}

// movable reports whether a fill can go on elsewhere without losing work.
func (c *Core) movable(a *attempt, now Instant) bool {
	return a.task.step.spec.Checkpoints && a.task.phase == phaseRunning &&
		now.Steady-a.started > moveAge && c.hasRoomElsewhere(a.task, now)
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
