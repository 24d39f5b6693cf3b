package dispatch

import (
	"strconv"
	"time"
)

// Figures of pacing. A reading is over half a second and half a second old.
const (
	// paceHeadroom is the expected headroom that paces aim at.
	paceHeadroom = 1.25
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
	// culpritCost is the headroom that a fill must take of a task to be slowed
	// down or moved: less than that is not worth its delay.
	culpritCost = 0.15
	// A fill whose pace would be below movePace percent is moved.
	movePace = 60
	// moveAge is how long a run must have worked before it is moved, and
	// movesAtOnce how many of a worker are moved at one reading.
	moveAge     = 400 * time.Millisecond
	movesAtOnce = 3
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
	a.used = float64(row.Reading)
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
	scales := c.scales(w)
	moves := 0
	for _, a := range w.attempts {
		if !a.task.step.spec.Fills || a.stopping {
			continue
		}
		percent, cost := c.paceOf(w, a, scales)
		switch {
		case over >= limit(haltAllAfter), over >= limit(haltAfter) && cost >= culpritCost:
			percent = 0
		}
		if percent < movePace && cost >= culpritCost && moves < movesAtOnce && c.movable(a, now) {
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

// servingScale is the pace, from 0 to 1, of fills that take headroom of a
// serving image, at which paceHeadroom is expected to be left.
type servingScale struct {
	image string
	scale float64
}

// scales returns a scale for each serving image of the worker.
func (c *Core) scales(w *worker) []servingScale {
	scales := make([]servingScale, 0, len(w.load.serving))
	for _, v := range w.load.serving {
		room := v.alone - paceHeadroom
		wanted := 0.0
		for _, a := range w.attempts {
			if !a.task.step.spec.Fills || a.stopping {
				continue
			}
			if cost := c.costOf(w, a, v.image); cost >= culpritCost {
				wanted += cost
			} else {
				room -= cost
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

// costOf returns the headroom that a fill at its full pace is expected to take
// of a serving image beside it.
func (c *Core) costOf(w *worker, a *attempt, serving string) float64 {
	mean, _ := c.model.coefficient(serving, a.task.step.spec.Image)
	return mean * a.demand() / float64(max(w.info.CPUMilli, 1))
}

// paceOf returns the pace of a fill, in percent, and the most headroom that it
// is expected to take of a task.
func (c *Core) paceOf(w *worker, a *attempt, scales []servingScale) (percent int, most float64) {
	scale := 1.0
	for _, v := range scales {
		cost := c.costOf(w, a, v.image)
		most = max(most, cost)
		if cost >= culpritCost {
			scale = min(scale, v.scale)
		}
	}
	return int(scale*fullPace) / paceStep * paceStep, most
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
