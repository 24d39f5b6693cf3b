package dispatch

import "time"

// Parameters of tail latency tracking. A reading covers the last half second.
const (
	// overRatio is the share of the target above which a reading counts as over.
	// Readings are imprecise: a task that was over its target for 4 s read 0.86 to 1.2
	// meanwhile.
	overRatio = 0.85
	// clearRatio is the ratio below which a single reading ends a period over the target.
	clearRatio = 0.7
	// readingWarmup is the time after the start of a serving task in which its readings
	// are not representative.
	readingWarmup = 1 * time.Second
	// priorBaseHeadroom is the headroom that a task is assumed to have without fills
	// before its first readings. Headroom without fills swings between 1.6 and 4.
	priorBaseHeadroom = 2.2
	// maxHeadroom limits headroom: beyond it a tail latency is a few milliseconds, and
	// rounding dominates it.
	maxHeadroom = 6.0
	// baseSmoothing is the weight of a new reading in the base headroom.
	baseSmoothing = 0.5
	// sampleGap is the minimum time between two samples that the model learns
	// from, as readings cover half a second. sampleAge is the maximum.
	sampleGap = 450 * time.Millisecond
	sampleAge = 1200 * time.Millisecond
	// minLearnHeadroom is the headroom below which the model ignores a reading: an
	// overloaded server's tail latency has no steady value.
	minLearnHeadroom = 0.33
)

// tailTracker compares the tail latency of a serving task with its target.
type tailTracker struct {
	// ratio is the newest tail latency divided by the target, at is when it was read;
	// over and since are whether and since when the task counts as over its target.
	ratio float64
	at    time.Duration
	over  bool
	since time.Duration
	below int // readings in a row that were not over
	// baseHeadroom is the headroom that the task would have without fills beside it,
	// smoothed; it swings with the task's own load.
	baseHeadroom float64
	hasRead      bool
	// sampled is the headroom at the worker's last sample; see sample.
	sampled   float64
	sampledAt time.Duration
}

func (t *tailTracker) record(ratio float64, now time.Duration) {
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
func (t *tailTracker) overFor(now time.Duration) time.Duration {
	if !t.over {
		return 0
	}
	return now - t.since
}

// headroom returns the target divided by the newest reading of the tail latency.
func (t *tailTracker) headroom() float64 {
	return min(1/max(t.ratio, 1/maxHeadroom), maxHeadroom)
}

// expectedBaseHeadroom returns the headroom that the task is expected to have without
// fills beside it.
func (t *tailTracker) expectedBaseHeadroom() float64 {
	if t.baseHeadroom == 0 {
		return priorBaseHeadroom
	}
	return t.baseHeadroom
}

// updateBaseHeadroom updates the base headroom by the newest reading; the fills beside the
// task took cost of its headroom meanwhile.
func (t *tailTracker) updateBaseHeadroom(cost float64) {
	base := min(t.headroom()+cost, maxHeadroom)
	if t.baseHeadroom == 0 {
		t.baseHeadroom = base
		return
	}
	t.baseHeadroom += baseSmoothing * (base - t.baseHeadroom)
}

// sample is the processor use of a worker's fills when the model last learned from
// its lists.
type sample struct {
	at        time.Duration
	pressures []pressure
}

// updateFromList applies a new list of a worker: it updates the model, and
// slows down or moves the fills that hurt serving tasks.
func (c *Core) updateFromList(w *worker, now Instant) {
	beside := w.measuredPressures()
	if now.Steady-w.sample.at >= sampleGap {
		c.learnFrom(w, beside, now)
	}
	for _, a := range w.attempts {
		if a.hasServingReading(now) {
			a.tail.updateBaseHeadroom(c.model.cost(a.task.step.spec.Image, beside))
		}
	}
	w.rebuildLoad()
	c.adjustPaces(w, now)
	c.refusals.recordChange(w, true)
}

// learnFrom updates the model with the difference between this list and the previous
// sample, and makes this list the next sample.
func (c *Core) learnFrom(w *worker, beside []pressure, now Instant) {
	changes := difference(beside, w.sample.pressures)
	recent := now.Steady-w.sample.at <= sampleAge
	for _, a := range w.attempts {
		if !a.hasServingReading(now) {
			continue
		}
		h := a.tail.headroom()
		if recent && a.tail.sampledAt == w.sample.at && min(h, a.tail.sampled) >= minLearnHeadroom {
			c.model.learn(a.task.step.spec.Image, h-a.tail.sampled, changes)
		}
		a.tail.sampled, a.tail.sampledAt = h, now.Steady
	}
	w.sample = sample{now.Steady, beside}
}

// hasServingReading reports whether the run is of a serving task (long-running, with a latency
// target) past readingWarmup, and the list that is being processed has its reading.
func (a *attempt) hasServingReading(now Instant) bool {
	s := a.task.step.spec
	return s.LongRunning && s.TargetMS > 0 && a.tail.hasRead && a.tail.at == now.Steady && now.Steady-a.started > readingWarmup
}

// measuredPressures sums the newest readings of the worker's fills by image.
func (w *worker) measuredPressures() []pressure {
	var load workerLoad
	for _, a := range w.attempts {
		if a.task.step.spec.Fills {
			load.addFill(a.task.step.spec.Image, a.lastReading, w.info.CPUMilli)
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
