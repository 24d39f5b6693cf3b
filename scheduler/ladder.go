package scheduler

// LadderParams are the thresholds of a Ladder, as slow-down factors. Release
// is below Throttle (hysteresis), so that a VM doesn't alternate between
// throttling and release.
type LadderParams struct {
	Throttle float64
	Release  float64
	// Samples is the number of consecutive samples that must pass a threshold.
	Samples int
}

// DefaultLadderParams are the default thresholds.
var DefaultLadderParams = LadderParams{Throttle: 1.5, Release: 1.4, Samples: 2}

// Step is the action that a Ladder decides on.
type Step int

const (
	StepNone Step = iota
	// StepThrottle throttles the tasks of the worst kind on the VM.
	StepThrottle
	// StepEvict evicts one task of the worst kind.
	StepEvict
	// StepRelease ends the throttling.
	StepRelease
)

// Ladder escalates from throttling to eviction of a VM's tasks, from samples of
// its services' slow-down. The step before these, avoiding placements that slow
// a service down, is part of the planner (interferenceFilter).
type Ladder struct {
	throttled               bool
	highSamples, lowSamples int
}

// Next processes one sample: the measured slow-down, and the one predicted
// without throttling. Throttling hides the slow-down that the tasks cause, so
// while tasks are throttled only the prediction counts: they are released once it
// is at most Release, and evicted one by one while it is above.
func (l *Ladder) Next(p LadderParams, measured, unthrottled float64) Step {
	if !l.throttled {
		return l.nextUnthrottled(p, measured)
	}
	if unthrottled <= p.Release {
		l.lowSamples++
		l.highSamples = 0
	} else {
		l.highSamples++
		l.lowSamples = 0
	}
	switch {
	case l.lowSamples >= p.Samples:
		*l = Ladder{}
		return StepRelease
	case l.highSamples >= p.Samples:
		l.highSamples = 0
		return StepEvict
	default:
		return StepNone
	}
}

func (l *Ladder) nextUnthrottled(p LadderParams, measured float64) Step {
	if measured < p.Throttle {
		l.highSamples = 0
		return StepNone
	}
	l.highSamples++
	if l.highSamples < p.Samples {
		return StepNone
	}
	*l = Ladder{throttled: true}
	return StepThrottle
}
