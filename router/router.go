// Package router chooses endpoints for requests, limits what is sent to them,
// queues requests and retries them. It does no I/O and reads no clock: Table
// takes clock readings and events and returns actions; the caller sends the
// requests.
package router

import (
	"maps"
	"math/rand/v2"
	"time"

	"leverstile.dev/api/result"
)

// Class orders requests under overload; lower is more important.
type Class int

// Classes.
const (
	LatencyCritical Class = iota
	Standard
	Batch
	numClasses
)

// Request describes a request to be routed. Times are clock readings.
type Request struct {
	ID         uint64
	Group      string
	Class      Class
	Repeatable bool
	// Once limits the request to a single attempt, whatever its outcome.
	Once     bool
	Deadline time.Duration
}

// Endpoint is one endpoint of the service, as listed by the platform.
type Endpoint struct {
	ID    string // address
	VM    string
	Place string
}

// Kind is the kind of an Outcome.
type Kind int

// Outcomes of an attempt.
const (
	// Answered means a complete answer that isn't a server fault.
	Answered Kind = iota
	// Refused means that the endpoint reported that it did not begin.
	Refused
	// Unsent means that nothing reached the endpoint.
	Unsent
	// Fault means a complete answer with a server fault.
	Fault
	// Lost means that the request was sent and no complete answer came.
	Lost
	// Abandoned means that the caller disconnected; it is no evidence about the
	// endpoint.
	Abandoned
	// Leaving means that the endpoint refused because it is stopping.
	Leaving
)

// Outcome is the result of an attempt. AnswerBegan is set when part of an answer
// has reached the caller, so that the request can't be retried.
type Outcome struct {
	Kind        Kind
	Latency     time.Duration
	AnswerBegan bool
}

// ActionKind is the kind of an Action.
type ActionKind int

// Kinds of actions.
const (
	// Send sends the request to an endpoint.
	Send ActionKind = iota
	// Refuse ends the request with a code; it was not run.
	Refuse
	// Fail ends the request with a code of another family: it may have run.
	Fail
)

// Action is a step that the caller of Table carries out for a request.
type Action struct {
	Kind       ActionKind
	Request    uint64
	Endpoint   Endpoint
	Attempt    int
	Code       result.Code
	RetryAfter time.Duration
	// Candidates is the number of endpoints that could have been chosen.
	Candidates int
}

// Params are the parameters of a service's table.
type Params struct {
	Slots int
	// Place of this entry; its endpoints are preferred while they have capacity.
	Place string
	// Queue bounds the waiting requests of all classes.
	Queue int
	// Attempts bounds the attempts of a request.
	Attempts int
	// RetryRatio is how many retries each request adds to the budget.
	RetryRatio float64
	// Entries is how many entries send to the same endpoints.
	Entries int
	// Policy chooses among the endpoints.
	Policy Policy
}

const (
	// retryBurst caps the retry budget, which starts full.
	retryBurst = 10.0
	// backoffBase and backoffCap bound the full jitter between two attempts.
	backoffBase = 10 * time.Millisecond
	backoffCap  = time.Second
	// fullFor is how long an endpoint that refused a request is skipped.
	fullFor = 20 * time.Millisecond
	// After ejectAfter consecutive faults an endpoint gets no requests, for
	// ejectBase at first, doubling up to ejectMax. At most the fraction
	// maxEjected of all endpoints is ejected at once.
	ejectAfter = 3
	ejectBase  = time.Second
	ejectMax   = 30 * time.Second
	maxEjected = 1.0 / 3
	// latencyWeight is the weight of a new sample in the mean latency.
	latencyWeight = 0.1
	// initialLatency is the mean latency assumed before the first answer.
	initialLatency = 20 * time.Millisecond
	// loadStale is the age above which a peer's reported load is ignored.
	loadStale = 2 * time.Second
)

// endpoint is a row of the table.
type endpoint struct {
	Endpoint
	// own is this entry's requests in flight. Invariant: own <= Params.Slots,
	// unless Slots was lowered since they were sent.
	own int
	// others is the number of requests in flight that peers report, refreshed by
	// SetPeerLoad.
	others  int
	leaving bool
	// fullUntil is the time until which the endpoint is skipped after a refusal.
	fullUntil    time.Duration
	ejectedUntil time.Duration
	ejectFor     time.Duration
	faults       int
	latency      time.Duration
}

// trackedRequest is a request that waits or is in flight.
type trackedRequest struct {
	Request
	endpoint *endpoint
	attempt  int
	// tried endpoints are chosen again only if no others are available.
	tried []*endpoint
	// mayHaveRun is set once an attempt was sent and no complete answer came.
	// From then on the caller must not be told that the request was not run.
	mayHaveRun bool
	// notBefore is the earliest time for a retry.
	notBefore time.Duration
	refusals  int
	queued    bool
}

// Table holds one service's endpoints and requests at one entry. It isn't safe
// for concurrent use.
type Table struct {
	params    Params
	rng       *rand.Rand
	endpoints []*endpoint
	byID      map[string]*endpoint
	// departed holds endpoints that are no longer listed but still have requests
	// in flight; these count again if the endpoint is listed again.
	departed map[string]*endpoint
	requests map[uint64]*trackedRequest
	queue    queue
	peers    map[string]peerLoad
	budget   float64
	latency  time.Duration
	inFlight int
	out      []Action
	leaving  map[string]bool // VMs

	usableCount int
	usableUntil time.Duration

	// limit bounds this entry's requests in flight at all endpoints, adapted to
	// refusals; see limit.go.
	limit concurrencyLimit

	// Stats holds counters since the table was created.
	Stats Stats
}

// Stats are the counters of a Table.
type Stats struct {
	Arrived, Sent, Retried, Refused, Ejected uint64
}

type peerLoad struct {
	at     time.Duration
	counts map[string]int
}

// New returns an empty table. Its random choices are determined by seed.
func New(params Params, seed uint64) *Table {
	if params.Policy == nil {
		params.Policy = DefaultPolicy()
	}
	return &Table{
		params:   params,
		rng:      rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		byID:     map[string]*endpoint{},
		departed: map[string]*endpoint{},
		requests: map[uint64]*trackedRequest{},
		peers:    map[string]peerLoad{},
		leaving:  map[string]bool{},
		budget:   retryBurst,
		latency:  initialLatency,
	}
}

// SetParams changes the parameters; requests in progress are not affected.
func (t *Table) SetParams(p Params) {
	if p.Policy == nil {
		p.Policy = t.params.Policy
	}
	if p.Entries == 0 {
		p.Entries = t.params.Entries
	}
	t.params = p
}

// SetEntries sets how many entries send to the same endpoints.
func (t *Table) SetEntries(n int) { t.params.Entries = n }

// SetEndpoints replaces the list of endpoints.
func (t *Table) SetEndpoints(now time.Duration, list []Endpoint) []Action {
	keep := make(map[string]bool, len(list))
	for _, e := range list {
		keep[e.ID] = true
		row := t.byID[e.ID]
		if row == nil {
			row = t.restoreEndpoint(e)
			t.byID[e.ID] = row
			t.endpoints = append(t.endpoints, row)
		}
		row.Endpoint = e
		row.leaving = row.leaving || t.leaving[e.VM]
	}
	rest := t.endpoints[:0]
	for _, row := range t.endpoints {
		if keep[row.ID] {
			rest = append(rest, row)
			continue
		}
		delete(t.byID, row.ID)
		if row.own > 0 {
			t.departed[row.ID] = row
		}
	}
	t.endpoints = rest
	t.usableUntil = 0
	t.dispatch(now)
	return t.takeActions()
}

// restoreEndpoint returns the row of an endpoint that enters the list, reusing
// its row if requests to it are still in flight.
func (t *Table) restoreEndpoint(e Endpoint) *endpoint {
	row := t.departed[e.ID]
	delete(t.departed, e.ID)
	if row == nil {
		row = &endpoint{latency: t.latency}
	}
	row.leaving = false
	return row
}

// SetLeaving sets the VMs that are leaving. Their endpoints get no new requests.
func (t *Table) SetLeaving(vms map[string]bool) {
	t.leaving = map[string]bool{}
	maps.Copy(t.leaving, vms)
	t.usableUntil = 0
	for _, e := range t.endpoints {
		e.leaving = vms[e.VM]
	}
}

// MayServe reports whether an endpoint on a VM may get requests.
func (t *Table) MayServe(vm string) bool {
	for _, e := range t.endpoints {
		if e.VM == vm && !e.leaving {
			return true
		}
	}
	return false
}

// SetPeerLoad records what a peer has in flight, by endpoint id.
func (t *Table) SetPeerLoad(now time.Duration, peer string, counts map[string]int) {
	t.peers[peer] = peerLoad{now, counts}
	for _, e := range t.endpoints {
		e.others = 0
	}
	for name, p := range t.peers {
		if now-p.at > loadStale {
			delete(t.peers, name)
			continue
		}
		for id, n := range p.counts {
			if e := t.byID[id]; e != nil {
				e.others += n
			}
		}
	}
}

// Load returns this entry's requests in flight by endpoint id, without zeros.
func (t *Table) Load() map[string]int {
	out := map[string]int{}
	for _, e := range t.endpoints {
		if e.own > 0 {
			out[e.ID] = e.own
		}
	}
	return out
}

// InFlight is the number of requests that were sent and have not ended.
func (t *Table) InFlight() int { return t.inFlight }

// Queued is the number of waiting requests.
func (t *Table) Queued() int { return t.queue.len() }

func (t *Table) takeActions() []Action {
	out := t.out
	t.out = nil
	return out
}

// Arrive admits and dispatches a new request, or refuses it.
func (t *Table) Arrive(now time.Duration, r Request) []Action {
	t.Stats.Arrived++
	t.budget = min(t.budget+t.params.RetryRatio, retryBurst)
	f := &trackedRequest{Request: r}
	t.requests[r.ID] = f
	if code, after := t.admit(now, f); code != result.OK {
		t.refuse(f, code, after)
		return t.takeActions()
	}
	t.queue.push(f)
	t.dispatch(now)
	return t.takeActions()
}

// admit refuses a request that can't be answered before its deadline, that has
// no usable endpoint or for which the queue is full.
func (t *Table) admit(now time.Duration, f *trackedRequest) (result.Code, time.Duration) {
	usable := t.usable(now)
	if usable == 0 {
		return result.NoEndpoint, time.Second
	}
	wait := t.expectedWait(usable, f.Class)
	if now+wait+t.latency/2 > f.Deadline {
		return result.DeadlineTooShort, wait
	}
	if t.queue.len() < t.params.Queue {
		return result.OK, 0
	}
	if victim := t.queue.shed(f); victim != nil {
		t.refuse(victim, result.QueueFull, wait)
		return result.OK, 0
	}
	return result.QueueFull, wait
}

// usable counts the endpoints that aren't leaving or ejected. The count is
// cached for usableFor, so that its cost doesn't grow with the number of requests.
func (t *Table) usable(now time.Duration) int {
	if now < t.usableUntil {
		return t.usableCount
	}
	n := 0
	for _, e := range t.endpoints {
		if !e.leaving && now >= e.ejectedUntil {
			n++
		}
	}
	t.usableCount, t.usableUntil = n, now+usableFor
	return n
}

// usableFor is how long a count of usable endpoints is cached; changes of the
// list, of leaving VMs and of ejections invalidate it early.
const usableFor = 10 * time.Millisecond

// expectedWait is how long a new request of a class would wait in the queue:
// the time in which the requests ahead of it are sent, at the rate at which
// requests in flight end.
func (t *Table) expectedWait(usable int, c Class) time.Duration {
	ahead := t.queue.ahead(c)
	if ahead == 0 {
		return 0
	}
	lanes := max(t.inFlight, 1)
	return time.Duration(int64(t.latency) * int64(ahead) / int64(lanes))
}

// refuse ends a request that is not in flight: with code if it certainly was
// not run, otherwise with an unknown outcome.
func (t *Table) refuse(f *trackedRequest, code result.Code, after time.Duration) {
	if f.mayHaveRun {
		t.queue.remove(f)
		t.fail(f, result.AnswerLost)
		return
	}
	delete(t.requests, f.ID)
	t.queue.remove(f)
	t.Stats.Refused++
	t.out = append(t.out, Action{Kind: Refuse, Request: f.ID, Attempt: f.attempt, Code: code, RetryAfter: t.jitter(after)})
}

// minRetryAfter, with jitter, keeps refused callers from returning all at once.
const minRetryAfter = 50 * time.Millisecond

func (t *Table) jitter(d time.Duration) time.Duration {
	d = max(d, minRetryAfter)
	return d + time.Duration(t.rng.Int64N(int64(d)))
}

// Cancel drops a waiting request whose caller disconnected. A request in flight
// ends with Finish.
func (t *Table) Cancel(id uint64) {
	f := t.requests[id]
	if f == nil || f.endpoint != nil {
		return
	}
	delete(t.requests, id)
	t.queue.remove(f)
}

// Tick refuses waiting requests whose deadline can no longer be met, and sends
// retries that are due.
func (t *Table) Tick(now time.Duration) []Action {
	t.queue.each(func(f *trackedRequest) {
		if now+t.latency/2 > f.Deadline {
			t.refuse(f, result.DeadlineTooShort, t.latency)
		}
	})
	if t.queue.len() > 0 && t.usable(now) == 0 {
		t.queue.each(func(f *trackedRequest) { t.refuse(f, result.NoEndpoint, time.Second) })
	}
	t.dispatch(now)
	return t.takeActions()
}

// dispatch sends waiting requests while an endpoint has capacity.
func (t *Table) dispatch(now time.Duration) {
	for {
		f := t.queue.next(now)
		if f == nil || !t.limit.allows(t.inFlight) {
			return
		}
		e, candidates := t.params.Policy.Pick(t, now, f.tried)
		if e == nil && len(f.tried) > 0 {
			e, candidates = t.params.Policy.Pick(t, now, nil)
		}
		if e == nil {
			return
		}
		t.queue.remove(f)
		t.send(f, e, candidates)
	}
}

func (t *Table) send(f *trackedRequest, e *endpoint, candidates int) {
	f.endpoint = e
	f.attempt++
	e.own++
	t.inFlight++
	t.Stats.Sent++
	t.out = append(t.out, Action{
		Kind: Send, Request: f.ID, Endpoint: e.Endpoint, Attempt: f.attempt, Candidates: candidates,
	})
}

// hasCapacity reports whether a request may be sent to e: this entry doesn't use
// all its slots. Other entries use slots too, which this entry doesn't see; the
// endpoint refuses what exceeds them, and the concurrency limit keeps such
// refusals rare.
func (t *Table) hasCapacity(now time.Duration, e *endpoint) bool {
	return !e.leaving && now >= e.ejectedUntil && now >= e.fullUntil && e.own < t.params.Slots
}
