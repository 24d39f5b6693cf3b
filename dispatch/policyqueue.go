package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"leverstile.dev/job"
)

// Limits of calls to the placement policy, a service that decides which workers may run a
// step. It takes one call of a VM at a time.
const (
	// adviceWorkers is how many workers a call asks about: the users expect calls about 30
	// workers within a job's time.
	adviceWorkers = 30
	// adviceSlack is how much longer than its terms a call may take. It doubles with each
	// consecutive call that failed, up to maxAdviceSlack: a policy that is slow still decides
	// on calls that were given up, and the next one waits for that.
	adviceSlack    = 600 * time.Millisecond
	maxAdviceSlack = 10 * time.Second
	// adviceRetry is the pause after a call that failed, for the same step doubled with each
	// consecutive failure up to maxRetryDoublings times.
	adviceRetry       = 300 * time.Millisecond
	maxRetryDoublings = 4
	// adviceSearchPause is the minimum time between two searches for workers to ask about for
	// a step that has none: each walks over all workers.
	adviceSearchPause = 100 * time.Millisecond
	// callOverhead is added to the measured and to the expected time of a call, whose terms
	// may be zero.
	callOverhead = 5 * time.Millisecond
	// slowerWeight and fasterWeight are the weights of a call in the mean of slowness; a quick
	// answer proves more than a slow one. slownessLimit is the largest value that one call
	// counts with.
	slowerWeight  = 0.2
	fasterWeight  = 0.5
	slownessLimit = 100
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
	// decided and failed count calls.
	decided, failed uint64
}

type policyWait struct {
	step  *stepRun
	queue job.Queue
}

// callTime returns how long a call about n workers is expected to take.
func (q *policyQueue) callTime(terms *job.AdviceTerms, n int) time.Duration {
	return time.Duration(max(q.slowness, 1) * float64(nominalTime(terms, n)))
}

// nominalTime returns how long a call about n workers takes by its terms.
func nominalTime(terms *job.AdviceTerms, n int) time.Duration {
	return terms.Decision + time.Duration(n)*terms.PerWorker + callOverhead
}

// callBegan records that a call is sent and returns its timeout.
func (q *policyQueue) callBegan(terms *job.AdviceTerms, workers int, now Instant) (timeout time.Duration) {
	q.calling = true
	q.callEnds = now.Steady + q.callTime(terms, workers)
	slack := min(adviceSlack<<min(q.failures, maxRetryDoublings), maxAdviceSlack)
	return nominalTime(terms, workers) + slack
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

// wait returns how long the policy is expected to decide on the waiting steps of queues that
// are at least as urgent as a priority, and on the call in flight.
func (q *policyQueue) wait(priority int, now Instant) time.Duration {
	wait := max(q.retryAt-now.Steady, 0)
	if q.calling {
		wait = max(q.callEnds-now.Steady, 0)
	}
	for _, x := range q.waiting {
		if x.queue.Priority <= priority && x.step.needsTickets() {
			wait += q.callTime(x.queue.Advice, adviceWorkers)
		}
	}
	return wait
}

// needsTickets reports whether a step that waits for the policy still does.
func (s *stepRun) needsTickets() bool {
	return s.ready > 0 && !s.job.cancelled && !s.job.progress.State.Final()
}

// awaitPolicy adds a step to those that wait for the policy if it has too few workers with
// tickets, and its service may have others that take its tasks.
func (c *Core) awaitPolicy(x candidate, p *pool, now Instant) {
	s := x.step
	if s.advice == nil {
		s.advice = newStepAdvice()
	}
	s.awaitsPolicy = c.lacksTickets(s, x.queue.Service, now) && !c.stillRefused(s, s.shape(x.queue.Service, c.viewOf(s, p, now)), now)
	if s.awaitsPolicy {
		c.policy.waiting = append(c.policy.waiting, policyWait{s, x.queue})
	}
}

// lacksTickets reports whether a step has too few workers with tickets.
func (c *Core) lacksTickets(s *stepRun, service string, now Instant) bool {
	return s.needsTickets() && len(c.workersWithTicket(s, service, now.Steady, now)) < min(s.ready, enoughTickets)
}

// callPolicy sends the next call to the policy, unless one is in flight.
func (c *Core) callPolicy(now Instant) {
	q := &c.policy
	if q.calling || now.Steady < q.retryAt || c.deposed || now.Steady >= c.validUntil {
		return
	}
	pools := map[string]*pool{}
	for _, x := range q.waiting {
		s := x.step
		if now.Steady < s.advice.retryAt || now.Steady < s.advice.searchedAt+adviceSearchPause || !c.lacksTickets(s, x.queue.Service, now) {
			continue
		}
		p := pools[x.queue.Service]
		if p == nil {
			p = &pool{workers: c.poolOf(x.queue.Service, now)}
			pools[x.queue.Service] = p
		}
		ids := c.workersToAsk(s, x.queue.Service, p, now)
		if len(ids) == 0 {
			s.advice.searchedAt = now.Steady
			continue
		}
		terms := x.queue.Advice
		c.adviceRequests = append(c.adviceRequests, AdviceRequest{
			Task: job.TaskID{Job: s.job.spec.ID, Occurrence: s.occurrence, Step: s.index}, Workers: ids,
			Timeout: q.callBegan(terms, len(ids), now), terms: *terms, sent: now.Steady,
		})
		return
	}
}

// workersToAsk returns the workers to ask the policy about for a step: those without a valid
// ticket that would be chosen first.
func (c *Core) workersToAsk(s *stepRun, service string, p *pool, now Instant) []WorkerID {
	v := c.viewOf(s, p, now)
	var list []ratedWorker
	some := false
	for i, w := range p.workers {
		score, ok := c.rate(s, w, v, now)
		some = some || ok
		if ok && !s.advice.refused[w.info.ID] && !s.advice.byID[w.info.ID].valid(now.Steady) {
			list = append(list, ratedWorker{w, score, i})
		}
	}
	if !some && !s.spec.Gang {
		c.refusals.recordRefused(s.shape(service, v))
	}
	slices.SortFunc(list, func(x, y ratedWorker) int {
		return cmp.Or(cmp.Compare(y.score, x.score), cmp.Compare(x.poolIndex, y.poolIndex))
	})
	var ids []WorkerID
	for _, r := range list[:min(adviceWorkers, len(list))] {
		ids = append(ids, r.worker.info.ID)
	}
	return ids
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
	return PolicyLoad{Waiting: len(c.policy.waiting), Wait: c.policy.wait(leastUrgent, now), Decided: c.policy.decided, Failed: c.policy.failed}
}

// leastUrgent is a priority that no queue is less urgent than.
const leastUrgent = int(^uint(0) >> 1)
