package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Figures of preemption.
const (
	// preemptPause is the pause between two preemptions for one step: a stop
	// takes up to 0.9 s, and its end must be read.
	preemptPause = 700 * time.Millisecond
	// preemptAtOnce is the most tasks of a step that room is made for at once.
	preemptAtOnce = 4
	// preemptRetry is the pause between looks for room to be made for one step,
	// each a walk over all workers: what runs where changes little meanwhile.
	preemptRetry = 100 * time.Millisecond
)

// preempt makes room for ready tasks of a step that only lack memory: it stops
// fills of less urgent queues, which go on elsewhere or later.
func (c *Core) preempt(s *stepRun, priority int, pool []*worker, now Instant) {
	if s.spec.Fills || now.Steady < s.preempted+preemptPause || now.Steady < s.preemptTried+preemptRetry {
		return
	}
	s.preemptTried = now.Steady
	for range min(s.ready, preemptAtOnce) {
		w, victims := c.cheapestVictims(s, priority, pool, now)
		if w == nil {
			return
		}
		s.preempted = now.Steady
		w.reserved = now.Steady + preemptPause
		for _, a := range victims {
			c.move(a, "makes room for more urgent work", now)
		}
	}
}

// cheapestVictims returns the worker where the fewest fills must stop for one
// task of the step, and those fills.
func (c *Core) cheapestVictims(s *stepRun, priority int, pool []*worker, now Instant) (*worker, []*attempt) {
	amount := s.amount()
	var best *worker
	var bestVictims []*attempt
	for _, w := range pool {
		if now.Steady < w.reserved || !s.allowed(w) || !w.fits(resources{cpu: amount.cpu, accelerators: amount.accelerators}) {
			continue
		}
		lacking := w.used.memory + amount.memory - w.info.MemoryMiB
		victims := c.victims(w, priority, lacking)
		if victims != nil && (best == nil || len(victims) < len(bestVictims)) {
			best, bestVictims = w, victims
		}
	}
	return best, bestVictims
}

// victims returns fills of less urgent queues that hold that much memory
// together, slowed ones first; nil if there are not enough.
func (c *Core) victims(w *worker, priority int, lacking int64) []*attempt {
	var fills []*attempt
	for _, a := range w.attempts {
		s := a.task.step
		if s.spec.Fills && s.spec.Checkpoints && !a.stopping && a.task.phase == phaseRunning && c.queues[s.job.spec.Queue].Priority > priority {
			fills = append(fills, a)
		}
	}
	slices.SortStableFunc(fills, func(a, b *attempt) int { return cmp.Compare(a.percent, b.percent) })
	for i, a := range fills {
		if lacking -= a.task.step.spec.MemoryMiB; lacking <= 0 {
			return fills[:i+1]
		}
	}
	return nil
}
