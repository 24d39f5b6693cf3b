package dispatch

import "time"

// Figures of the watch on tails. A reading is over the last half second.
const (
	// overRatio of the target, a reading counts as over. Readings are rough: a
	// task that was over its target for 4 s read 0.86 to 1.2 meanwhile.
	overRatio = 0.85
	// clearRatio ends a stretch over the target with a single reading.
	clearRatio = 0.7
	// firstReadings of a task that serves are from its start and say little.
	firstReadings = 1 * time.Second
	// priorAlone is the headroom that a task is taken to have alone before its
	// first readings: recorded ones swing between 1.6 and 4.
	priorAlone = 2.2
	// mostHeadroom bounds headroom: beyond it a tail is a few milliseconds, and
	// its rounding says more than its size.
	mostHeadroom = 6.0
	// aloneSmoothing is the weight of a new reading in the headroom alone.
	aloneSmoothing = 0.5
	// sampleGap is the least time between two samples that the model learns
	// from: readings are over half a second. sampleAge is the most.
	sampleGap = 450 * time.Millisecond
	sampleAge = 1200 * time.Millisecond
	// leastLearnt is the headroom below which a reading says little: an
	// overloaded server's tail has no steady value.
	leastLearnt = 0.33
)

// tailWatch follows the tail of a serving task over its target.
type tailWatch struct {
	ratio float64
	at    time.Duration
	over  bool
	since time.Duration
	below int // readings in a row that were not over
	// alone is the headroom that the task would have without fills beside it,
	// smoothed; it swings with the task's own load.
	alone   float64
	hasRead bool
	// sampled is the headroom at the worker's last sample; see sample.
	sampled   float64
	sampledAt time.Duration
}

func (t *tailWatch) take(ratio float64, now time.Duration) {
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

// headroom returns the target over the newest reading of the tail.
func (t *tailWatch) headroom() float64 {
	return min(1/max(t.ratio, 1/mostHeadroom), mostHeadroom)
}

// aloneHeadroom returns the headroom that the task is expected to have without
// fills beside it.
func (t *tailWatch) aloneHeadroom() float64 {
	if t.alone == 0 {
		return priorAlone
	}
	return t.alone
}

// noteAlone takes in a reading, beside fills that take cost of it.
func (t *tailWatch) noteAlone(cost float64) {
	now := min(t.headroom()+cost, mostHeadroom)
	if t.alone == 0 {
		t.alone = now
		return
	}
	t.alone += aloneSmoothing * (now - t.alone)
}

// sample is what fills used of a worker when its lists were last read for the
// model to learn from.
type sample struct {
	at        time.Duration
	pressures []pressure
}

// observe draws the consequences of a fresh list: it teaches the model, and
// slows down or moves what hurts.
func (c *Core) observe(w *worker, now Instant) {
	beside := w.measuredPressures()
	if now.Steady-w.sample.at >= sampleGap {
		c.learnFrom(w, beside, now)
	}
	for _, a := range w.attempts {
		if a.servesNow(now) {
			a.tail.noteAlone(c.model.cost(a.task.step.spec.Image, beside))
		}
	}
	w.rebuild()
	c.pace(w, now)
	c.refusals.opened(w, true)
}

// learnFrom teaches the model the difference between this list and the sample
// before it, and makes this the next sample.
func (c *Core) learnFrom(w *worker, beside []pressure, now Instant) {
	changes := difference(beside, w.sample.pressures)
	recent := now.Steady-w.sample.at <= sampleAge
	for _, a := range w.attempts {
		if !a.servesNow(now) {
			continue
		}
		h := a.tail.headroom()
		if recent && a.tail.sampledAt == w.sample.at && min(h, a.tail.sampled) >= leastLearnt {
			c.model.learn(a.task.step.spec.Image, h-a.tail.sampled, changes)
		}
		a.tail.sampled, a.tail.sampledAt = h, now.Steady
	}
	w.sample = sample{now.Steady, beside}
}

// servesNow reports whether the list has a reading of a serving task that is
// past its start.
func (a *attempt) servesNow(now Instant) bool {
	s := a.task.step.spec
	return s.Lasting && s.TargetMS > 0 && a.tail.hasRead && a.tail.at == now.Steady && now.Steady-a.started > firstReadings
}

// measuredPressures sums the newest readings of the worker's fills by image.
func (w *worker) measuredPressures() []pressure {
	var load workerLoad
	for _, a := range w.attempts {
		if a.task.step.spec.Fills {
			load.addFill(a.task.step.spec.Image, a.used, w.info.CPUMilli)
		}
	}
	return load.fills
}

// difference returns a - b, image by image, without those that are equal.
func difference(a, b []pressure) []pressure {
	var d []pressure
	for _, p := range a {
		p.share -= shareOf(b, p.image)
		if p.share != 0 {
			d = append(d, p)
		}
	}
	for _, p := range b {
		if shareOf(a, p.image) == 0 && p.share != 0 {
			d = append(d, pressure{p.image, -p.share})
		}
	}
	return d
}

func shareOf(list []pressure, image string) float64 {
	for _, p := range list {
		if p.image == image {
			return p.share
		}
	}
	return 0
}
