package cell

import (
	"time"

	"leverstile.dev/fleet"
	"leverstile.dev/scheduler"
)

// applySamples records a worker's samples. They may be old: each is attributed to
// what ran at the time of its measurement.
func (o *Owner) applySamples(now time.Duration, w *worker, reply *fleet.SyncReply) {
	for _, u := range reply.Usage {
		o.sizes.Observe(u.Kind, u.Used)
	}
	for _, s := range reply.Slowdowns {
		at := now - time.Duration(reply.ClockMS-s.AtMS)*time.Millisecond
		if kinds := w.history.At(at); kinds != nil && o.model != nil {
			o.model.Observe(s.Service, s.Load, s.Factor, kinds)
		}
		w.view.Load = s.Load
		o.applyLadder(now, w, s)
	}
}

// applyLadder takes one step of the ladder that protects a service's tail latency:
// throttle, then evict, the kind that slows it down most.
func (o *Owner) applyLadder(now time.Duration, w *worker, s fleet.Slowdown) {
	if o.model == nil || !o.mayDecide(now) {
		return
	}
	unthrottled := o.model.Predict(s.Service, s.Load, w.view.Kinds)
	switch w.ladder.Next(o.ladderParams, s.Factor, unthrottled) {
	case scheduler.StepThrottle:
		w.throttledKind = o.worstKind(w, s)
		o.throttle(now, w, true)
	case scheduler.StepRelease:
		o.throttle(now, w, false)
	case scheduler.StepEvict:
		o.evictWorst(now, w, s)
	case scheduler.StepNone:
	}
}

// recordKinds records what runs on the worker from now on. Throttled tasks are
// left out: they are assumed to disturb hardly anything, and counting them in full
// would make the model learn that their kind is harmless.
func (o *Owner) recordKinds(now time.Duration, w *worker) {
	kinds := map[string]int{}
	for _, t := range o.table.onWorker[w.id] {
		if !t.throttled {
			kinds[t.spec.GetKind()]++
		}
	}
	w.history.Record(now, kinds)
}

// worstKind returns the kind on the worker that adds most to the slow-down.
func (o *Owner) worstKind(w *worker, s fleet.Slowdown) string {
	worst, maxAdded := "", -1.0
	for kind, n := range w.view.Kinds {
		added := float64(n) * o.model.Coefficient(s.Service, kind, s.Load)
		if added > maxAdded || added == maxAdded && kind < worst {
			worst, maxAdded = kind, added
		}
	}
	return worst
}

func (o *Owner) throttle(now time.Duration, w *worker, on bool) {
	what := "throttle"
	if !on {
		what = "release"
	}
	for _, t := range o.onWorker(w.id) {
		if t.spec.GetKind() == w.throttledKind && !t.spec.GetUrgent() {
			t.throttled = on
		}
	}
	w.callNeeded = true
	o.recordKinds(now, w)
	o.recordDecision(Decision{What: what, Worker: w.id, Reason: "tasks of kind " + w.throttledKind + " beside a service"})
}

// evictWorst evicts, within the budget, the task of the worst kind that loses least
// work.
func (o *Owner) evictWorst(now time.Duration, w *worker, s fleet.Slowdown) {
	if o.evictionBudget < maxEvictionBurst/2 {
		return // the rest is for urgent tasks
	}
	kind := o.worstKind(w, s)
	var victim *task
	for _, t := range o.onWorker(w.id) {
		if t.spec.GetKind() == kind && o.evictable(t) && (victim == nil || t.since > victim.since) {
			victim = t
		}
	}
	if victim != nil {
		w.excludeKind(now, kind)
		o.evict(scheduler.Eviction{Task: victim.spec.GetId(), Worker: w.id, Loss: now - victim.since})
	}
}
