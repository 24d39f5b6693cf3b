package dispatch

import "leverstile.dev/job"

// markChanged counts a change of a job's progress and queues it to be written.
func (c *Core) markChanged(j *jobState) {
	j.version++
	if _, waits := c.dirty[j]; !waits {
		c.lastQueued++
		c.dirty[j] = c.lastQueued
	}
}

// markStarted records that a worker has started a task of the job. An order alone does not
// count, since it may have no effect, also after a takeover, and customers ask how many
// jobs have not started.
func (c *Core) markStarted(j *jobState) {
	if j.started {
		return
	}
	j.started = true
	if j.progress.State == job.Queued {
		j.progress.State = job.Running
		j.shown = job.Running // shown before it is stored, since it promises nothing
		c.markChanged(j)
	}
}

// taskDone marks a task, or all tasks of its gang, as done.
func (c *Core) taskDone(t *task, now Instant) {
	if t.phase == phaseDone {
		return // the end was recorded, but its acknowledgement was lost
	}
	s := t.step
	if s.spec.Gang {
		for _, other := range s.tasks {
			c.markDone(other)
		}
	} else {
		c.markDone(t)
	}
	if s.remaining > 0 {
		return
	}
	s.job.occurrenceEnded = true
	for _, next := range s.job.stepsOf(s.occurrence) {
		for _, earlier := range next.spec.After {
			if earlier == s.index {
				next.pendingPredecessors--
			}
		}
		if next.pendingPredecessors == 0 && next != s {
			c.openStep(next, now)
		}
	}
	c.finishIfDone(s.job, now)
}

func (c *Core) markDone(t *task) {
	s := t.step
	if t.phase == phaseDone {
		return
	}
	if t.phase == phaseReady {
		s.ready--
	}
	t.phase = phaseDone
	c.setPossibleCrashes(t, nil)
	s.remaining--
	s.job.progress.MarkDone(t.id(), s.spec.Count)
	s.job.progress.ClearFailures(t.id())
	c.markChanged(s.job)
}

func (c *Core) finishIfDone(j *jobState, now Instant) {
	if j.nextOccurrence < j.spec.OccurrenceCount() {
		return
	}
	for _, s := range j.steps {
		if s.remaining > 0 {
			return
		}
	}
	c.setFinal(j, job.Succeeded, "all tasks done", now)
}

// setFinal ends a job and stops what still runs of it.
func (c *Core) setFinal(j *jobState, state job.State, reason string, now Instant) {
	if j.progress.State.Final() {
		return
	}
	j.progress.State = state
	if state == job.Failed {
		j.progress.Reason = reason
	}
	j.progress.EndedMS, j.endedAt = now.UnixMS, now.Steady
	c.markChanged(j)
	c.trace(Decision{Event: "job_" + string(state), Job: j.spec.ID, Reason: reason})
	for _, s := range j.steps {
		for _, t := range s.tasks {
			c.setSuspectedCrashes(t, 0, 0)
			c.setPossibleCrashes(t, nil)
			if t.phase == phaseReady {
				t.phase = phaseWaiting
				s.ready--
			}
			if t.phase == phaseDone {
				continue
			}
			for _, a := range t.attempts() {
				c.stop(a, "job "+string(state), now)
			}
		}
	}
}

// Cancel ends a job that its customer no longer wants.
func (c *Core) Cancel(id string, now Instant) {
	j := c.jobs[id]
	if j == nil {
		if _, recorded := c.cancelled[id]; !recorded && !c.dropped.known[id] {
			c.cancelled[id] = now.Steady // its job is deferred, or received later
		}
		return
	}
	if j.cancelled {
		return
	}
	j.cancelled = true
	c.setFinal(j, job.Cancelled, "cancelled by its customer", now)
}

// Status returns the state that may be shown, and whether the job is known.
func (c *Core) Status(id string) (job.State, bool) {
	s, known := c.JobStatus(id)
	return s.State, known
}

// JobStatus is Status with the reason of a failure.
func (c *Core) JobStatus(id string) (job.Status, bool) {
	j := c.jobs[id]
	if j == nil {
		return job.Status{}, false
	}
	s := job.Status{State: j.shown}
	if s.State == job.Failed {
		s.Reason = j.progress.Reason
	}
	return s, true
}

// Pending returns how many jobs of a queue have not started.
func (c *Core) Pending(queue string) int {
	n := 0
	for _, j := range c.jobs {
		if j.spec.Queue == queue && !j.started && !j.progress.State.Final() {
			n++
		}
	}
	return n + c.pendingDeferred(queue)
}

// pendingDeferred returns how many jobs of a queue are deferred until the lease is held
// for certain. A job may be received more than once.
func (c *Core) pendingDeferred(queue string) int {
	counted := map[string]bool{}
	for _, d := range c.deferred {
		id := d.spec.ID
		if _, cancelled := c.cancelled[id]; d.spec.Queue == queue && c.jobs[id] == nil && !cancelled {
			counted[id] = true
		}
	}
	return len(counted)
}
