package dispatch

import (
	"slices"
	"time"
)

// Limits of workers whose tasks fail, and of tasks that fail again and again.
const (
	// failStreakLimit failures in a row, as far as they say something about the worker, mark
	// it as bad: three in a row happen by chance in 1 of 8,000 (tasks fail in 2% to 5% of
	// their runs).
	failStreakLimit = 3
	// minAvoidPause and maxAvoidPause bound how long a bad worker gets no work; the
	// time doubles each time that it counts as bad again.
	minAvoidPause = 2 * time.Second
	maxAvoidPause = 16 * time.Second
	// maxAvoidedShare is the share of a service's workers, one at least of several, that may be
	// excluded since their tasks fail: if more are bad, their tasks more likely are.
	maxAvoidedShare = 0.25
	// soundRatio is the number of successes at other workers for each failure there from which
	// a job counts as sound, so that its failures are the worker's.
	soundRatio = 3
	// settledAfter is the age from which a long-running task counts as a success of its worker.
	settledAfter = 5 * time.Second
	// maxRestartDelay bounds the pause before a long-running task starts again that failed
	// before it settled; the pause doubles with each such failure in a row.
	maxRestartDelay = 4 * time.Second
	// maxFailingJobs bounds the jobs that are kept of a worker's failures in a row.
	maxFailingJobs = 16
)

// jobOutcomes counts how runs of a job ended lately: runs that were done or settled, and those
// that failed before.
type jobOutcomes struct{ succeeded, failed int }

// maxOutcomes is the number of successes from which both counts are halved, so that a job that
// begins to fail does not count as sound for long.
const maxOutcomes = 32

func (o *jobOutcomes) addSuccess() {
	if o.succeeded++; o.succeeded >= maxOutcomes {
		o.succeeded, o.failed = o.succeeded/2, o.failed/2
	}
}

// failingJob is a job with failures at a worker since the last success there.
type failingJob struct {
	job    *jobState
	failed int
}

// recordSuccess records that a run of a job was done at a worker, or settled there.
func (w *worker) recordSuccess(j *jobState) {
	j.outcomes.addSuccess()
	w.failing, w.failStreak = nil, 0
	w.avoidedBefore, w.avoidStrikes = false, max(0, w.avoidStrikes-1)
}

// recordSettled records a success once a long-running run has settled.
func (a *attempt) recordSettled(now Instant) {
	if !a.settled && a.task.step.spec.LongRunning && a.hasSettled(now) {
		a.settled = true
		a.task.quickFailures = 0
		a.worker.recordSuccess(a.task.step.job)
	}
}

// hasSettled reports whether a run has worked for settledAfter; a may be nil.
func (a *attempt) hasSettled(now Instant) bool {
	return a != nil && now.Steady-a.started >= settledAfter
}

// countWorkerFailure counts failures in a row at a worker. Failures of gangs and repeated
// failures of one task are little evidence against the worker, and don't count; nor do
// long-running tasks that have settled. See failuresInRow for those of one job.
func (c *Core) countWorkerFailure(w *worker, t *task, a *attempt, now Instant) {
	if t.step.spec.Gang || t.avoid == w.info.ID || t.step.spec.LongRunning && a.hasSettled(now) {
		return
	}
	j := t.step.job
	j.outcomes.failed++
	i := slices.IndexFunc(w.failing, func(f failingJob) bool { return f.job == j })
	switch {
	case i >= 0:
		w.failing[i].failed++
	case len(w.failing) < maxFailingJobs:
		w.failing = append(w.failing, failingJob{j, 1})
	}
	w.failStreak = w.failuresInRow()
	if w.failStreak < failStreakLimit || !c.mayAvoidOneMore(w, now) {
		return
	}
	w.failing, w.avoidedBefore = nil, true
	w.failStreak = w.failuresInRow()
	c.avoidWorker(w, "its tasks fail one after the other", now)
}

// failuresInRow returns how many failures in a row speak against the worker. A job that mostly
// fails elsewhere too is the cause itself, and says nothing. One that has not run elsewhere does
// not reach the limit alone. A worker that was avoided and has had no success since has one to go.
func (w *worker) failuresInRow() int {
	n := 0
	if w.avoidedBefore {
		n = failStreakLimit - 1
	}
	for _, f := range w.failing {
		failedElsewhere := max(f.job.outcomes.failed-f.failed, 0)
		switch succeeded := f.job.outcomes.succeeded; {
		case succeeded > 0 && succeeded >= soundRatio*failedElsewhere:
			n += f.failed
		case failedElsewhere == 0:
			n += min(f.failed, failStreakLimit-1)
		}
	}
	return n
}

// mayAvoidOneMore reports whether one more worker of the service may be avoided.
func (c *Core) mayAvoidOneMore(w *worker, now Instant) bool {
	avoided, all := 0, 0
	for _, o := range c.workersByService[w.info.Service] {
		if !o.listed {
			continue
		}
		all++
		if now.Steady < o.avoidUntil {
			avoided++
		}
	}
	return all > 1 && avoided < max(int(maxAvoidedShare*float64(all)), 1)
}

// avoidWorker excludes a worker for a while, longer each time, up to maxAvoidPause.
func (c *Core) avoidWorker(w *worker, reason string, now Instant) {
	if now.Steady < w.avoidUntil {
		return
	}
	pause := min(minAvoidPause<<min(w.avoidStrikes, 3), maxAvoidPause)
	w.avoidStrikes++
	w.avoidUntil = now.Steady + pause
	c.trace(Decision{Event: "worker_avoided", Worker: w.info.ID, Reason: reason, Age: pause})
}

// restartDelay returns the pause before a task starts again whose run a has failed.
func (t *task) restartDelay(a *attempt, now Instant) time.Duration {
	if !t.step.spec.LongRunning || a == nil || a.hasSettled(now) {
		t.quickFailures = 0
		return retryDelay
	}
	delay := min(retryDelay<<min(t.quickFailures, 10), maxRestartDelay)
	t.quickFailures++
	return delay
}
