package dispatch

import (
	"cmp"
	"slices"
	"time"

	"leverstile.dev/job"
)

// Limits of tickets, which the placement policy issues for the tasks of a step at a worker.
const (
	// ticketMargin is how long a ticket must still be valid when it is used, at most
	// ticketMarginShare of its validity.
	ticketMargin      = 300 * time.Millisecond
	ticketMarginShare = 0.25
	// lateTicketUse is how long a ticket may be used that has expired on arrival if its
	// validity is counted from the call; see ticketEnd.
	lateTicketUse = 100 * time.Millisecond
)

// AdviceRequest asks the placement policy which of these workers may run a step.
type AdviceRequest struct {
	Task    job.TaskID // identifies the step; its Index is not used
	Workers []WorkerID
	// Timeout bounds the call.
	Timeout time.Duration
	terms   job.AdviceTerms
	sent    time.Duration
}

// Advice is the policy's answer to a request.
type Advice struct {
	Tickets []Ticket
	// Validity is for how long the tickets are valid; 0 if the answer does not tell it.
	Validity time.Duration
}

// Ticket allows a step's tasks at one incarnation of a worker.
type Ticket struct {
	Worker WorkerID
	Text   string
}

// stepAdvice is what is known of the policy's decisions on a step. They are final: a worker
// that was granted or refused once stays so.
type stepAdvice struct {
	// granted holds the workers that may run the step, in ascending order of their ids.
	granted []*grant
	byID    map[WorkerID]*grant
	// refused workers must not run the step.
	refused  map[WorkerID]bool
	failures int // consecutive failed calls
	retryAt  time.Duration
	// calls counts the calls since the step last had enough tickets.
	calls int
	// tooSlow is set if the tickets of a gang expire before all can be collected.
	tooSlow bool
	// searchAt is when workers to ask about are searched again, searches how often in a row
	// there were none.
	searchAt time.Duration
	searches int
}

// grant is a worker that may run a step, with its newest ticket.
type grant struct {
	worker WorkerID
	ticket string
	until  time.Duration // 0 if there is no valid ticket
	margin time.Duration
}

// valid reports whether the ticket can be used at a steady time.
func (g *grant) valid(at time.Duration) bool { return g != nil && g.until > at+g.margin }

func newStepAdvice() *stepAdvice {
	return &stepAdvice{byID: map[WorkerID]*grant{}, refused: map[WorkerID]bool{}}
}

// record adds the decision on one worker.
func (a *stepAdvice) record(id WorkerID, ticket string, until, margin time.Duration) {
	g := a.byID[id]
	if g == nil {
		g = &grant{worker: id}
		a.byID[id] = g
		at, _ := slices.BinarySearchFunc(a.granted, id, func(g *grant, id WorkerID) int { return cmp.Compare(g.worker, id) })
		a.granted = slices.Insert(a.granted, at, g)
	}
	g.ticket, g.until, g.margin = ticket, until, margin
	delete(a.refused, id)
}

// workersWithTicket returns the workers that get new tasks of a service and have a ticket for
// a step that is valid at a steady time.
func (c *Core) workersWithTicket(s *stepRun, service string, at time.Duration, now Instant) []*worker {
	return c.grantedWorkers(s, service, now, func(g *grant) bool { return g.valid(at) })
}

// grantedWorkers returns the workers that get new tasks of a service and that the policy has
// granted a step, in the order of their ids, if use is true for the grant.
func (c *Core) grantedWorkers(s *stepRun, service string, now Instant, use func(g *grant) bool) []*worker {
	if s.advice == nil {
		return nil
	}
	var granted []*worker
	for _, g := range s.advice.granted {
		if !use(g) {
			continue
		}
		if w := c.workers[g.worker]; w != nil && c.inPool(w, service, now) {
			granted = append(granted, w)
		}
	}
	return granted
}

// anyGrant accepts grants with and without a valid ticket.
func anyGrant(*grant) bool { return true }

// AdviceDone processes the answer to a request, or that there was none (ok is false), and
// requests the next call.
func (c *Core) AdviceDone(req AdviceRequest, answer Advice, ok bool, now Instant) {
	c.policy.callEnded(req, ok, now)
	if t := c.findTask(req.Task); t != nil && t.step.advice != nil {
		granted, refused := t.step.advice.callEnded(req, answer, ok, now)
		c.policy.recordGrants(granted, refused)
	}
	d := Decision{Event: "advice_taken", Job: req.Task.Job, Task: req.Task, Age: now.Steady - req.sent}
	if !ok {
		d.Event = "advice_failed"
	}
	c.trace(d)
	c.callPolicy(now)
}

// callEnded records the answer to a call and returns how many workers were granted and refused
// that were undecided before.
func (a *stepAdvice) callEnded(req AdviceRequest, answer Advice, ok bool, now Instant) (granted, refused int) {
	if !ok {
		a.retryAt = now.Steady + adviceRetry<<min(a.failures, maxRetryDoublings)
		a.failures++
		return 0, 0
	}
	a.failures = 0
	decided := 0
	for _, id := range req.Workers {
		if a.byID[id] == nil {
			a.refused[id] = true
			decided++
		}
	}
	validity := req.terms.Validity
	if answer.Validity > 0 {
		validity = answer.Validity
	}
	margin, before := marginOf(validity), len(a.granted)
	for _, t := range answer.Tickets {
		a.record(t.Worker, t.Text, ticketEnd(req.sent, validity, margin, now), margin)
	}
	granted = len(a.granted) - before
	return granted, decided - granted
}

// marginOf returns how long a ticket must still be valid when it is used.
func marginOf(validity time.Duration) time.Duration {
	return min(ticketMargin, time.Duration(ticketMarginShare*float64(validity)))
}

// ticketEnd returns until when a ticket is valid, counted from the call. If the decision took
// longer than the validity, the policy can only have issued the ticket later than the call
// came: it is used at once, or not at all. A worker refuses the start if that was too late.
func ticketEnd(sent, validity, margin time.Duration, now Instant) time.Duration {
	return max(sent+validity, now.Steady+min(validity, margin+lateTicketUse))
}

// ticketFor returns the ticket of a worker, empty if the queue needs none.
func (s *stepRun) ticketFor(w *worker) string {
	if s.advice == nil || s.advice.byID[w.info.ID] == nil {
		return ""
	}
	return s.advice.byID[w.info.ID].ticket
}

// hasValidTicket reports whether the ticket of a start can still be used, if it needs one.
func (a *attempt) hasValidTicket(now Instant) bool {
	s := a.task.step
	return s.advice == nil || a.ticket == "" || s.advice.byID[a.worker.info.ID].valid(now.Steady)
}

// dropTicket deletes a ticket that a worker refused.
func (c *Core) dropTicket(a *attempt) {
	if s := a.task.step; s.advice != nil && s.advice.byID[a.worker.info.ID] != nil {
		s.advice.byID[a.worker.info.ID].until = 0
	}
}
