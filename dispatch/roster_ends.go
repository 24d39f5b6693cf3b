package dispatch

import "leverstile.dev/job"

// followEnds marks the part of a worker with a closed entry as stale if the stored entry no longer
// tells what may run there. Otherwise the next owner waits for the leases of a task that has ended
// there, if the worker has left by then: 10 s without a run beside free capacity.
//
// Ends are the usual reason, and a part is written for them at most once per tick, so that a rack
// that drains doesn't cause a write for each end. A task that has joined is written at once.
func (c *Core) followEnds(w *worker) {
	id := w.info.ID
	stored, known := c.roster.storedTasks[id]
	if !known || c.Awaits(id) {
		return
	}
	part := c.roster.entries[id].part
	switch {
	case c.roster.stale[part] && !c.roster.parts[part].written:
		// The next write has the present tasks.
	case c.mayRunBeyond(w, stored):
		c.roster.markStale(part)
	case c.namesEnded(w, stored):
		c.roster.parts[part].outdated = true
		c.roster.updatePart(part)
	}
}

// updatePart marks an outdated part as stale, unless that was done since the last tick.
func (r *roster) updatePart(number int) {
	if p := &r.parts[number]; p.outdated && !p.updated {
		p.outdated, p.updated = false, true
		r.markStale(number)
	}
}

// updateParts is called once per tick: it allows each part another write for ends.
func (r *roster) updateParts() {
	for i := range r.parts {
		r.parts[i].updated = false
		r.updatePart(i)
	}
}

// namesEnded reports whether a stored entry names a task that has ended at the worker and is to
// start again. Tasks that are done aren't awaited anyway.
func (c *Core) namesEnded(w *worker, stored taskSet) bool {
	for id := range stored {
		t := c.findTask(id)
		if t == nil || t.phase == phaseDone || t.step.job.progress.State.Final() {
			continue
		}
		if !w.mayHold(t) {
			return true
		}
	}
	return false
}

// mayHold reports whether a task may run at the worker, or the store lacks an end of it there.
func (w *worker) mayHold(t *task) bool {
	for _, a := range t.attempts() {
		if a.worker == w {
			return true
		}
	}
	id := t.id()
	if _, ok := w.unexpected[id]; ok {
		return true
	}
	for _, e := range w.ends {
		if e.task == id {
			return true
		}
	}
	return false
}

// mayRunBeyond reports whether the worker may run tasks that the stored entry lacks, as after
// the runs of a previous incarnation were transferred to it.
func (c *Core) mayRunBeyond(w *worker, stored taskSet) bool {
	for _, a := range w.attempts {
		if !stored[a.task.id()] {
			return true
		}
	}
	for id := range w.unexpected {
		if !stored[id] {
			return true
		}
	}
	return false
}

// parseTasks returns the tasks with these names. A name that can't be parsed is of no job.
func parseTasks(names []string) taskSet {
	set := taskSet{}
	for _, name := range names {
		if id, err := job.ParseTaskID(name); err == nil {
			set[id] = true
		}
	}
	return set
}
