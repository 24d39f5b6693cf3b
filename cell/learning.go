package cell

import (
	"time"

	"leverstile.dev/platform"
	"leverstile.dev/scheduler"
)

// learn takes over a worker's samples. They may be old: each is attributed to
// what ran at the time that it speaks of.
func (o *Owner) learn(now time.Duration, w *worker, reply *platform.SyncReply) {
	for _, u := range reply.Usage {
		o.sizes.Observe(u.Kind, u.Used)
	}
	for _, s := range reply.Slowdowns {
		at := now - time.Duration(reply.ClockMS-s.AtMS)*time.Millisecond
		if kinds := w.history.At(at); kinds != nil && o.model != nil {
			o.model.Observe(s.Service, s.Load, s.Factor, kinds)
		}
		w.view.Load = s.Load
		o.climb(now, w, s)
	}
}

// climb takes one step of the ladder that keeps a service's tail: throttle,
// then evict, the kind that slows it down most.
func (o *Owner) climb(now time.Duration, w *worker, s platform.Slowdown) {
	if o.model == nil || !o.mayDecide(now) {
		return
	}
	switch w.ladder.Next(o.ladder, s.Factor) {
	case scheduler.StepThrottle:
		w.throttledKind = o.worstKind(w, s)
		o.throttle(w, true)
	case scheduler.StepRelease:
		o.throttle(w, false)
	case scheduler.StepEvict:
		o.evictWorst(now, w, s)
	case scheduler.StepNone:
	}
}

// worstKind returns the kind on the worker that adds most to the slow-down.
func (o *Owner) worstKind(w *worker, s platform.Slowdown) string {
	worst, most := "", -1.0
	for kind, n := range w.view.Kinds {
		added := float64(n) * o.model.Coefficient(s.Service, kind, s.Load)
		if added > most || added == most && kind < worst {
			worst, most = kind, added
		}
	}
	return worst
}

func (o *Owner) throttle(w *worker, on bool) {
	what := "throttle"
	if !on {
		what = "release"
	}
	for _, t := range o.onWorker(w.id) {
		if t.spec.GetKind() == w.throttledKind && !t.spec.GetUrgent() {
			t.throttled = on
		}
	}
	w.dirty = true
	o.decide(Decision{What: what, Worker: w.id, Reason: "tasks of kind " + w.throttledKind + " beside a service"})
}

// evictWorst evicts the task of the worst kind that loses least, within the
// budget.
func (o *Owner) evictWorst(now time.Duration, w *worker, s platform.Slowdown) {
	if o.budget < 1 {
		return
	}
	kind := o.worstKind(w, s)
	var victim *task
	for _, t := range o.onWorker(w.id) {
		if t.spec.GetKind() == kind && o.evictable(t) && (victim == nil || t.since > victim.since) {
			victim = t
		}
	}
	if victim != nil {
		o.evict(scheduler.Eviction{Task: victim.spec.GetId(), Worker: w.id, Loss: now - victim.since})
	}
}
