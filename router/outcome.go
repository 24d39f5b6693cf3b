package router

import (
	"time"

	"leverstile.dev/api/result"
)

// Finish processes the end of a request's attempt.
func (t *Table) Finish(now time.Duration, id uint64, o Outcome) []Action {
	f := t.requests[id]
	if f == nil || f.endpoint == nil {
		return nil
	}
	e := f.endpoint
	f.endpoint = nil
	e.own--
	t.inFlight--
	if e.own == 0 {
		delete(t.departed, e.ID)
	}
	t.updateEndpoint(now, e, o)
	t.endOrRetry(now, f, e, o)
	t.dispatch(now)
	return t.takeActions()
}

// updateEndpoint records what an outcome shows about its endpoint.
func (t *Table) updateEndpoint(now time.Duration, e *endpoint, o Outcome) {
	switch o.Kind {
	case Answered:
		t.limit.answered()
		e.faults, e.ejectFor = 0, 0
		e.latency = movingAverage(e.latency, o.Latency)
		t.latency = movingAverage(t.latency, o.Latency)
	case Refused:
		// A refusal shows that the endpoint is alive; it is only full for a short time.
		e.fullUntil = now + fullFor
		t.limit.refused(t.inFlight+1, t.evenShare())
	case Leaving:
		// Recorded by VM, as the endpoint may leave the list and be listed again.
		e.leaving = true
		t.leaving[e.VM] = true
		t.usableUntil = 0
	case Unsent, Fault, Lost:
		e.faults++
		if e.faults >= ejectAfter {
			t.eject(now, e)
		}
	case Abandoned:
	}
}

// evenShare is this entry's share of all slots if all entries had the same load.
func (t *Table) evenShare() float64 {
	return float64(t.params.Slots*len(t.endpoints)) / float64(max(t.params.Entries, 1))
}

func movingAverage(mean, sample time.Duration) time.Duration {
	return mean + time.Duration(latencyWeight*float64(sample-mean))
}

// eject stops sending to an endpoint for some time, unless too many are ejected
// already: then the cause is probably not the endpoints.
func (t *Table) eject(now time.Duration, e *endpoint) {
	ejected := 0
	for _, o := range t.endpoints {
		if now < o.ejectedUntil {
			ejected++
		}
	}
	if float64(ejected+1) > maxEjected*float64(len(t.endpoints)) {
		return
	}
	e.ejectFor = min(max(2*e.ejectFor, ejectBase), ejectMax)
	e.ejectedUntil = now + e.ejectFor
	e.faults = 0
	t.usableUntil = 0
	t.Stats.Ejected++
}

// endOrRetry ends the request, retries it or queues it again.
func (t *Table) endOrRetry(now time.Duration, f *trackedRequest, e *endpoint, o Outcome) {
	notRun := o.Kind == Refused || o.Kind == Unsent || o.Kind == Leaving
	f.mayHaveRun = f.mayHaveRun || !notRun
	switch {
	case o.Kind == Answered || o.Kind == Fault || o.Kind == Abandoned || o.AnswerBegan:
		delete(t.requests, f.ID)
	case !notRun && !f.Repeatable:
		t.fail(f, result.AnswerLost)
	case o.Kind == Refused && t.mayRequeue(now, f):
		t.requeue(now, f, e)
	case !t.mayRetry(now, f):
		t.giveUp(f, o.Kind, notRun)
	default:
		t.retry(now, f, e)
	}
}

// mayRequeue reports whether a request that an endpoint refused for lack of a
// slot is queued for another endpoint. That uses no retry budget: the endpoint
// is alive, nothing ran, and the concurrency limit prevents a retry storm.
func (t *Table) mayRequeue(now time.Duration, f *trackedRequest) bool {
	return !f.Once && f.refusals < maxRefusals && now < f.Deadline
}

// maxRefusals bounds how often one request is refused for lack of a slot.
const maxRefusals = 16

func (t *Table) requeue(now time.Duration, f *trackedRequest, e *endpoint) {
	f.refusals++
	f.attempt--
	f.tried = append(f.tried[:0], e)
	f.notBefore = now + time.Duration(t.rng.Int64N(int64(maxRequeueDelay)))
	t.queue.pushFront(f)
}

// maxRequeueDelay bounds the jitter before a refused request is sent elsewhere.
const maxRequeueDelay = 4 * time.Millisecond

func (t *Table) mayRetry(now time.Duration, f *trackedRequest) bool {
	return !f.Once && f.attempt < t.params.Attempts && t.budget >= 1 && now < f.Deadline
}

func (t *Table) giveUp(f *trackedRequest, kind Kind, notRun bool) {
	if !notRun {
		t.fail(f, result.AnswerLost)
		return
	}
	code := result.EndpointRefused
	if kind == Unsent {
		code = result.EndpointDown
	}
	if f.attempt > 1 {
		code = result.RetriesExhausted
	}
	t.refuse(f, code, t.latency)
}

func (t *Table) fail(f *trackedRequest, code result.Code) {
	delete(t.requests, f.ID)
	t.out = append(t.out, Action{Kind: Fail, Request: f.ID, Attempt: f.attempt, Code: code})
}

func (t *Table) retry(now time.Duration, f *trackedRequest, e *endpoint) {
	t.budget--
	t.Stats.Retried++
	f.tried = append(f.tried, e)
	ceiling := min(backoffBase<<min(f.attempt-1, 8), backoffCap)
	f.notBefore = now + time.Duration(t.rng.Int64N(int64(ceiling)))
	t.queue.pushFront(f)
}
