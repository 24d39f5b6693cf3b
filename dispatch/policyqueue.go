package dispatch

import (
	"fmt"
	"slices"
	"time"

	"leverstile.dev/job"
)

// Limits of calls to the placement policy, a service that decides which workers may run a
// step. It takes one call of a VM at a time.
const (
	// adviceSlack is how much longer than expected a call may take. It doubles with each
	// consecutive call that failed, up to maxAdviceSlack: a policy that is slow still decides
	// on calls that were given up, and the next one waits for that.
	adviceSlack    = 600 * time.Millisecond
	maxAdviceSlack = 10 * time.Second
	// adviceRetry is the pause after a call that failed, for the same step doubled with each
	// consecutive failure up to maxRetryDoublings times.
	adviceRetry       = 300 * time.Millisecond
	maxRetryDoublings = 4
	// adviceSearchPause is the pause after a search for workers to ask about that found none:
	// each walks over all workers. It doubles with each of them up to maxSearchDoublings times.
	adviceSearchPause  = 100 * time.Millisecond
	maxSearchDoublings = 3
	// callOverhead is added to the measured and to the expected time of a call, whose terms
	// may be zero.
	callOverhead = 5 * time.Millisecond
	// slowerWeight and fasterWeight are the weights of a call in the mean of slowness; a quick
	// answer proves more than a slow one. slownessLimit is the largest value that one call
	// counts with.
	slowerWeight  = 0.2
	fasterWeight  = 0.5
	slownessLimit = 100
	// grantWeight is the weight of a call in the mean share of refused workers.
	grantWeight = 0.2
)

// policyQueue holds the steps that wait for the placement policy. The next call is sent once the
// previous one has ended, and decided then: it is for the most urgent step, its workers are
// those that can be used by then, and its times run from there. Steps that have ended, were
// cancelled or need no ticket any more are skipped.
type policyQueue struct {
	// waiting holds the steps that need tickets as of the latest pass, the most urgent first.
	waiting []policyWait
	// calling is set while a call is in flight, which is expected to end at callEnds.
	calling  bool
	callEnds time.Duration
	// retryAt is when the next call may be made after one that failed; failures counts
	// consecutive ones.
	retryAt  time.Duration
	failures int
	// slowness is the mean of the time of a call relative to its terms.
	slowness float64
	// refusedShare is the mean share of workers that the policy refuses a step.
	refusedShare float64
	// collecting is a gang whose tickets are being collected by several calls: its next call
	// goes first, since the first tickets expire.
	collecting *stepRun
	// decided and failed count calls.
	decided, failed uint64
}

// recordGrants records how many workers a call has granted and refused anew.
func (q *policyQueue) recordGrants(granted, refused int) {
	if granted+refused > 0 {
		q.refusedShare += grantWeight * (float64(refused)/float64(granted+refused) - q.refusedShare)
	}
}

type policyWait struct {
	step  *stepRun
	queue job.Queue
}

// callTime returns how long a call about n workers is expected to take.
func callTime(terms *job.AdviceTerms, n int, slowness float64) time.Duration {
	return time.Duration(max(slowness, 1) * float64(nominalTime(terms, n)))
}

// nominalTime returns how long a call about n workers takes by its terms.
func nominalTime(terms *job.AdviceTerms, n int) time.Duration {
	return terms.Decision + time.Duration(n)*terms.PerWorker + callOverhead
}

// callBegan records that a call is sent and returns its timeout.
func (q *policyQueue) callBegan(terms *job.AdviceTerms, workers int, now Instant) (timeout time.Duration) {
	q.calling = true
	q.callEnds = now.Steady + callTime(terms, workers, q.slowness)
	slack := min(adviceSlack<<min(q.failures, maxRetryDoublings), maxAdviceSlack)
	return callTime(terms, workers, q.slowness) + slack
}

func (q *policyQueue) callEnded(req AdviceRequest, ok bool, now Instant) {
	q.calling = false
	took := now.Steady - req.sent + callOverhead
	ratio := min(float64(took)/float64(nominalTime(&req.terms, len(req.Workers))), slownessLimit)
	switch {
	case ratio > q.slowness:
		q.slowness += slowerWeight * (ratio - q.slowness)
	case ok:
		q.slowness += fasterWeight * (ratio - q.slowness)
	}
	if !ok {
		q.failed++
		q.failures++
		q.retryAt = now.Steady + adviceRetry
		return
	}
	q.decided++
	q.failures = 0
}

// policyWait returns how long the policy is expected to decide on the steps that wait, of queues
// that are at least as urgent as a priority, and on the call in flight.
func (c *Core) policyWait(priority int, now Instant) time.Duration {
	q := &c.policy
	wait := max(q.retryAt-now.Steady, 0)
	if q.calling {
		wait = max(q.callEnds-now.Steady, 0)
	}
	for _, x := range q.waiting {
		if x.queue.Priority <= priority && x.step.awaitsDecision() && x.step.needsTickets() {
			wait += c.decisionTime(x)
		}
	}
	return wait
}

// decisionTime returns how long the calls for a step that waits are expected to take.
func (c *Core) decisionTime(x policyWait) time.Duration {
	workers := float64(x.step.wantedWorkers()) / c.grantShare(x.step)
	asked := min(int(workers)+spareWorkers, len(c.workersByService[x.queue.Service]))
	return collectTime(x.queue.Advice, max(asked, 1), c.policy.slowness)
}

// awaitsDecision reports whether a decision of the policy may let tasks of the step start: it lacks
// tickets, and the last search found workers to ask about. Otherwise it waits for capacity.
func (s *stepRun) awaitsDecision() bool { return s.awaitsPolicy && s.advice.searches == 0 }

// needsTickets reports whether a step that waits for the policy still does.
func (s *stepRun) needsTickets() bool {
	return s.ready > 0 && !s.job.cancelled && !s.job.progress.State.Final()
}

// awaitPolicy adds a step to those that wait for the policy if it lacks tickets and its service
// may have workers that take its tasks, or would if less urgent fills were stopped.
func (c *Core) awaitPolicy(x candidate, p *pool, now Instant) {
	s := x.step
	s.awaitsPolicy = false
	if s.advice == nil {
		s.advice = newStepAdvice()
	}
	if s.spec.Gang && !s.gangReady() {
		return
	}
	v := c.viewOf(s, p, now)
	if !c.lacksTickets(s, x.queue.Service, v, now) {
		s.advice.calls = 0
		return
	}
	s.awaitsPolicy = s.spec.Gang || !c.stillRefused(s, s.shape(x.queue.Service, v), now)
	if s.awaitsPolicy || !s.spec.Fills && p.hasFills() {
		c.policy.waiting = append(c.policy.waiting, policyWait{s, x.queue})
	}
}

// callPolicy sends the next call to the policy, unless one is in flight: for a gang whose tickets
// are being collected, or else for the first step that waits. A step that has been asked for
// already yields to one of its priority that has not, and whose job has long had nothing running.
func (c *Core) callPolicy(now Instant) {
	q := &c.policy
	if q.calling || now.Steady < q.retryAt || c.deposed || now.Steady >= c.validUntil {
		return
	}
	pools := map[string]*pool{}
	if i := slices.IndexFunc(q.waiting, func(x policyWait) bool { return x.step == q.collecting }); i >= 0 {
		if plan := c.planCall(q.waiting[i], pools, now); len(plan.workers) > 0 {
			c.sendCall(q.waiting[i], plan, now)
			return
		}
	}
	q.collecting = nil
	var first policyWait
	var plan ticketPlan
	for _, x := range q.waiting {
		if first.step != nil && (x.queue.Priority != first.queue.Priority || x.step.advice.calls > 0 || !x.step.starved(now)) {
			continue
		}
		next := c.planCall(x, pools, now)
		if len(next.workers) == 0 {
			continue
		}
		first, plan = x, next
		if x.step.advice.calls == 0 {
			break
		}
	}
	if first.step != nil {
		c.sendCall(first, plan, now)
	}
}

// planCall plans the next call for a step that waits; it asks about nothing if there is no worker
// to ask about, or none is needed any more.
func (c *Core) planCall(x policyWait, pools map[string]*pool, now Instant) ticketPlan {
	s := x.step
	if now.Steady < s.advice.retryAt || now.Steady < s.advice.searchAt || !s.needsTickets() || s.spec.Gang && !s.gangReady() {
		return ticketPlan{}
	}
	p := pools[x.queue.Service]
	if p == nil {
		p = &pool{workers: c.poolOf(x.queue.Service, now)}
		pools[x.queue.Service] = p
	}
	v := c.viewOf(s, p, now)
	if !c.lacksTickets(s, x.queue.Service, v, now) {
		return ticketPlan{}
	}
	s.awaitsPolicy = s.awaitsPolicy && (s.spec.Gang || !c.stillRefused(s, s.shape(x.queue.Service, v), now))
	plan := c.planTickets(s, x, p, len(c.policy.waiting) > 1, now)
	s.advice.searched(len(plan.workers), now)
	return plan
}

// searched records a search that found so many workers to ask about.
func (a *stepAdvice) searched(found int, now Instant) {
	if found > 0 {
		a.searches = 0
		return
	}
	a.searchAt = now.Steady + adviceSearchPause<<min(a.searches, maxSearchDoublings)
	a.searches++
}

func (c *Core) sendCall(x policyWait, plan ticketPlan, now Instant) {
	s, q := x.step, &c.policy
	s.advice.calls++
	q.collecting = nil
	if plan.more {
		q.collecting = s
	}
	c.adviceRequests = append(c.adviceRequests, AdviceRequest{
		Task: job.TaskID{Job: s.job.spec.ID, Occurrence: s.occurrence, Step: s.index}, Workers: plan.workers,
		Timeout: q.callBegan(x.queue.Advice, len(plan.workers), now), terms: *x.queue.Advice, sent: now.Steady,
	})
}

// TakeAdviceRequests returns the requests for advice since the last call: one at most, and the
// next one only after AdviceDone.
func (c *Core) TakeAdviceRequests() []AdviceRequest {
	requests := c.adviceRequests
	c.adviceRequests = nil
	return requests
}

// policyWaitReason describes for the log what a step waits for that lacks tickets.
func (c *Core) policyWaitReason(s *stepRun, service string, now Instant) string {
	if s.advice.tooSlow {
		return "the placement policy: it decides too slowly for so wide a gang, whose first tickets expire before it has the last ones"
	}
	held := len(c.workersWithTicket(s, service, now.Steady, now))
	ahead := slices.IndexFunc(c.policy.waiting, func(x policyWait) bool { return x.step == s })
	return fmt.Sprintf("the placement policy: %d workers have a ticket, %d were granted and %d refused so far, %d steps are ahead, failed calls in a row %d",
		held, len(s.advice.granted), len(s.advice.refused), max(ahead, 0), c.policy.failures)
}

// PolicyLoad is what the placement policy has to decide, and has decided, in this term.
type PolicyLoad struct {
	Waiting int           // steps that need tickets
	Wait    time.Duration // how long these are expected to take
	// Decided and Failed count calls that were answered and that were not.
	Decided, Failed uint64
}

// PolicyLoad returns the load of the placement policy.
func (c *Core) PolicyLoad(now Instant) PolicyLoad {
	return PolicyLoad{Waiting: len(c.policy.waiting), Wait: c.policyWait(leastUrgent, now), Decided: c.policy.decided, Failed: c.policy.failed}
}

// leastUrgent is a priority that no queue is less urgent than.
const leastUrgent = int(^uint(0) >> 1)
