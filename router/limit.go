package router

// concurrencyLimit bounds an entry's requests in flight by what refusals show
// of the slots that other entries use, so that entries share the slots without
// talking about it. The limit settles where refusals for want of a slot are a
// fixed part of answers: few enough to cost little, enough to notice when
// others need less. Answers raise it by a constant, refusals lower it in
// proportion to its size, so that entries with the same load end up with the
// same limit (Chiu and Jain 1989). docs/design/limits.md has the measurements.
type concurrencyLimit struct {
	// value is zero until the first refusal: no limit.
	value float64
}

const (
	// limitStep is the increase by an answer, and the decrease by a refusal of a
	// limit that is just the entry's even part of all slots. There, as many
	// refusals as answers keep it where it is.
	limitStep = 0.1
	minLimit  = 1.0
)

// room reports whether one more request may be sent.
func (l *concurrencyLimit) room(inFlight int) bool {
	return l.value == 0 || float64(inFlight) < l.value
}

func (l *concurrencyLimit) answered() {
	if l.value > 0 {
		l.value += limitStep
	}
}

// refused lowers the limit from what was in flight when an endpoint had no
// slot left. even is the entry's even part of all slots.
func (l *concurrencyLimit) refused(inFlight int, even float64) {
	if l.value == 0 || float64(inFlight) < l.value {
		l.value = float64(inFlight)
	}
	l.value = max(l.value-limitStep*l.value/max(even, 1), minLimit)
}
