package router

import "time"

// Policy chooses an endpoint with capacity for one more request, excluding those
// tried before. Pick returns nil if there is none, and the number of candidates
// considered. Implementations must not change the table.
type Policy interface {
	Name() string
	Pick(t *Table, now time.Duration, tried []*endpoint) (*endpoint, int)
}

// DefaultPolicy returns the policy in use; see docs/design/endpoint-choice.md.
func DefaultPolicy() Policy { return &LeastLoaded{OwnOnly: true} }

func wasTried(e *endpoint, tried []*endpoint) bool {
	for _, o := range tried {
		if o == e {
			return true
		}
	}
	return false
}

// Random takes any endpoint with capacity.
type Random struct{}

// Name implements Policy.
func (Random) Name() string { return "random" }

// Pick implements Policy.
func (Random) Pick(t *Table, now time.Duration, tried []*endpoint) (*endpoint, int) {
	n := len(t.endpoints)
	if n == 0 {
		return nil, 0
	}
	start := t.rng.IntN(n)
	for i := range n {
		e := t.endpoints[(start+i)%n]
		if t.hasCapacity(now, e) && !wasTried(e, tried) {
			return e, n
		}
	}
	return nil, 0
}

// RoundRobin takes the endpoints in turn.
type RoundRobin struct{ next int }

// Name implements Policy.
func (*RoundRobin) Name() string { return "round-robin" }

// Pick implements Policy.
func (p *RoundRobin) Pick(t *Table, now time.Duration, tried []*endpoint) (*endpoint, int) {
	n := len(t.endpoints)
	for range n {
		e := t.endpoints[p.next%n]
		p.next++
		if t.hasCapacity(now, e) && !wasTried(e, tried) {
			return e, n
		}
	}
	return nil, 0
}

// TwoChoices takes the less loaded of two random endpoints (Mitzenmacher 2001).
// OwnOnly ignores the load that peers report.
type TwoChoices struct{ OwnOnly bool }

// Name implements Policy.
func (p TwoChoices) Name() string {
	if p.OwnOnly {
		return "two-choices-own"
	}
	return "two-choices-peers"
}

// maxDraws bounds the random draws for an endpoint with capacity before all
// endpoints are checked.
const maxDraws = 4

// Pick implements Policy.
func (p TwoChoices) Pick(t *Table, now time.Duration, tried []*endpoint) (*endpoint, int) {
	a := p.draw(t, now, tried)
	if a == nil {
		return nil, 0
	}
	b := p.draw(t, now, tried)
	if b != nil && p.load(b) < p.load(a) {
		return b, 2
	}
	return a, 2
}

func (p TwoChoices) load(e *endpoint) int {
	if p.OwnOnly {
		return e.own
	}
	return e.own + e.others
}

func (p TwoChoices) draw(t *Table, now time.Duration, tried []*endpoint) *endpoint {
	n := len(t.endpoints)
	if n == 0 {
		return nil
	}
	for range maxDraws {
		e := t.endpoints[t.rng.IntN(n)]
		if t.hasCapacity(now, e) && !wasTried(e, tried) {
			return e
		}
	}
	e, _ := Random{}.Pick(t, now, tried)
	return e
}

// LeastLoaded compares all endpoints, or a random contiguous sample of sampleSize
// if there are more than twice as many, and takes the one where a request is
// expected to end first: by the load of this entry and its peers, and by the
// endpoint's mean latency. Endpoints of the entry's own place are preferred while
// they have spare capacity.
type LeastLoaded struct {
	// OwnOnly ignores peers' reports, IgnoreLatency the endpoints' latency.
	OwnOnly       bool
	IgnoreLatency bool
}

// Name implements Policy.
func (p *LeastLoaded) Name() string {
	switch {
	case p.OwnOnly:
		return "least-loaded-own"
	case p.IgnoreLatency:
		return "least-loaded-peers"
	default:
		return "least-loaded"
	}
}

// remotePlacePenalty is the extra cost of an endpoint in another place, as a
// fraction of the slots: the own place is preferred until it is that much busier.
const remotePlacePenalty = 0.5

// sampleSize bounds the endpoints with capacity that are compared where there
// are more than twice as many, so that a choice costs the same at any size.
const sampleSize = 48

// Pick implements Policy.
func (p *LeastLoaded) Pick(t *Table, now time.Duration, tried []*endpoint) (*endpoint, int) {
	var best *endpoint
	bestCost, ties, seen := 0.0, 0, 0
	n, at := len(t.endpoints), 0
	if n > 2*sampleSize {
		at = t.rng.IntN(n)
	}
	for scanned := 0; scanned < n && (n <= 2*sampleSize || seen < sampleSize); scanned++ {
		e := t.endpoints[at]
		if at++; at == n {
			at = 0
		}
		if !t.hasCapacity(now, e) || wasTried(e, tried) {
			continue
		}
		seen++
		cost := p.cost(t, e)
		switch {
		case best == nil || cost < bestCost:
			best, bestCost, ties = e, cost, 1
		case cost == bestCost:
			// Each of the endpoints with equal cost is taken with the same probability,
			// so that entries with the same view don't all choose the same one.
			ties++
			if t.rng.IntN(ties) == 0 {
				best = e
			}
		}
	}
	return best, seen
}

func (p *LeastLoaded) cost(t *Table, e *endpoint) float64 {
	load := e.own
	if !p.OwnOnly {
		load += e.others
	}
	cost := float64(load + 1)
	if !p.IgnoreLatency {
		cost *= float64(max(e.latency, latencyFloor(t))) / float64(max(t.latency, 1))
	}
	if e.Place != t.params.Place {
		cost += remotePlacePenalty * float64(t.params.Slots)
	}
	return cost
}

// latencyFloor is the latency below which endpoints are treated alike: latency
// counts only where it is clearly above the mean, so that noise has no influence.
func latencyFloor(t *Table) time.Duration { return t.latency * 3 / 2 }
