package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Figures of trials.
const (
	// trialTime is how long a suspect is the newest run of its worker: no other
	// suspect starts there, and nothing else beside one on trial.
	trialTime = 2 * time.Second
	// betweenTrials is the pause between starts of tasks on trial, so that each crash
	// is told apart from the others.
	betweenTrials = 2 * sameMoment
	// justStarted tells runs apart by their starts. A run that began so much earlier
	// than another one on its worker is less likely to have crashed it, and a task on
	// trial beside a younger run proves nothing.
	justStarted = 500 * time.Millisecond
	// apartRetry is the pause before a step whose suspects no worker takes is tried again.
	apartRetry = 100 * time.Millisecond
	// trialCrashes is the number of crashes from which a suspect is on trial.
	trialCrashes = crashLimit - 1
)

// apartPool holds the workers of a pool where no suspect was just started, and the racks
// where one was. A pass computes it once: with 600 suspects at 490 workers, as after a
// wave of crashes, that is what their placement costs beside the choice itself.
type apartPool struct {
	workers []*worker
	racks   map[string]bool
}

// apart returns the pool's part without suspects that were just started.
func (p *pool) apart(now Instant) *apartPool {
	if p.withoutSuspects != nil {
		return p.withoutSuspects
	}
	a := &apartPool{racks: map[string]bool{}}
	for _, w := range p.workers {
		if now.Steady >= w.suspectUntil {
			a.workers = append(a.workers, w)
		} else {
			a.racks[w.info.Rack] = true
		}
	}
	p.withoutSuspects = a
	return a
}

// take takes out a worker where a suspect is started now.
func (a *apartPool) take(w *worker) {
	a.workers = slices.DeleteFunc(a.workers, func(o *worker) bool { return o == w })
	a.racks[w.info.Rack] = true
}

// placeSuspects starts the suspects of a step, each at a worker without another one
// that was just started, so that the next crash tells them apart.
func (c *Core) placeSuspects(s *stepRun, p *pool, now Instant) {
	if now.Steady < s.apartRetry {
		return
	}
	for _, t := range s.tasks {
		if t.phase != phaseReady || t.suspicion() == 0 || now.Steady < t.notBefore || t.concluded && !c.certain(now) || c.suspectWaits(t, now) != "" {
			continue
		}
		w, apart := c.placeApart(t, p, now)
		if w == nil {
			s.apartRetry = now.Steady + apartRetry
			c.makeRoom(s, c.queues[s.job.spec.Queue].Priority, p.workers, now)
			return
		}
		apart = apart && !w.startedLately(now)
		c.place(t, w, c.newRun(), now)
		c.tryApart(t, apart, now)
		p.apart(now).take(w)
	}
}

// placeApart returns a worker for a suspect, and whether no other suspect was just
// started there. After starvedAfter it takes what there is: a task that only was
// beside another's crash must not wait for long.
func (c *Core) placeApart(t *task, p *pool, now Instant) (w *worker, apart bool) {
	free := p.apart(now)
	v := c.viewOf(t.step, p, now)
	if w := c.chooseFor(t, free.workers, free.racks, v, now); w != nil {
		return w, true
	}
	if now.Steady-t.readySince < starvedAfter {
		return nil, true
	}
	return c.chooseFor(t, p.workers, free.racks, v, now), false
}

// startedLately reports whether a run was just started at the worker.
func (w *worker) startedLately(now Instant) bool {
	return w.placedAt > 0 && now.Steady-w.placedAt < justStarted
}

// trialRank orders workers for a suspect, the least first.
type trialRank struct {
	// sameRack: another suspect was just started in its rack. Several that crash in one
	// rack look like its loss.
	sameRack bool
	// crashed: its VM has crashed of late, and may do so by itself.
	crashed bool
	// late and runs count on trial: whether a run was just started there, and how many
	// there are to lose.
	late bool
	runs int
	// score is that of the usual choice, more is better.
	score float64
}

func (r trialRank) compare(o trialRank) int {
	return cmp.Or(
		cmp.Compare(boolRank(o.sameRack), boolRank(r.sameRack)), cmp.Compare(boolRank(o.crashed), boolRank(r.crashed)),
		cmp.Compare(boolRank(o.late), boolRank(r.late)), cmp.Compare(r.runs, o.runs), cmp.Compare(o.score, r.score),
	)
}

// chooseFor returns the best worker for a suspect, or nil.
func (c *Core) chooseFor(t *task, workers []*worker, racks map[string]bool, v view, now Instant) *worker {
	trial := t.suspicion() >= trialCrashes
	var best *worker
	var bestRank trialRank
	for _, w := range workers {
		score, ok := c.rate(t.step, w, v, now)
		if !ok || w.info.ID == t.avoid {
			continue
		}
		_, crashed := c.crashed[w.info.VM]
		rank := trialRank{sameRack: w.info.Rack != "" && racks[w.info.Rack], crashed: crashed, score: score}
		if trial {
			rank.late, rank.runs = w.startedLately(now), len(w.attempts)
		}
		if best == nil || rank.compare(bestRank) < 0 {
			best, bestRank = w, rank
		}
	}
	return best
}

// tryApart notes that a suspect was just started, and keeps its worker for it while
// it is on trial.
func (c *Core) tryApart(t *task, apart bool, now Instant) {
	w := t.attempt.worker
	w.suspectUntil = now.Steady + trialTime
	if t.suspicion() >= trialCrashes {
		t.attempt.trial = apart
		c.nextTrial = now.Steady + betweenTrials
		w.fullUntil = max(w.fullUntil, now.Steady+trialTime)
	}
}
