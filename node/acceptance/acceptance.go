// Package acceptance decides how an entry gets a submission or a cancellation recorded
// within its caller's time when the store does not answer: which way next, with which time
// limit, and when to answer what. It makes no calls and reads no clock.
package acceptance

import "time"

// Time limits of a request.
const (
	// CallerTimeout is how long a caller waits unless the call says otherwise.
	CallerTimeout = 3 * time.Second
	// AnswerMargin is the part of the caller's time that is left for the answer to arrive.
	AnswerMargin = 500 * time.Millisecond
	// PeerMargin is the same for a request that another entry passed on; entries are half a
	// millisecond apart.
	PeerMargin = 50 * time.Millisecond
	// MinTime is what a request gets however little time its caller has left: a shorter call
	// would leave the outcome unknown while the store is only slow.
	MinTime = 600 * time.Millisecond
	// HedgeDelay is how long a call may stay unanswered before another way is tried beside
	// it: a slow store takes 360 ms.
	HedgeDelay = 450 * time.Millisecond
	// storeTimeout bounds a call to the store: two of them that get no answer make the store
	// count as down for later requests.
	storeTimeout = 600 * time.Millisecond
	// peerTimeout bounds a call to another entry, which makes one call to the store or, as
	// the owner, has a third entry make it.
	peerTimeout = 900 * time.Millisecond
	// lastCallTime is the time for the last call of a request that openCalls calls left open.
	// Then the store is likelier silent than the ways to it, and a late call meets the end of
	// a short outage.
	lastCallTime = 700 * time.Millisecond
	openCalls    = 2
	// retryPause is the pause before the store is called again after a refusal, doubled after
	// each further one.
	retryPause = 100 * time.Millisecond
	// minCallTime is the shortest time in which a call to the store is worth making, and
	// minPeerTime that of a call to another entry, which calls the store within it.
	minCallTime = 20 * time.Millisecond
	minPeerTime = PeerMargin + 2*minCallTime
)

// MaxExtraCalls is how many calls a request may cause beyond its first.
const MaxExtraCalls = 2

// Way is a route by which a request gets to the store.
type Way uint8

// Ways of a request.
const (
	// Store: this entry makes the conditional write.
	Store Way = iota
	// Entry: another entry that the store has answered recently makes it.
	Entry
	// Owner: the owner of the cell makes it, or has another entry make it.
	Owner
	// Read: this entry reads the record. It settles a request only if it finds the record.
	Read
	numWays
)

// String returns the name of the way, as logged and counted.
func (w Way) String() string { return [...]string{"store", "entry", "owner", "read"}[w] }

// Ways returns all ways.
func Ways() []Way { return []Way{Store, Entry, Owner, Read} }

// Outcome is the result of one call.
type Outcome uint8

// Outcomes of a call.
const (
	// Settled: the record was written or found, or does not need to be.
	Settled Outcome = iota
	// Refused: the call had no effect and will have none.
	Refused
	// Unknown: the call may have taken effect, or may still do so.
	Unknown
)

// Available says which ways a request has at the moment.
type Available struct {
	// Store is set unless the store counts as down for this entry.
	Store bool
	// Entries is the number of other entries that may reach the store and that the request
	// has not tried.
	Entries int
	// Owner is set if another entry owns the cell and is known.
	Owner bool
}

// Action is what to do next with a request.
type Action uint8

// Actions.
const (
	// Call: make a call.
	Call Action = iota
	// Wait: wait for the end of a call, or until a time.
	Wait
	// Answer: answer the caller.
	Answer
)

// Step is the next step of a request.
type Step struct {
	Action Action
	// Way and Limit belong to Call.
	Way   Way
	Limit time.Duration
	// Until belongs to Wait.
	Until time.Duration
	// Outcome belongs to Answer.
	Outcome Outcome
}

// Request is the state of one request. Times are those of one steady clock.
type Request struct {
	end          time.Duration
	storeTimeout time.Duration
	maxExtra     int

	calls, open, silent int
	tried               [numWays]int
	// maybeDone is set once a call may have taken effect without an answer; settled once one
	// of them has settled the request.
	maybeDone, settled bool
	// storeRefused is set if the store refused this entry's latest write.
	storeRefused bool
	// denied is set once the budget refused an extra call.
	denied bool
	// lastCall is when the latest call was made, retryAt the earliest time of the next call to
	// the store.
	lastCall, retryAt time.Duration
}

// NewRequest returns a request that must be answered by end and may cause maxExtra calls
// beyond its first. Its call to the store may take storeCalls times the usual limit.
func NewRequest(end time.Duration, storeCalls, maxExtra int) *Request {
	return &Request{end: end, storeTimeout: storeTimeout * time.Duration(storeCalls), maxExtra: maxExtra}
}

// End returns the time by which a request that came at began must be answered, for a caller
// that waits for the given time; 0 means that it has not said how long.
func End(began, wait time.Duration) time.Duration {
	if wait <= 0 || wait > CallerTimeout {
		wait = CallerTimeout
	}
	return began + max(wait-AnswerMargin, MinTime)
}

// Extra returns the number of calls beyond the first.
func (r *Request) Extra() int { return max(r.calls-1, 0) }

// Next returns the next step. A step that is a call counts as made.
func (r *Request) Next(now time.Duration, can Available, budget *Budget) Step {
	if r.settled {
		return Step{Action: Answer, Outcome: Settled}
	}
	if now >= r.end {
		return r.giveUp()
	}
	way, ok := r.nextWay(can)
	next := r.nextCall(way)
	latest := r.end - minCallTime
	if way == Entry || way == Owner {
		latest = r.end - minPeerTime
	}
	ok = ok && next <= latest && now <= latest
	if ok && now >= next {
		if r.takeFrom(budget) {
			return r.call(way, now)
		}
		ok = false
	}
	if !ok && r.open == 0 {
		return r.giveUp()
	}
	if !ok {
		return Step{Action: Wait, Until: r.end}
	}
	return Step{Action: Wait, Until: next}
}

// giveUp is the answer to a request that is not settled: it is refused only if no call that
// was made may take effect.
func (r *Request) giveUp() Step {
	if r.maybeDone || r.open > 0 {
		return Step{Action: Answer, Outcome: Unknown}
	}
	return Step{Action: Answer, Outcome: Refused}
}

// nextWay chooses a way: this entry's own, then another entry, and only then the owner, which
// has the most work. The store is called again if there is no other way, also while it counts
// as down if an outcome is open: a write that finds the record settles it.
func (r *Request) nextWay(can Available) (Way, bool) {
	if r.calls > r.maxExtra {
		return 0, false
	}
	switch {
	case can.Store && r.tried[Store] == 0:
		return Store, true
	case can.Entries > 0 && r.tried[Entry] == 0:
		return Entry, true
	case can.Owner && r.tried[Owner] == 0:
		return Owner, true
	case can.Entries > 0:
		return Entry, true
	case r.maybeDone && r.storeRefused && r.tried[Read] == 0:
		return Read, true
	case r.tried[Store] > 0 && (can.Store || r.maybeDone):
		return Store, true
	}
	return 0, false
}

// nextCall returns the earliest time of the next call, which goes the given way.
func (r *Request) nextCall(way Way) time.Duration {
	var at time.Duration
	if r.calls == 0 {
		return at
	}
	if way == Store {
		at = r.retryAt
	}
	if r.open > 0 {
		at = max(at, r.lastCall+HedgeDelay)
	}
	if r.silent+r.open >= openCalls && r.calls == r.maxExtra {
		at = max(at, r.end-lastCallTime)
	}
	return at
}

// takeFrom takes the next call from the budget, unless it is the first.
func (r *Request) takeFrom(budget *Budget) bool {
	if r.calls == 0 {
		if r.maxExtra > 0 {
			budget.earn()
		}
		return true
	}
	r.denied = r.denied || !budget.take(r.maybeDone || r.open > 0)
	return !r.denied
}

func (r *Request) call(way Way, now time.Duration) Step {
	r.calls++
	r.open++
	r.tried[way]++
	r.lastCall = now
	limit := peerTimeout
	if way == Store || way == Read {
		limit = r.storeTimeout
	}
	return Step{Action: Call, Way: way, Limit: min(limit, r.end-now)}
}

// Ended records the outcome of a call.
func (r *Request) Ended(way Way, outcome Outcome, now time.Duration) {
	r.open--
	switch outcome {
	case Settled:
		r.settled = true
	case Unknown:
		r.silent++
		// A read has no effect.
		r.maybeDone = r.maybeDone || way != Read
	default:
	}
	if way != Store {
		return
	}
	r.storeRefused = outcome == Refused
	if r.storeRefused {
		r.retryAt = now + retryPause<<(r.tried[Store]-1)
	}
}
