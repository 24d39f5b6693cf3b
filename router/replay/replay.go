// Package replay simulates recorded arrivals and endpoint faults against routing
// tables, one per entry, in simulated time, and measures what callers see. It uses
// no network and no processes: it runs the events of a trace in order.
package replay

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"leverstile.dev/api/result"
	"leverstile.dev/router"
)

// Header is the first line of a trace.
type Header struct {
	Name      string `json:"name"`
	Entries   int    `json:"entries"`
	Endpoints int    `json:"endpoints"`
	Places    int    `json:"places"`
	Slots     int    `json:"slots"`
	Deadline  int    `json:"deadline_ms"`
	// Groups names the group and class of each group number.
	Groups []Group `json:"groups"`
}

// Group is a group of callers.
type Group struct {
	Name  string       `json:"name"`
	Class router.Class `json:"class"`
}

// Line is a further line of a trace: arrivals and faults from AtMS on.
type Line struct {
	AtMS int `json:"at_ms"`
	// Arrivals hold an offset in us, the undisturbed service time in us, and a group.
	Arrivals [][3]int `json:"arrivals,omitempty"`
	Faults   []Fault  `json:"faults,omitempty"`
}

// Fault changes the state of an endpoint from the line's time on.
type Fault struct {
	Endpoint int `json:"endpoint"`
	// Slow multiplies service times; values below one count as one.
	Slow float64 `json:"slow,omitempty"`
	// Down refuses connections, Leaving refuses requests as not begun.
	Down    bool `json:"down,omitempty"`
	Leaving bool `json:"leaving,omitempty"`
}

// Trace is a recorded trace.
type Trace struct {
	Header
	Lines []Line
}

// Outcome is what a replay measured. Latencies run from the first arrival of a
// request and include the caller's retries.
type Outcome struct {
	Policy   string
	Asked    int
	Answered int
	Refused  map[result.Code]int
	// Failed counts requests that ended with an unknown outcome.
	Failed     int
	P50, P99   time.Duration
	P999       time.Duration
	Retries    float64 // per request
	Overshoot  int     // sent to an endpoint whose slots were all in use
	ByGroup    map[string]GroupOutcome
	AfterLeave int // sent to an endpoint more than 3 s after it began to leave
}

// GroupOutcome is the outcome of one group.
type GroupOutcome struct {
	Asked, Answered int
	P99             time.Duration
}

// Goodput is the fraction of requests that were answered.
func (o Outcome) Goodput() float64 { return float64(o.Answered) / float64(max(o.Asked, 1)) }

const (
	// networkDelay is the one-way delay between an entry and an endpoint.
	networkDelay = 500 * time.Microsecond
	// exchangeEvery is how often entries report their load to each other.
	exchangeEvery = 500 * time.Millisecond
	tickEvery     = 5 * time.Millisecond
	// maxCallerRetries is how often a refused caller sends its request again.
	maxCallerRetries = 1
	// leaveLimit is the time after which a leaving endpoint must get no requests.
	leaveLimit = 3 * time.Second
)

type event struct {
	at  time.Duration
	seq int
	fn  func()
}

// events is a heap (container/heap) ordered by time, then by insertion.
type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

type endpoint struct {
	inUse        int
	slow         float64
	down         bool
	leaving      bool
	leavingSince time.Duration
}

type request struct {
	id            uint64
	entry         int
	group         int
	service       time.Duration
	firstArrival  time.Duration
	callerRetries int
	sentAt        time.Duration
	endpoint      int
}

// player runs one trace in simulated time.
type player struct {
	trace     *Trace
	now       time.Duration
	queue     events
	seq       int
	tables    []*router.Table
	endpoints []*endpoint
	index     map[string]int
	requests  map[uint64]*request
	nextID    uint64
	end       time.Duration
	out       Outcome
	all       *hdrhistogram.Histogram
	byGroup   []*hdrhistogram.Histogram
}

// Play replays a trace with tables that use the policies of newPolicy. With
// share the entries exchange their load.
func Play(t *Trace, newPolicy func() router.Policy, share bool) Outcome {
	p := &player{trace: t, index: map[string]int{}, requests: map[uint64]*request{}, all: hdrhistogram.New(1, 100_000_000, 3)}
	p.out = Outcome{Policy: newPolicy().Name(), Refused: map[result.Code]int{}, ByGroup: map[string]GroupOutcome{}}
	for range t.Groups {
		p.byGroup = append(p.byGroup, hdrhistogram.New(1, 100_000_000, 3))
	}
	p.buildTables(newPolicy)
	p.scheduleTrace(share)
	for len(p.queue) > 0 {
		ev := heap.Pop(&p.queue).(event)
		p.now = ev.at
		ev.fn()
	}
	p.summarize()
	return p.out
}

func (p *player) buildTables(newPolicy func() router.Policy) {
	var list []router.Endpoint
	for i := range p.trace.Endpoints {
		id := fmt.Sprintf("endpoint-%02d", i)
		p.index[id] = i
		p.endpoints = append(p.endpoints, &endpoint{slow: 1})
		list = append(list, router.Endpoint{ID: id, VM: id, Place: fmt.Sprint("place-", i%p.trace.Places)})
	}
	for e := range p.trace.Entries {
		table := router.New(router.Params{
			Slots: p.trace.Slots, Place: fmt.Sprint("place-", e%p.trace.Places), Queue: 512, Attempts: 3,
			RetryRatio: 0.1, Entries: p.trace.Entries, Policy: newPolicy(),
		}, uint64(e+1))
		p.tables = append(p.tables, table)
		p.apply(e, table.SetEndpoints(0, list))
	}
}

func (p *player) schedule(d time.Duration, fn func()) {
	p.seq++
	heap.Push(&p.queue, event{at: d, seq: p.seq, fn: fn})
}

func (p *player) scheduleTrace(share bool) {
	n := 0
	for _, line := range p.trace.Lines {
		base := time.Duration(line.AtMS) * time.Millisecond
		for _, f := range line.Faults {
			p.schedule(base, func() { p.fault(f) })
		}
		for _, a := range line.Arrivals {
			entry := n % p.trace.Entries
			n++
			at := base + time.Duration(a[0])*time.Microsecond
			p.end = max(p.end, at)
			p.schedule(at, func() {
				p.arrive(&request{entry: entry, group: a[2], service: time.Duration(a[1]) * time.Microsecond, firstArrival: p.now})
			})
		}
	}
	p.out.Asked = n
	p.end += 10 * time.Second
	for e := range p.tables {
		p.scheduleEvery(tickEvery, time.Duration(e)*time.Millisecond, func() { p.apply(e, p.tables[e].Tick(p.now)) })
		if share {
			p.scheduleEvery(exchangeEvery, time.Duration(e)*exchangeEvery/time.Duration(len(p.tables)), func() { p.exchange(e) })
		}
	}
}

func (p *player) scheduleEvery(d, first time.Duration, fn func()) {
	var again func()
	again = func() {
		fn()
		if p.now < p.end || len(p.requests) > 0 {
			p.schedule(p.now+d, again)
		}
	}
	p.schedule(first, again)
}

func (p *player) fault(f Fault) {
	e := p.endpoints[f.Endpoint]
	if f.Leaving && !e.leaving {
		e.leavingSince = p.now
	}
	e.slow, e.down, e.leaving = max(f.Slow, 1), f.Down, f.Leaving
}

// exchange reports the load of entry e to all other entries.
func (p *player) exchange(e int) {
	load := p.tables[e].Load()
	for o, t := range p.tables {
		if o != e {
			p.schedule(p.now+networkDelay, func() { t.SetPeerLoad(p.now, fmt.Sprint("entry-", e), load) })
		}
	}
}

func (p *player) arrive(r *request) {
	p.nextID++
	r.id = p.nextID
	p.requests[r.id] = r
	g := p.trace.Groups[r.group]
	p.apply(r.entry, p.tables[r.entry].Arrive(p.now, router.Request{
		ID: r.id, Group: g.Name, Class: g.Class, Repeatable: true,
		Deadline: p.now + time.Duration(p.trace.Deadline)*time.Millisecond,
	}))
}

// apply carries out a table's actions.
func (p *player) apply(entry int, actions []router.Action) {
	for _, a := range actions {
		r := p.requests[a.Request]
		switch a.Kind {
		case router.Send:
			if a.Attempt > 1 {
				p.out.Retries++
			}
			r.endpoint = p.index[a.Endpoint.ID]
			r.sentAt = p.now
			p.schedule(p.now+networkDelay, func() { p.reachEndpoint(entry, r) })
		case router.Refuse:
			delete(p.requests, r.id)
			p.retryOrRecordRefusal(r, a)
		case router.Fail:
			delete(p.requests, r.id)
			p.out.Failed++
		}
	}
}

func (p *player) retryOrRecordRefusal(r *request, a router.Action) {
	if r.callerRetries < maxCallerRetries {
		r.callerRetries++
		p.schedule(p.now+a.RetryAfter, func() {
			r.entry = (r.entry + 1) % len(p.tables)
			p.arrive(r)
		})
		return
	}
	p.out.Refused[a.Code]++
}

// reachEndpoint processes a request's arrival at its endpoint.
func (p *player) reachEndpoint(entry int, r *request) {
	e := p.endpoints[r.endpoint]
	if e.leaving && p.now-e.leavingSince > leaveLimit {
		p.out.AfterLeave++
	}
	kind := router.Answered
	switch {
	case e.down:
		kind = router.Unsent
	case e.leaving:
		kind = router.Leaving
	case e.inUse >= p.trace.Slots:
		p.out.Overshoot++
		kind = router.Refused
	}
	if kind != router.Answered {
		p.schedule(p.now+networkDelay, func() { p.finish(entry, r, kind) })
		return
	}
	e.inUse++
	p.schedule(p.now+time.Duration(float64(r.service)*e.slow), func() {
		e.inUse--
		p.schedule(p.now+networkDelay, func() { p.finish(entry, r, router.Answered) })
	})
}

func (p *player) finish(entry int, r *request, kind router.Kind) {
	if kind == router.Answered {
		delete(p.requests, r.id)
		p.out.Answered++
		us := (p.now - r.firstArrival).Microseconds()
		_ = p.all.RecordValue(us)
		_ = p.byGroup[r.group].RecordValue(us)
	}
	p.apply(entry, p.tables[entry].Finish(p.now, r.id, router.Outcome{Kind: kind, Latency: p.now - r.sentAt}))
}

func (p *player) summarize() {
	q := func(h *hdrhistogram.Histogram, at float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(at)) * time.Microsecond
	}
	p.out.P50, p.out.P99, p.out.P999 = q(p.all, 50), q(p.all, 99), q(p.all, 99.9)
	p.out.Retries /= float64(max(p.out.Asked, 1))
	asked := make([]int, len(p.trace.Groups))
	for _, l := range p.trace.Lines {
		for _, a := range l.Arrivals {
			asked[a[2]]++
		}
	}
	for i, g := range p.trace.Groups {
		p.out.ByGroup[g.Name] = GroupOutcome{Asked: asked[i], Answered: int(p.byGroup[i].TotalCount()), P99: q(p.byGroup[i], 99)}
	}
}
