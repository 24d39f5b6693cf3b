package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Limits of preemption.
const (
	// preemptPause is the minimum time between two preemptions for one step: a stop
	// takes up to 0.9 s, and the end of the run must be read.
	preemptPause = 700 * time.Millisecond
	// preemptAtOnce is the maximum number of a step's tasks for which capacity is freed at once.
	preemptAtOnce = 4
	// keptForTicket is how long a worker takes no fills after it was preempted for a step that
	// needs a ticket: the fill that was stopped would take its place before the ticket comes.
	keptForTicket = 2 * time.Second
	// preemptRetry is the minimum time between two searches for victims for one step;
	// each walks over all workers, and what runs where changes little meanwhile.
	preemptRetry = 100 * time.Millisecond
)

// preempt frees capacity for ready tasks of a step that only lack memory: it stops
// fills of less urgent queues, which continue elsewhere or later.
func (c *Core) preempt(s *stepRun, priority int, pool []*worker, now Instant) {
	if s.spec.Fills || now.Steady < s.preemptedAt+preemptPause || now.Steady < s.preemptCheckedAt+preemptRetry {
		return
	}
	s.preemptCheckedAt = now.Steady
	for range min(s.ready, preemptAtOnce) {
		w, victims := c.cheapestVictims(s, priority, pool, now)
		if w == nil {
			return
		}
		s.preemptedAt = now.Steady
		w.noPreemptionUntil = now.Steady + preemptPause
		if s.advice != nil {
			w.keptUntil = now.Steady + keptForTicket
		}
		for _, a := range victims {
			c.move(a, "makes room for more urgent work", now)
		}
	}
}

// cheapestVictims returns the worker where the fewest fills must stop for one
// task of the step, and those fills.
func (c *Core) cheapestVictims(s *stepRun, priority int, pool []*worker, now Instant) (*worker, []*attempt) {
	var best *worker
	var bestVictims []*attempt
	for _, w := range pool {
		victims := c.victimsAt(s, w, priority, now)
		if victims != nil && (best == nil || len(victims) < len(bestVictims)) {
			best, bestVictims = w, victims
		}
	}
	return best, bestVictims
}

// victimsAt returns the fills that must stop at a worker for one task of the step, or nil.
func (c *Core) victimsAt(s *stepRun, w *worker, priority int, now Instant) []*attempt {
	amount := s.amount()
	if now.Steady < w.noPreemptionUntil || !s.allowed(w) || !w.fits(resources{cpu: amount.cpu, accelerators: amount.accelerators}) {
		return nil
	}
	return c.victims(w, priority, w.used.memory+amount.memory-w.info.MemoryMiB)
}

// victims returns fills of less urgent queues that together hold the lacking
// memory, the most slowed ones first; nil if there are not enough. No more long-running tasks
// of a step are among them than may become unavailable.
func (c *Core) victims(w *worker, priority int, lacking int64) []*attempt {
	var fills []*attempt
	for _, a := range w.attempts {
		s := a.task.step
		if s.spec.Fills && s.spec.Checkpoints && !a.stopping && a.task.phase == phaseRunning && c.settingsOf(s.job.spec).Priority > priority {
			fills = append(fills, a)
		}
	}
	slices.SortStableFunc(fills, func(a, b *attempt) int { return cmp.Compare(a.wantedPace, b.wantedPace) })
	var victims []*attempt
	for _, a := range fills {
		if !a.task.mayStopWith(victims) {
			continue
		}
		victims = append(victims, a)
		if lacking -= a.task.step.spec.MemoryMiB; lacking <= 0 {
			return victims
		}
	}
	return nil
}
