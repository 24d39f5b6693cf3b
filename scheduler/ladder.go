package scheduler

// LadderParams are the thresholds of a Ladder, as slow-down factors. Release
// lies well below Throttle, so that a VM doesn't go back and forth.
type LadderParams struct {
	Throttle float64
	Evict    float64
	Release  float64
	// Samples in a row that a threshold must be passed for.
	Samples int
}

// DefaultLadderParams are the thresholds in use.
var DefaultLadderParams = LadderParams{Throttle: 1.5, Evict: 1.8, Release: 1.2, Samples: 2}

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

// Next takes one sample.
func (l *Ladder) Next(p LadderParams, factor float64) Step {
	limit := p.Throttle
	if l.throttled {
		limit = p.Evict
	}
	if factor <= p.Release {
		l.low++
	} else {
		l.low = 0
	}
	if factor < limit {
		l.high = 0
		return l.release(p)
	}
	l.high++
	if l.high < p.Samples {
		return StepNone
	}
	l.high = 0
	if l.throttled {
		return StepEvict
	}
	l.throttled = true
	return StepThrottle
}

func (l *Ladder) release(p LadderParams) Step {
	if !l.throttled || l.low < p.Samples {
		return StepNone
	}
	l.throttled = false
	return StepRelease
}

// Throttled reports whether the VM's worst kind is throttled now.
func (l *Ladder) Throttled() bool { return l.throttled }
