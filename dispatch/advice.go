package dispatch

import (
	"cmp"
	"slices"
	"time"

	"leverstile.dev/job"
)

// Limits of calls to the placement policy, a service that decides which workers may run a
// step and issues a ticket for each of them.
const (
	// adviceWorkers is how many workers one call asks about: the users expect calls
	// about 30 workers within a job's time.
	adviceWorkers = 30
	// ticketMargin is how long a ticket must still be valid when it is used.
	ticketMargin = 300 * time.Millisecond
	// adviceRetry is the pause after a call that failed.
	adviceRetry = 300 * time.Millisecond
	// enoughTickets is how many workers with tickets suffice; no more are requested.
	enoughTickets = 8
)

// AdviceRequest asks the placement policy which of these workers may run a step.
type AdviceRequest struct {
	Task    job.TaskID // identifies the step; its Index is not used
	Workers []WorkerID
	Terms   job.AdviceTerms
	sent    time.Duration
}

// Ticket allows a step's tasks at one incarnation of a worker.
type Ticket struct {
	Worker WorkerID
	Text   string
}

// advice is what the placement policy answered for a step.
type advice struct {
	tickets map[WorkerID]heldTicket
	// refused workers must not run the step.
	refused map[WorkerID]bool
	pending bool
	retryAt time.Duration
}

type heldTicket struct {
	text  string
	until time.Duration
}

// workersWithTicket returns the workers that have a ticket for a step, and requests more
// tickets if there are few.
func (c *Core) workersWithTicket(s *stepRun, pool []*worker, terms job.AdviceTerms, now Instant) []*worker {
	if s.advice == nil {
		s.advice = &advice{tickets: map[WorkerID]heldTicket{}, refused: map[WorkerID]bool{}}
	}
	var allowed []*worker
	for _, w := range pool {
		if s.advice.tickets[w.info.ID].until > now.Steady+ticketMargin {
			allowed = append(allowed, w)
		}
	}
	if len(allowed) < min(s.ready, enoughTickets) {
		c.requestAdvice(s, pool, terms, now)
	}
	return allowed
}

// requestAdvice requests tickets for the workers that would be chosen first.
func (c *Core) requestAdvice(s *stepRun, pool []*worker, terms job.AdviceTerms, now Instant) {
	a := s.advice
	if a.pending || now.Steady < a.retryAt {
		return
	}
	type rated struct {
		id    WorkerID
		score float64
	}
	var list []rated
	for _, w := range pool {
		if a.refused[w.info.ID] || a.tickets[w.info.ID].until > now.Steady+ticketMargin || !s.allowed(w) || !w.fits(s.amount()) {
			continue
		}
		if score, ok := c.score(s, w, false); ok {
			list = append(list, rated{w.info.ID, score})
		}
	}
	if len(list) == 0 {
		return
	}
	slices.SortStableFunc(list, func(x, y rated) int { return cmp.Compare(y.score, x.score) })
	req := AdviceRequest{Terms: terms, sent: now.Steady, Task: job.TaskID{Job: s.job.spec.ID, Occurrence: s.occurrence, Step: s.index}}
	for _, r := range list[:min(adviceWorkers, len(list))] {
		req.Workers = append(req.Workers, r.id)
	}
	a.pending = true
	c.adviceRequests = append(c.adviceRequests, req)
}

// TakeAdviceRequests returns the requests for advice since the last call.
func (c *Core) TakeAdviceRequests() []AdviceRequest {
	requests := c.adviceRequests
	c.adviceRequests = nil
	return requests
}

// AdviceDone processes the tickets that the placement policy granted for a request; ok is
// false if it did not answer.
func (c *Core) AdviceDone(req AdviceRequest, granted []Ticket, ok bool, now Instant) {
	t := c.findTask(req.Task)
	if t == nil || t.step.advice == nil {
		return
	}
	a := t.step.advice
	a.pending = false
	if !ok {
		a.retryAt = now.Steady + adviceRetry
		c.trace(Decision{Event: "advice_failed", Job: req.Task.Job, Task: req.Task})
		return
	}
	for _, id := range req.Workers {
		a.refused[id] = true
	}
	for _, g := range granted {
		delete(a.refused, g.Worker)
		a.tickets[g.Worker] = heldTicket{g.Text, req.sent + req.Terms.Validity}
	}
	c.trace(Decision{Event: "advice_taken", Job: req.Task.Job, Task: req.Task, Age: now.Steady - req.sent})
}

// ticketFor returns the ticket of a worker, empty if the queue needs none.
func (s *stepRun) ticketFor(w *worker) string {
	if s.advice == nil {
		return ""
	}
	return s.advice.tickets[w.info.ID].text
}

// dropTicket deletes a ticket that a worker refused.
func (c *Core) dropTicket(a *attempt) {
	if s := a.task.step; s.advice != nil {
		delete(s.advice.tickets, a.worker.info.ID)
	}
}
