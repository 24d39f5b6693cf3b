package dispatch

import (
	"time"

	"leverstile.dev/job"
)

// maxSimPolicyWaiting is how many calls of one owner may wait at the policy.
const maxSimPolicyWaiting = 32

// simPolicy simulates the placement policy: it decides on one call of an owner at a time, and its
// tickets are valid from then on.
type simPolicy struct {
	sim    *sim
	terms  job.AdviceTerms
	grants func(step string, w WorkerID) bool // nil grants all
	// slowness is a factor of the time that calls take.
	slowness float64
	// failShare of the calls get no answer.
	failShare float64
	queue     map[*simOwner][]*simAdvice // the first one is being decided
	waiting   map[*simOwner]int
	tickets   map[simTicket]time.Duration // until when each is valid

	calls, rejected, refusedStarts int
	asked                          []simPolicyCall
}

type simTicket struct {
	step   string
	worker WorkerID
	text   string
}

// simPolicyCall is a call that the policy has decided, with the time when it was sent.
type simPolicyCall struct {
	sent    time.Duration
	step    string
	workers []WorkerID
}

// simAdvice is a call in progress. It is over once its owner has the answer or has given it up.
type simAdvice struct {
	owner *simOwner
	req   AdviceRequest
	sent  time.Duration
	done  func(answer Advice, ok bool)
	over  bool
}

// withPolicy has the sim's queue consult a policy.
func (s *sim) withPolicy(terms job.AdviceTerms) *simPolicy {
	s.policy = &simPolicy{
		sim: s, terms: terms, slowness: 1,
		queue: map[*simOwner][]*simAdvice{}, waiting: map[*simOwner]int{}, tickets: map[simTicket]time.Duration{},
	}
	return s.policy
}

// call carries out an owner's request.
func (p *simPolicy) call(o *simOwner, req AdviceRequest) {
	s := p.sim
	done := func(answer Advice, ok bool) {
		s.deliver(o, func() { o.core.AdviceDone(req, answer, ok, s.instant()) })
	}
	if p.waiting[o] >= maxSimPolicyWaiting {
		p.rejected++
		s.later(time.Millisecond, func() { done(Advice{}, false) })
		return
	}
	p.waiting[o]++
	given := &simAdvice{owner: o, req: req, sent: s.now, done: done}
	s.later(req.Timeout, func() {
		if !given.over {
			given.over = true
			done(Advice{}, false)
		}
	})
	p.queue[o] = append(p.queue[o], given)
	if len(p.queue[o]) == 1 {
		p.begin(given)
	}
}

// begin decides on a call, and then on the next one of its owner.
func (p *simPolicy) begin(a *simAdvice) {
	p.waiting[a.owner]--
	took := time.Duration(p.slowness * float64(p.terms.Decision+time.Duration(len(a.req.Workers))*p.terms.PerWorker))
	p.sim.later(took, func() {
		answer := p.decide(a.req, a.sent)
		p.queue[a.owner] = p.queue[a.owner][1:]
		if len(p.queue[a.owner]) > 0 {
			p.begin(p.queue[a.owner][0])
		}
		p.sim.later(time.Millisecond, func() {
			if !a.over && !p.sim.chance(p.failShare) {
				a.over = true
				a.done(answer, true)
			}
		})
	})
}

func (p *simPolicy) decide(req AdviceRequest, sent time.Duration) Advice {
	p.calls++
	step := req.Task.StepString()
	p.asked = append(p.asked, simPolicyCall{sent, step, req.Workers})
	answer := Advice{Validity: p.terms.Validity}
	for _, id := range req.Workers {
		if p.grants != nil && !p.grants(step, id) {
			continue
		}
		t := simTicket{step, id, p.sim.now.String()}
		p.tickets[t] = p.sim.now + p.terms.Validity
		answer.Tickets = append(answer.Tickets, Ticket{id, t.text})
	}
	return answer
}

// valid reports whether a start has a ticket that allows it.
func (p *simPolicy) valid(o Order) bool {
	if p == nil {
		return true
	}
	valid := p.sim.now < p.tickets[simTicket{o.Task.StepString(), o.Worker, o.Ticket}]
	if !valid {
		p.refusedStarts++
	}
	return valid
}
