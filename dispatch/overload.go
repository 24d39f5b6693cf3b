package dispatch

import "time"

// Load is how much of its work an owner that lacks processor time still does.
type Load uint8

// Steps of overload, each in addition to those before. Leases, ends and stops
// are never given up: what runs must not be lost or run twice.
const (
	// LoadNormal: all work is done.
	LoadNormal Load = iota
	// LoadFewReadings: tails are read only as often as leases are renewed, and
	// routine decisions are not logged.
	LoadFewReadings
	// LoadNoFills: no fill is started.
	LoadNoFills
	// LoadNoStarts: nothing is started.
	LoadNoStarts
)

// String returns the name of the step, as logged.
func (l Load) String() string {
	return [...]string{"normal", "few_readings", "no_fills", "no_starts"}[l]
}

// Figures of overload.
const (
	// lateFading is what is left of the lateness noticed after a tick: a tenth
	// after a second.
	lateFading = 0.8
	// Lateness from which each step holds. An owner on the smallest VM was 0 to 3
	// ms late before its load came and 21 ms as it came; an urgent job's objective
	// is some 300 ms, and a call to a worker is given up after 400 ms.
	lateFewReadings = 40 * time.Millisecond
	lateNoFills     = 120 * time.Millisecond
	lateNoStarts    = 300 * time.Millisecond
	// mostLate bounds what one late tick counts, so that an owner that was frozen
	// for seconds starts again 0.4 s after it has caught up.
	mostLate = 2 * lateNoStarts
	// lateDoubt is the lateness from which the silence of a worker proves
	// nothing: its answer may have come while the owner did not look.
	lateDoubt = 100 * time.Millisecond
)

// overload follows the owner's own lateness.
type overload struct {
	late     time.Duration
	load     Load
	doubtful time.Duration // when the lateness last was over lateDoubt
}

// Late takes in how late the process does what is due, once a tick.
func (c *Core) Late(late time.Duration, now Instant) {
	o := &c.overload
	o.late = max(min(late, mostLate), time.Duration(float64(o.late)*lateFading))
	if late >= lateDoubt {
		o.doubtful = now.Steady
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

// Load returns the step of overload and the lateness that it follows from.
func (c *Core) Load() (Load, time.Duration) { return c.overload.load, c.overload.late }

// starts reports whether tasks of a step may be started under the present load.
func (o *overload) starts(s *stepRun) bool {
	return o.load < LoadNoFills || o.load < LoadNoStarts && !s.spec.Fills
}
