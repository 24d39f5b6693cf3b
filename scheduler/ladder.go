package scheduler

// LadderParams are the thresholds of a Ladder, as slow-down factors. Release
// lies below Throttle, so that a VM doesn't go back and forth.
type LadderParams struct {
	Throttle float64
	Release  float64
	// Samples in a row that a threshold must be passed for.
	Samples int
}

// DefaultLadderParams are the thresholds in use.
var DefaultLadderParams = LadderParams{Throttle: 1.5, Release: 1.4, Samples: 2}

// Step is what a Ladder asks for.
type Step int

// Steps of the ladder.
const (
	StepNone Step = iota
	// StepThrottle slows down the tasks of the worst kind on the VM.
	StepThrottle
	// StepEvict ends one task of the worst kind.
	StepEvict
	// StepRelease lets throttled tasks run freely again.
	StepRelease
)

// Ladder decides from the slow-down samples of one VM what to do about its
// tasks. The first step, avoid, is the planner's.
type Ladder struct {
	throttled bool
	high, low int
}

// Next takes one sample: the measured slow-down, and the one predicted if
// nothing were throttled. While tasks are throttled the measured one tells
// little; they are released once the prediction allows it, and one by one
// evicted as long as it does not.
func (l *Ladder) Next(p LadderParams, measured, unthrottled float64) Step {
	if !l.throttled {
		return l.watch(p, measured)
	}
	if unthrottled <= p.Release {
		l.low++
		l.high = 0
	} else {
		l.high++
		l.low = 0
	}
	switch {
	case l.low >= p.Samples:
		*l = Ladder{}
		return StepRelease
	case l.high >= p.Samples:
		l.high = 0
		return StepEvict
	default:
		return StepNone
	}
}

func (l *Ladder) watch(p LadderParams, measured float64) Step {
	if measured < p.Throttle {
		l.high = 0
		return StepNone
	}
	l.high++
	if l.high < p.Samples {
		return StepNone
	}
	*l = Ladder{throttled: true}
	return StepThrottle
}
