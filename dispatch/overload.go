package dispatch

import "time"

// Load is a step of load shedding: how much of its work an owner that lacks processor time still
// does.
type Load uint8

// Steps of load shedding; each includes those before it. Leases, ends and stops are processed at
// every step: a running task must neither be lost nor run twice.
const (
	// LoadNormal: all work is done.
	LoadNormal Load = iota
	// LoadFewReadings: tail latencies are read only as often as leases are renewed,
	// and routine decisions are not logged.
	LoadFewReadings
	// LoadNoFills: no fill task, which uses only processor time that others leave, is
	// started.
	LoadNoFills
	// LoadNoStarts: no task is started.
	LoadNoStarts
)

// String returns the name of the step as it is logged.
func (l Load) String() string {
	return [...]string{"normal", "few_readings", "no_fills", "no_starts"}[l]
}

// Limits of overload.
const (
	// latenessDecay is the factor by which an observed lateness decays each tick: a
	// tenth is left after a second.
	latenessDecay = 0.8
	// The lateness from which each step applies. On the smallest VM an owner is 0 to 3 ms
	// late before its load arrives and 21 ms as it arrives; an urgent job's objective is
	// some 300 ms, and a call to a worker times out after 400 ms.
	lateFewReadings = 40 * time.Millisecond
	lateNoFills     = 120 * time.Millisecond
	lateNoStarts    = 300 * time.Millisecond
	// maxLateness bounds what one late tick counts, so that an owner that was frozen
	// for seconds starts tasks again 0.4 s after it has caught up.
	maxLateness = 2 * lateNoStarts
	// lateInconclusive is the lateness from which a worker's silence proves nothing:
	// its answer may have arrived without the owner having processed it.
	lateInconclusive = 100 * time.Millisecond
)

// overload tracks the owner's own lateness and the step of load shedding that follows from it.
type overload struct {
	late           time.Duration
	load           Load
	inconclusiveAt time.Duration // when the lateness last reached lateInconclusive
}

// ObserveLateness records, once a tick, how late the process does the work that is due.
func (c *Core) ObserveLateness(late time.Duration, now Instant) {
	o := &c.overload
	o.late = max(min(late, maxLateness), time.Duration(float64(o.late)*latenessDecay))
	if late >= lateInconclusive {
		o.inconclusiveAt = now.Steady
	}
	if load := loadAt(o.late); load != o.load {
		o.load = load
		c.trace(Decision{Event: "overload", Reason: load.String(), Age: o.late})
	}
}

func loadAt(late time.Duration) Load {
	switch {
	case late >= lateNoStarts:
		return LoadNoStarts
	case late >= lateNoFills:
		return LoadNoFills
	case late >= lateFewReadings:
		return LoadFewReadings
	default:
		return LoadNormal
	}
}

// Load returns the step of load shedding and the lateness that it follows from.
func (c *Core) Load() (Load, time.Duration) { return c.overload.load, c.overload.late }

// allowsStart reports whether tasks of a job's step may be started at the present load.
func (o *overload) allowsStart(s *stepRun) bool {
	return o.load < LoadNoFills || o.load < LoadNoStarts && !s.spec.Fills
}
