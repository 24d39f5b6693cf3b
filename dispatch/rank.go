package dispatch

import (
	"cmp"
	"slices"
	"time"

	"leverstile.dev/job"
)

// Figures of the order of steps.
const (
	// lateFactor times its objective, a job earns nothing for being on time.
	lateFactor = 3
)

// rankClass orders steps of one priority. Tasks that end soon and can be on time
// go before lasting ones, which would hold their room for a minute or more; a
// lasting task earns with each second that it runs, so it goes before late ones.
type rankClass uint8

const (
	rankOnTime rankClass = iota
	rankLasting
	rankLate
	rankHopeless
)

// rank orders steps: by priority, by class, then by the slack that is left.
type rank struct {
	priority int
	class    rankClass
	slack    time.Duration
}

// rankBasis is what the rank of a step follows from beside the time.
type rankBasis struct {
	at      time.Duration
	version uint64 // of the job's progress
	known   bool
	// whole is the job's objective, chain the work that is left.
	whole, chain time.Duration
}

// rankAge is how long a basis holds while the job makes no progress: estimates
// move with each run that ends, a little. It saves half of a pass with 400 steps
// that wait (BenchmarkPass).
const rankAge = 250 * time.Millisecond

// basisOf returns the basis of a step's rank, computed anew if it may have changed.
func (c *Core) basisOf(s *stepRun, q job.Queue, now Instant) rankBasis {
	j, b := s.job, s.basis
	if b.known && b.version == j.version && now.Steady-b.at < rankAge {
		return b
	}
	s.basis = rankBasis{
		at: now.Steady, version: j.version, known: true,
		whole: time.Duration(float64(c.wholeChain(j))*q.Stretch) + q.TargetLatency,
		chain: c.chain(j, s.occurrence),
	}
	return s.basis
}

// candidate is a step that may start tasks in this pass.
type candidate struct {
	step  *stepRun
	queue job.Queue
	rank  rank
}

func (a rank) compare(b rank) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.class, b.class), cmp.Compare(a.slack, b.slack))
}

// rankOf returns a step's place in the order.
func (c *Core) rankOf(s *stepRun, q job.Queue, now Instant) rank {
	r := rank{priority: q.Priority}
	j := s.job
	waited := now.Steady - j.acceptedAt
	if due := j.spec.DueMS(s.occurrence); due > 0 {
		waited = time.Duration(now.UnixMS-due) * time.Millisecond
	}
	b := c.basisOf(s, q, now)
	r.slack = b.whole - waited - b.chain
	switch {
	case s.spec.Lasting:
		r.class = rankLasting
	case r.slack >= 0:
		r.class = rankOnTime
	case waited+b.chain < lateFactor*b.whole:
		r.class = rankLate
	default:
		r.class = rankHopeless
	}
	return r
}

// wholeChain returns the longest chain of work of the whole job.
func (c *Core) wholeChain(j *jobState) time.Duration {
	ends := make([]time.Duration, len(j.spec.Steps))
	longest := time.Duration(0)
	for i := range j.spec.Steps {
		for _, earlier := range j.spec.Steps[i].After {
			ends[i] = max(ends[i], ends[earlier])
		}
		if i < len(j.steps) && !j.spec.Steps[i].Lasting {
			ends[i] += c.estimate(j.steps[i])
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// candidates returns the steps with ready tasks in their order, and forgets
// those that have none.
func (c *Core) candidates(now Instant) []candidate {
	list := c.candidateScratch[:0]
	kept := c.open[:0]
	for _, s := range c.open {
		if s.job.progress.State.Final() || s.left == 0 {
			s.queued = false
			continue
		}
		if s.ready == 0 && !s.due(now) {
			kept = append(kept, s)
			continue
		}
		if s.ready == 0 && s.job.spec.Occurrences > 0 && !s.blocked() {
			for _, t := range s.tasks {
				if t.phase == phaseWaiting {
					t.phase, t.readySince = phaseReady, now.Steady
					s.ready++
				}
			}
		}
		if s.ready == 0 {
			s.queued = false
			continue
		}
		kept = append(kept, s)
		q, ok := c.queues[s.job.spec.Queue]
		if ok {
			list = append(list, candidate{s, q, c.rankOf(s, q, now)})
		}
	}
	c.open, c.candidateScratch = kept, list
	slices.SortStableFunc(list, func(a, b candidate) int { return a.rank.compare(b.rank) })
	return list
}
