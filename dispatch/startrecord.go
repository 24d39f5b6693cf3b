package dispatch

import "leverstile.dev/job"

// unsentStart is a start that is sent once the store holds its record.
type unsentStart struct {
	attempt    *attempt
	checkpoint string
	version    uint64 // of its job's progress
}

// recordedStart is a start that a previous owner recorded.
type recordedStart struct {
	task *task
	run  uint64
	// ended is set if the incarnation that was sent the start has ended; end is how.
	ended bool
	end   incarnationEnd
}

// recordStart records the start of a task that may crash its worker, so that the next owner
// has a record of it too. It reports whether the start waits until the record is stored: the
// start of a task that has only possible crashes does not.
func (c *Core) recordStart(a *attempt, checkpoint string) (waits bool) {
	t := a.task.suspect()
	if t.crashes == 0 && len(t.possibleCrashRuns) == 0 {
		return false
	}
	j := t.step.job
	j.progress.AddStart(t.id(), job.Start{Run: a.run, Worker: string(a.worker.info.ID)})
	c.markChanged(j)
	if t.crashes == 0 {
		return false
	}
	a.unsent = true
	c.unsentStarts = append(c.unsentStarts, unsentStart{a, checkpoint, j.version})
	return true
}

// HasUnsentStarts reports whether starts wait for the store.
func (c *Core) HasUnsentStarts() bool { return len(c.unsentStarts) > 0 }

// sendRecordedStarts sends the starts whose records the store holds by now. One that has
// waited longer than startWindow, whose ticket has expired, or whose worker gets no more starts,
// is released.
func (c *Core) sendRecordedStarts(now Instant) {
	list := c.unsentStarts
	c.unsentStarts = nil
	for _, u := range list {
		a := u.attempt
		switch {
		case a.task.attempt != a || a.stopping:
		case now.Steady-a.placedAt > startWindow || !a.hasValidTicket(now) || a.worker.sealed || a.worker.info.Draining || c.evacuated[a.worker.info.DataCentre]:
			c.logGivenUp("start_not_sent", a, "its record was not stored in time, its ticket has expired, or its worker gets no more starts", "", now.Steady-a.placedAt)
			c.release(a, now)
		case a.task.step.job.persisted < u.version:
			c.unsentStarts = append(c.unsentStarts, u)
		default:
			a.unsent = false
			a.deadline = c.deadlineIn(a.worker, startWindow, now)
			a.placedAt, a.started, a.worker.placedAt = now.Steady, now.Steady, now.Steady
			c.sendStart(a, u.checkpoint)
		}
	}
}

// dropStarts drops the recorded starts of a task up to a run: their outcome is known.
func (c *Core) dropStarts(t *task, run uint64) {
	t = t.suspect()
	j := t.step.job
	if len(j.progress.Starts) > 0 && j.progress.DropStarts(t.id(), run) {
		c.markChanged(j)
	}
}

// recoverStarts applies the starts that a previous owner recorded.
func (c *Core) recoverStarts(j *jobState, now Instant) {
	if len(j.progress.Starts) == 0 {
		return
	}
	for _, s := range j.steps {
		for _, t := range s.tasks {
			if t.phase == phaseDone || t.suspect() != t {
				continue
			}
			for _, start := range j.progress.Starts[t.id().ProgressKey()] {
				c.recoverStart(t, start, now)
			}
		}
	}
}

// recoverStart settles a start that a previous owner recorded, or keeps it until its worker answers.
func (c *Core) recoverStart(t *task, start job.Start, now Instant) {
	id := WorkerID(start.Worker)
	r := recordedStart{task: t, run: start.Run, end: endSilent}
	switch w := c.workers[id]; {
	case c.Awaits(id):
		c.recordedStarts[id] = append(c.recordedStarts[id], r)
	case w != nil && w.synced:
		c.settleStart(w.info.ID, r, now)
	default:
		r.ended = true // the previous owner has dropped the incarnation
		c.settleStart(id, r, now)
	}
}

// settleStartsOfIncarnation settles the starts that a previous owner sent to an incarnation
// that has ended. Those that the next incarnation under its id may have carried out wait for
// its lists.
func (c *Core) settleStartsOfIncarnation(w, next *worker, end incarnationEnd, now Instant) {
	id := w.info.ID
	list := c.recordedStarts[id]
	delete(c.recordedStarts, id)
	for _, r := range list {
		if !r.ended {
			r.ended, r.end = true, end
		}
		if next != nil && !next.synced {
			c.recordedStarts[next.info.ID] = append(c.recordedStarts[next.info.ID], r)
			continue
		}
		c.settleStart(id, r, now)
	}
}

// settleStarts settles the starts at a worker once nothing more can be learned about them.
func (c *Core) settleStarts(id WorkerID, now Instant) {
	list := c.recordedStarts[id]
	delete(c.recordedStarts, id)
	w := c.workers[id]
	for _, r := range list {
		if !r.ended && (w == nil || !w.synced) {
			r.ended = true // the leases there have expired
		}
		c.settleStart(id, r, now)
	}
}

// settleStart settles the outcome of a start: its run was adopted, the start had no effect at
// a worker whose incarnation has not ended, or it may have crashed its worker.
func (c *Core) settleStart(id WorkerID, r recordedStart, now Instant) {
	t := r.task
	if t.step.job.progress.State.Final() || t.phase == phaseDone || c.isCurrentRun(t, r.run) {
		return
	}
	t.previousTermStartKnown = true
	l := lostIncarnation{id: id, end: r.end, loss: contactLoss{since: now.Steady}, inherited: true, runs: []LostRun{{Task: t.id().String(), Run: r.run}}, at: now.Steady}
	switch {
	case !r.ended:
		c.dropStarts(t, r.run)
	case r.end == endCrashed:
		c.countCrash("", l, l.runs[0], now)
	default:
		c.recordInconclusiveEnd(l, now)
	}
}

// isCurrentRun reports whether a run is the current one of a task or of its gang.
func (c *Core) isCurrentRun(t *task, run uint64) bool {
	if t.step.spec.Gang {
		return t.step.gangRun == run
	}
	return t.runOf(run) != nil
}
