package router

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"leverstile.dev/api/result"
)

// Fixed seeds give each run the same verdict; -rapid.seed sets others.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "1000")
}

// oracle follows each request by the table's actions alone, independently of its
// internal state: what was sent where, and how it ended.
type oracle struct {
	t           *Table
	params      Params
	now         time.Duration
	nextID      uint64
	inFlight    map[uint64]string
	open        map[uint64]*oracleRequest
	leaving     map[string]bool
	perEndpoint map[string]int
	retried     int
	arrived     int
}

type oracleRequest struct {
	Request
	sent       int
	mayHaveRun bool // an attempt may have run
	// lastRefused is set when the last attempt was refused for lack of a slot.
	lastRefused bool
}

func (o *oracle) apply(actions []Action) error {
	for _, a := range actions {
		r := o.open[a.Request]
		if r == nil {
			return errors.Errorf("action %+v for a request that has ended", a)
		}
		if err := o.applyOne(a, r); err != nil {
			return err
		}
	}
	return o.checkLimits()
}

func (o *oracle) applyOne(a Action, r *oracleRequest) error {
	if a.Kind != Send {
		if _, flying := o.inFlight[a.Request]; flying {
			return errors.Errorf("request %d ended while in flight", a.Request)
		}
		delete(o.open, a.Request)
		if a.Kind == Refuse && r.mayHaveRun {
			return errors.Errorf("request %d is refused as 'not run' but may have run", a.Request)
		}
		if a.Kind == Refuse && (a.Code.Family() != result.FamilyNotRun || a.RetryAfter <= 0) {
			return errors.Errorf("refusal %+v without a 'not run' code or a retry delay", a)
		}
		return nil
	}
	r.sent++
	switch {
	case r.sent > 1 && r.Once:
		return errors.Errorf("request %d is limited to one attempt and got another", a.Request)
	case r.mayHaveRun && !r.Repeatable:
		return errors.Errorf("request %d is not repeatable, may have run, and is sent again", a.Request)
	case r.sent > o.params.Attempts+maxRefusals:
		return errors.Errorf("request %d got %d attempts", a.Request, r.sent)
	case o.leaving[a.Endpoint.VM]:
		return errors.Errorf("request %d is sent to VM %s, which is leaving", a.Request, a.Endpoint.VM)
	}
	if r.sent > 1 && !r.lastRefused {
		o.retried++
	}
	o.inFlight[a.Request] = a.Endpoint.ID
	o.perEndpoint[a.Endpoint.ID]++
	return nil
}

func (o *oracle) checkLimits() error {
	for id, n := range o.perEndpoint {
		if n > o.params.Slots {
			return errors.Errorf("endpoint %s has %d requests of this entry in %d slots", id, n, o.params.Slots)
		}
	}
	if maxRetried := retryBurst + o.params.RetryRatio*float64(o.arrived); float64(o.retried) > maxRetried {
		return errors.Errorf("%d retries for %d requests", o.retried, o.arrived)
	}
	if waiting := len(o.open) - len(o.inFlight); waiting != o.t.Queued() {
		return errors.Errorf("%d requests neither ended nor in flight, %d in the queue", waiting, o.t.Queued())
	}
	if len(o.inFlight) != o.t.InFlight() {
		return errors.Errorf("%d in flight, the table reports %d", len(o.inFlight), o.t.InFlight())
	}
	return nil
}

func (o *oracle) endpoints(n int) []Endpoint {
	var out []Endpoint
	for i := range n {
		out = append(out, Endpoint{ID: fmt.Sprint("e", i), VM: fmt.Sprint("v", i), Place: fmt.Sprint("p", i%2)})
	}
	return out
}

// drawInFlight returns a random request in flight.
func (o *oracle) drawInFlight(t *rapid.T) (uint64, bool) {
	var ids []uint64
	for id := uint64(1); id <= o.nextID; id++ {
		if _, ok := o.inFlight[id]; ok {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, false
	}
	return ids[rapid.IntRange(0, len(ids)-1).Draw(t, "flight")], true
}

func (o *oracle) finish(t *rapid.T) error {
	id, ok := o.drawInFlight(t)
	if !ok {
		return nil
	}
	kind := Kind(rapid.IntRange(0, int(Leaving)).Draw(t, "kind"))
	ep := o.inFlight[id]
	delete(o.inFlight, id)
	o.perEndpoint[ep]--
	r := o.open[id]
	out := Outcome{Kind: kind, Latency: time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond}
	r.lastRefused = kind == Refused
	switch kind {
	case Answered, Fault, Abandoned:
		delete(o.open, id)
	case Lost:
		r.mayHaveRun = true
	case Leaving:
		o.leaving["v"+ep[1:]] = true
	}
	return o.apply(o.t.Finish(o.now, id, out))
}

func (o *oracle) arrive(t *rapid.T) error {
	o.nextID++
	o.arrived++
	r := Request{
		ID: o.nextID, Group: fmt.Sprint("g", rapid.IntRange(0, 2).Draw(t, "group")),
		Class:      Class(rapid.IntRange(0, 2).Draw(t, "class")),
		Repeatable: rapid.Bool().Draw(t, "repeatable"),
		Once:       rapid.IntRange(0, 3).Draw(t, "once") == 0,
		Deadline:   o.now + time.Duration(rapid.IntRange(1, 3000).Draw(t, "deadline"))*time.Millisecond,
	}
	o.open[r.ID] = &oracleRequest{Request: r}
	before := o.t.Queued()
	if err := o.apply(o.t.Arrive(o.now, r)); err != nil {
		return err
	}
	if o.t.Queued() > max(o.params.Queue, before) {
		return errors.Errorf("%d requests wait, the queue's bound is %d", o.t.Queued(), o.params.Queue)
	}
	return nil
}

// TestTableInvariants guards against exceeded limits, a 'not run' refusal for a
// request that may have run, a forbidden repetition and a request that ends
// twice or never, under random sequences of events.
func TestTableInvariants(t *testing.T) {
	policies := []Policy{Random{}, &RoundRobin{}, TwoChoices{}, &LeastLoaded{}}
	rapid.Check(t, func(t *rapid.T) {
		params := Params{Slots: 2, Place: "p0", Queue: 6, Attempts: 3, RetryRatio: 0.2}
		params.Policy = policies[rapid.IntRange(0, len(policies)-1).Draw(t, "policy")]
		o := &oracle{
			t: New(params, 1), params: params, now: time.Hour, inFlight: map[uint64]string{},
			open: map[uint64]*oracleRequest{}, leaving: map[string]bool{}, perEndpoint: map[string]int{},
		}
		must := func(err error) {
			if err != nil {
				t.Fatal(err)
			}
		}
		must(o.apply(o.t.SetEndpoints(o.now, o.endpoints(4))))
		t.Repeat(map[string]func(*rapid.T){
			"arrive":  func(t *rapid.T) { must(o.arrive(t)) },
			"arrive2": func(t *rapid.T) { must(o.arrive(t)) },
			"finish":  func(t *rapid.T) { must(o.finish(t)) },
			"time": func(t *rapid.T) {
				o.now += time.Duration(rapid.IntRange(0, 500).Draw(t, "passed")) * time.Millisecond
				must(o.apply(o.t.Tick(o.now)))
			},
			"vms": func(t *rapid.T) {
				must(o.apply(o.t.SetEndpoints(o.now, o.endpoints(rapid.IntRange(0, 5).Draw(t, "endpoints")))))
			},
			"leaving": func(t *rapid.T) {
				o.leaving = map[string]bool{fmt.Sprint("v", rapid.IntRange(0, 4).Draw(t, "vm")): true}
				vms := map[string]bool{}
				for vm := range o.leaving {
					vms[vm] = true
				}
				o.t.SetLeaving(vms)
			},
			"peers": func(t *rapid.T) {
				o.t.SetPeerLoad(o.now, "peer", map[string]int{"e0": rapid.IntRange(0, 3).Draw(t, "load")})
			},
			"cancel": func(t *rapid.T) {
				id := uint64(rapid.IntRange(1, int(o.nextID)+1).Draw(t, "id"))
				if _, flying := o.inFlight[id]; !flying {
					o.t.Cancel(id)
					delete(o.open, id)
				}
			},
		})
		// After all deadlines, no request may still wait.
		o.now += time.Hour
		must(o.apply(o.t.Tick(o.now)))
		if o.t.Queued() != 0 {
			t.Fatalf("%d requests wait after their deadlines", o.t.Queued())
		}
	})
}
