package dispatch

import (
	"time"

	"leverstile.dev/job"
)

// retryDelay is the pause before a failed task starts again.
const retryDelay = 100 * time.Millisecond

// processEnd applies the end of a run that a worker lists.
func (c *Core) processEnd(w *worker, e *EndedTask, now Instant) {
	t := c.findTask(e.Task)
	if t == nil {
		c.ignoreEnd(w, e, "the job has ended or is unknown")
		return
	}
	if c.neverOrdered(t, e.Run) {
		c.ignoreEnd(w, e, "its run was never ordered")
		return
	}
	a := t.attemptAt(w, e.Run)
	c.recordEndCheckpoint(t, w, e)
	c.logTask("run_"+string(e.Kind), t, w, e.Run, "")
	c.markStarted(t.step.job)
	c.applyEnd(w, t, a, e, now)
	if a != nil {
		c.release(a, now)
	}
	c.deferEndAck(w, pendingEnd{number: e.Number, task: e.Task, job: t.step.job, version: t.step.job.version})
}

// ignoreEnd acknowledges an end that has no effect on a task, so that the worker drops it.
func (c *Core) ignoreEnd(w *worker, e *EndedTask, reason string) {
	c.deferEndAck(w, pendingEnd{number: e.Number, task: e.Task})
	c.trace(Decision{Event: "end_ignored", Job: e.Task.Job, Task: e.Task, Run: e.Run, Worker: w.info.ID, Reason: reason})
}

// deferEndAck keeps an end that is acknowledged to the worker, which may then forget it,
// once its effect is stored.
func (c *Core) deferEndAck(w *worker, e pendingEnd) {
	w.ends = append(w.ends, e)
	c.unstoredEnds[w] = true
}

// neverOrdered reports whether a run is of this owner's term, and newer than any start of
// the task that it ordered. Runs of other terms may be genuine: of earlier owners, or of one
// that has replaced this one.
func (c *Core) neverOrdered(t *task, run uint64) bool {
	return run>>runBits == c.term && run > t.lastStart.run
}

// recordEndCheckpoint records the checkpoint that is reported with an end, also if the run is
// not the newest that this owner ordered.
func (c *Core) recordEndCheckpoint(t *task, w *worker, e *EndedTask) {
	if e.Checkpoint == "" {
		return
	}
	reported := checkpoint{text: e.Checkpoint, run: e.Run, worker: w.info.ID, end: e.Number}
	if ignored := c.recordCheckpoint(t, w, reported); ignored != "" {
		d := taskDecision("checkpoint_ignored", t, w, e.Run, ignored)
		d.Detail = reported.String()
		c.trace(d)
	}
}

// applyEnd updates the task, the worker and the statistics by the kind of an end.
func (c *Core) applyEnd(w *worker, t *task, a *attempt, e *EndedTask, now Instant) {
	switch e.Kind {
	case EndDone:
		c.stats.Done++
		c.clearSuspicion(t, e.Run, "a run of it is done")
		w.recordSuccess(t.step.job)
		if a != nil {
			c.learnRunTime(a, now)
			c.learnForCopies(a, now)
		}
		if !t.step.spec.LongRunning {
			c.finishTask(t, a, now)
		}
	case EndFailed:
		c.stats.Failed++
		c.clearSuspicion(t, e.Run, "its worker has outlived a run of it")
		c.countWorkerFailure(w, t, a, now)
		c.countFailure(t, e.Run, now)
		t.avoid = w.info.ID
		t.notBefore = now.Steady + t.restartDelay(a, now)
	case EndStopped:
		c.stats.Stopped++
	default:
		c.stats.Lapsed++
	}
}

// finishTask marks the task as done and stops its other runs elsewhere.
func (c *Core) finishTask(t *task, a *attempt, now Instant) {
	runs := t.attempts()
	c.taskDone(t, now)
	for _, other := range runs {
		if other != a {
			c.stop(other, otherRunDone(a), now)
		}
	}
}

// countFailure counts a failed run against the queue's budget. A gang fails as
// a whole: its failures are counted at its first task.
func (c *Core) countFailure(t *task, run uint64, now Instant) {
	s := t.step
	if s.spec.LongRunning || t.phase == phaseDone {
		return // a task that is done has no more attempts to use
	}
	id := t.id()
	if s.spec.Gang {
		id.Index = 0
	}
	j := s.job
	if !j.progress.RecordFailure(id, run) {
		return
	}
	s.tasks[id.Index].failedInTerm = true
	c.markChanged(j)
	limit := c.settingsOf(j.spec).MaxAttempts
	if limit > 0 && j.progress.FailureCount(id) >= limit {
		c.setFinal(j, job.Failed, "task "+id.String()+" has no attempts left", now)
	}
}
