package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Limits of trials. A suspect with trialCrashes or more is on trial: it is started at a worker
// where no other run starts for a while, so that a crash there can be attributed to it.
const (
	// trialTime is how long no other suspect starts at a worker after one was started there.
	// If that one is on trial, no other task starts there either.
	trialTime = 2 * time.Second
	// trialInterval is the time between starts of tasks on trial, so that their crashes
	// don't appear simultaneous.
	trialInterval = 2 * simultaneousWindow
	// recentStartWindow separates runs by their starts. A run started this much earlier
	// than another one on its worker is less likely to have crashed it. A crash of a task on
	// trial proves nothing if another run was started there this recently.
	recentStartWindow = 500 * time.Millisecond
	// suspectRetryInterval is the pause before the suspects of a step are tried again, after
	// no worker could take one of them.
	suspectRetryInterval = 100 * time.Millisecond
	// trialCrashes is the number of crashes from which a suspect is on trial.
	trialCrashes = crashLimit - 1
)

// suspectFreePool holds the workers of a pool where no suspect was recently started, and the
// racks where one was. A scheduling pass computes it once: with 600 suspects at 490 workers,
// as after a wave of crashes, it is the main cost of their placement besides the choice itself.
type suspectFreePool struct {
	workers []*worker
	racks   map[string]bool
}

// suspectFree returns the part of the pool without recently started suspects.
func (p *pool) suspectFree(now Instant) *suspectFreePool {
	if p.withoutSuspects != nil {
		return p.withoutSuspects
	}
	f := &suspectFreePool{racks: map[string]bool{}}
	for _, w := range p.workers {
		if now.Steady >= w.suspectUntil {
			f.workers = append(f.workers, w)
		} else {
			f.racks[w.info.Rack] = true
		}
	}
	p.withoutSuspects = f
	return f
}

// remove removes a worker where a suspect is started now.
func (f *suspectFreePool) remove(w *worker) {
	f.workers = slices.DeleteFunc(f.workers, func(o *worker) bool { return o == w })
	f.racks[w.info.Rack] = true
}

// placeSuspects starts the suspects of a step, each at a worker without another recently
// started one, so that the next crash can be attributed to one of them.
func (c *Core) placeSuspects(s *stepRun, p *pool, now Instant) {
	if now.Steady < s.suspectRetryAt {
		return
	}
	for _, t := range s.tasks {
		if t.phase != phaseReady || t.suspectedCrashes() == 0 || now.Steady < t.notBefore || t.endUnknown && !c.holdsLease(now) || c.suspectWaitReason(t, now) != "" {
			continue
		}
		w, separate := c.workerForSuspect(t, p, now)
		if w == nil {
			s.suspectRetryAt = now.Steady + suspectRetryInterval
			c.freeCapacity(s, c.settingsOf(s.job.spec).Priority, p, now)
			return
		}
		separate = separate && !w.startedRecently(now)
		c.place(t, w, c.newRun(), now)
		c.recordSuspectStart(t, separate, now)
		p.suspectFree(now).remove(w)
	}
}

// workerForSuspect returns a worker for a suspect, and whether the start is separate from those
// of other suspects: none was recently started there. After starvedAfter it accepts any worker:
// a task that only was at the same worker as one that crashed it must not wait for long.
func (c *Core) workerForSuspect(t *task, p *pool, now Instant) (w *worker, separate bool) {
	free := p.suspectFree(now)
	v := c.viewOf(t.step, p, now)
	if w := c.bestForSuspect(t, free.workers, free.racks, v, now); w != nil {
		return w, true
	}
	if now.Steady-t.readySince < starvedAfter {
		return nil, true
	}
	return c.bestForSuspect(t, p.workers, free.racks, v, now), false
}

// startedRecently reports whether a run was recently started at the worker.
func (w *worker) startedRecently(now Instant) bool {
	return w.placedAt > 0 && now.Steady-w.placedAt < recentStartWindow
}

// suspectRank orders workers for a suspect, the least first.
type suspectRank struct {
	// sameRack: another suspect was recently started in its rack. Several crashes in one
	// rack look like the loss of the rack.
	sameRack bool
	// crashed: its VM has recently crashed, and may do so without the suspect.
	crashed bool
	// recentStart and runs are set for a task on trial only: whether a run was recently
	// started there, and how many runs a crash would lose.
	recentStart bool
	runs        int
	// score is that of the general choice of workers, higher is better.
	score float64
}

func (r suspectRank) compare(o suspectRank) int {
	return cmp.Or(
		cmp.Compare(boolRank(o.sameRack), boolRank(r.sameRack)), cmp.Compare(boolRank(o.crashed), boolRank(r.crashed)),
		cmp.Compare(boolRank(o.recentStart), boolRank(r.recentStart)), cmp.Compare(r.runs, o.runs), cmp.Compare(o.score, r.score),
	)
}

// bestForSuspect returns the best of the workers for a suspect, or nil.
func (c *Core) bestForSuspect(t *task, workers []*worker, racks map[string]bool, v view, now Instant) *worker {
	trial := t.suspectedCrashes() >= trialCrashes
	var best *worker
	var bestRank suspectRank
	for _, w := range workers {
		score, ok := c.rate(t.step, w, v, now)
		if !ok || w.info.ID == t.avoid {
			continue
		}
		_, crashed := c.crashed[w.info.VM]
		rank := suspectRank{sameRack: w.info.Rack != "" && racks[w.info.Rack], crashed: crashed, score: score}
		if trial {
			rank.recentStart, rank.runs = w.startedRecently(now), len(w.attempts)
		}
		if best == nil || rank.compare(bestRank) < 0 {
			best, bestRank = w, rank
		}
	}
	return best
}

// recordSuspectStart records that a suspect was just started. If it is on trial, its worker
// takes no other tasks for trialTime. Separate is set if no other run was recently started there.
func (c *Core) recordSuspectStart(t *task, separate bool, now Instant) {
	w := t.attempt.worker
	w.suspectUntil = now.Steady + trialTime
	if t.suspectedCrashes() >= trialCrashes {
		t.attempt.trial = separate
		c.nextTrial = now.Steady + trialInterval
		w.fullUntil = max(w.fullUntil, now.Steady+trialTime)
	}
}
