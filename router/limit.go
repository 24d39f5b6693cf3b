package router

// concurrencyLimit bounds an entry's requests in flight by what refusals show
// of the slots that other entries use, so that entries share the slots without
// exchanging messages. The limit settles where refusals for lack of a slot are a
// fixed fraction of answers: few enough to cost little, enough to notice when
// others need less. Answers raise it by a constant, refusals lower it in
// proportion to its size, so that entries with the same load converge to the
// same limit (Chiu and Jain 1989). See docs/design/limits.md.
type concurrencyLimit struct {
	// value is zero until the first refusal, which means no limit.
	value float64
}

const (
	// limitStep is the increase per answer, and the decrease per refusal when the
	// limit equals the entry's even share of all slots. At that limit it is stable
	// with as many refusals as answers.
	limitStep = 0.1
	minLimit  = 1.0
)

// allows reports whether one more request may be sent.
func (l *concurrencyLimit) allows(inFlight int) bool {
	return l.value == 0 || float64(inFlight) < l.value
}

func (l *concurrencyLimit) answered() {
	if l.value > 0 {
		l.value += limitStep
	}
}

// refused lowers the limit, starting from the number of requests in flight when
// an endpoint had no free slot. evenShare is the entry's even share of all slots.
func (l *concurrencyLimit) refused(inFlight int, evenShare float64) {
	if l.value == 0 || float64(inFlight) < l.value {
		l.value = float64(inFlight)
	}
	l.value = max(l.value-limitStep*l.value/max(evenShare, 1), minLimit)
}
