package dispatch

import (
	"cmp"
	"slices"
	"time"

	"leverstile.dev/job"
)

// Values of jobs by lateness.
const (
	// lateFactor is the multiple of its objective after which a job earns nothing for
	// being on time.
	lateFactor = 3
	// lateValue is the value of a late job to its customer, as a share of its value
	// on time. The users' own accounting uses this share.
	lateValue = 0.15
)

// rankClass orders steps of one priority. Tasks that end soon and can be on time
// go before long-running ones, which would hold their capacity for a minute or more; a
// long-running task earns value with each second that it runs, so it goes before late ones.
type rankClass uint8

const (
	rankOnTime rankClass = iota
	rankLongRunning
	rankLate
	rankExpired
)

// rank orders steps: by priority, by class, by the share of work that is left in jobs of
// fill tasks ("patient" jobs), then by slack, the time left to start and still be on time.
//
// Least slack first is optimal while everything fits. When more fill work arrives than
// fits, it spends the capacity on jobs in the order in which they run out of time, and
// each ends a little too late. The job with the smallest remaining share gives the most
// value for the capacity that it still needs, whatever its size: shares, not amounts, so
// that large jobs do not starve behind small ones. A late job is weighted by its
// remaining value: nearly done it goes before one that has not started. Where most work
// fits, this order costs no value. Short tasks are ordered in this way only while they are
// overloaded (see shortDemand.overloaded): otherwise slack alone decides.
type rank struct {
	priority int
	class    rankClass
	// remainingShare is the share of the job's fill work, or of its short work under overload,
	// that is not done; 0 for others.
	remainingShare float64
	slack          time.Duration
}

// rankBasis holds the inputs of a step's rank except the time.
type rankBasis struct {
	at      time.Duration
	version uint64 // of the job's progress
	known   bool
	// objective is the time in which the job should end, criticalPath the length of
	// the critical path of the work that is left.
	objective, criticalPath time.Duration
	remainingShare          float64 // see rank
}

// rankAge is how long a basis is valid while the job makes no progress: estimates
// move a little with each run that ends. The cache halves the time of a pass with 400
// waiting steps (BenchmarkPass).
const rankAge = 250 * time.Millisecond

// basisOf returns the basis of a step's rank, computed anew if it may have changed.
func (c *Core) basisOf(s *stepRun, q job.Queue, now Instant) rankBasis {
	j, b := s.job, s.basis
	if b.known && b.version == j.version && now.Steady-b.at < rankAge {
		return b
	}
	s.basis = rankBasis{
		at: now.Steady, version: j.version, known: true,
		objective:    time.Duration(float64(c.totalCriticalPath(j))*q.Stretch) + q.TargetLatency,
		criticalPath: c.criticalPath(j, s.occurrence), remainingShare: c.remainingShare(s, now),
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
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.class, b.class), cmp.Compare(a.remainingShare, b.remainingShare), cmp.Compare(a.slack, b.slack))
}

// rankOf returns a step's rank.
func (c *Core) rankOf(s *stepRun, q job.Queue, now Instant) rank {
	r := rank{priority: q.Priority}
	j := s.job
	waited := now.Steady - j.acceptedAt
	if due := j.spec.DueMS(s.occurrence); due > 0 {
		waited = time.Duration(now.UnixMS-due) * time.Millisecond
	}
	b := c.basisOf(s, q, now)
	r.slack, r.remainingShare = b.objective-waited-b.criticalPath, b.remainingShare
	switch {
	case s.spec.LongRunning:
		r.class = rankLongRunning
	case r.slack >= 0:
		r.class = rankOnTime
	case waited+b.criticalPath < lateFactor*b.objective && b.remainingShare > 0:
		r.class, r.remainingShare = rankOnTime, b.remainingShare/lateValue
	case waited+b.criticalPath < lateFactor*b.objective:
		r.class = rankLate
	default:
		r.class = rankExpired
	}
	return r
}

// remainingShare returns the share of the work of a job, in one occurrence, that is not
// done, by expected run times; tasks that run count as half done. It counts the fills for a
// fill, and the short tasks for a short one while those of its service are overloaded.
func (c *Core) remainingShare(s *stepRun, now Instant) float64 {
	if !s.spec.Fills && !(s.short() && c.shortOverloaded(s, now)) {
		return 0
	}
	var whole, left float64
	for _, x := range s.job.stepsOf(s.occurrence) {
		if x.spec.LongRunning || x.spec.Fills != s.spec.Fills {
			continue
		}
		each := c.estimate(x).Seconds() * float64(x.spec.CPUMilli)
		whole += each * float64(x.spec.Count)
		left += each * (float64(x.remaining) - runningWeight*float64(x.active()))
	}
	return left / max(whole, minWork)
}

// shortOverloaded reports whether the short tasks of the step's service are overloaded.
func (c *Core) shortOverloaded(s *stepRun, now Instant) bool {
	k := c.reservedCapacity[c.serviceOf(s.job.spec)]
	return k != nil && k.overloaded(now)
}

// Constants of remainingShare.
const (
	runningWeight = 0.5
	minWork       = 1e-9
)

// active returns how many of the step's tasks run or were ordered to start.
func (s *stepRun) active() int {
	n := 0
	for _, t := range s.tasks {
		if t.attempt != nil && t.phase != phaseDone {
			n++
		}
	}
	return n
}

// totalCriticalPath returns the length of the critical path of the whole job.
func (c *Core) totalCriticalPath(j *jobState) time.Duration {
	ends := make([]time.Duration, len(j.spec.Steps))
	longest := time.Duration(0)
	for i := range j.spec.Steps {
		for _, earlier := range j.spec.Steps[i].After {
			ends[i] = max(ends[i], ends[earlier])
		}
		if i < len(j.steps) && !j.spec.Steps[i].LongRunning {
			ends[i] += c.estimate(j.steps[i])
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// candidates returns the steps with ready tasks in the order of their ranks, and removes
// those that have none from the open steps.
func (c *Core) candidates(now Instant) []candidate {
	c.openOccurrences(now)
	list := c.candidateScratch[:0]
	stillOpen := c.openSteps[:0]
	for _, s := range c.openSteps {
		if s.job.progress.State.Final() || s.remaining == 0 {
			s.queued = false
			continue
		}
		if s.ready == 0 && !s.due(now) {
			stillOpen = append(stillOpen, s)
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
		stillOpen = append(stillOpen, s)
		q, ok := c.queueOf(s.job.spec)
		if ok {
			list = append(list, candidate{s, q, c.rankOf(s, q, now)})
		}
	}
	c.openSteps, c.candidateScratch = stillOpen, list
	slices.SortStableFunc(list, func(a, b candidate) int { return a.rank.compare(b.rank) })
	return list
}
