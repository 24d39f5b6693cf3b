package dispatch

import (
	"slices"
	"sort"
	"strconv"
	"strings"
)

// maxOpenTasks bounds the tasks of the open occurrences of a repeated job, whose memory would
// else follow the number of occurrences that its customer asks for. Later ones are opened as
// earlier ones end. Long-running tasks don't end by themselves, so that they are not bounded.
const maxOpenTasks = 5000

// An occurrence of a repeated job is open from when it is due, or a worker reports one of its
// runs, until all its tasks are done and nothing of it runs. Only open occurrences take memory.

// openOccurrences opens the occurrences that are due, and closes those that have ended.
func (c *Core) openOccurrences(now Instant) {
	c.repeated = slices.DeleteFunc(c.repeated, func(j *jobState) bool {
		if j.progress.State.Final() {
			c.countWaiting(j)
			return true
		}
		if j.occurrenceEnded {
			c.closeEnded(j)
		}
		opened := j.nextOccurrence
		for _, s := range c.openDue(j, now) {
			c.openStep(s, now)
		}
		if j.nextOccurrence > opened {
			c.finishIfDone(j, now) // an owner whose clock was ahead may have done them
			c.countWaiting(j)
		}
		return j.spec.Occurrences == 0 && j.nextOccurrence > 0
	})
}

// openDue opens the occurrences of a job that are due, in their order, and returns their steps.
func (c *Core) openDue(j *jobState, now Instant) []*stepRun {
	var steps []*stepRun
	for j.nextOccurrence < j.spec.OccurrenceCount() && (j.spec.Occurrences == 0 || j.spec.DueMS(j.nextOccurrence) <= now.UnixMS) && c.mayOpenNext(j) {
		steps = append(steps, c.openOccurrence(j, j.nextOccurrence)...)
		j.nextOccurrence++
	}
	return steps
}

// mayOpenNext reports whether the next occurrence of a job may be opened, or is open since a worker
// reported a run of it.
func (c *Core) mayOpenNext(j *jobState) bool {
	_, open := j.searchOccurrence(j.nextOccurrence)
	return open || j.mayOpen() && c.memory.mayOpen(j.spec, j.openCost)
}

// mayOpen reports whether one more occurrence of the job may be open.
func (j *jobState) mayOpen() bool {
	open := len(j.steps) / len(j.spec.Steps)
	return open == 0 || j.spec.LongRunning() || (open+1)*j.spec.TasksPerOccurrence() <= maxOpenTasks
}

// openOccurrence builds the steps of an occurrence that is neither open nor done, and returns
// them; none if it is.
func (c *Core) openOccurrence(j *jobState, occurrence int) []*stepRun {
	at, open := j.searchOccurrence(occurrence)
	if open || j.isDone(occurrence) {
		return nil
	}
	unknown := j.stored && len(c.unresolved) > 0
	c.unknownPending = c.unknownPending || unknown
	steps := j.buildOccurrence(occurrence, unknown)
	c.countOpened(j)
	j.steps = slices.Insert(j.steps, at, steps...)
	return steps
}

// searchOccurrence returns the position in j.steps of an occurrence's first step, and whether
// the occurrence is open.
func (j *jobState) searchOccurrence(occurrence int) (at int, open bool) {
	n := len(j.spec.Steps)
	i := sort.Search(len(j.steps)/n, func(i int) bool { return j.steps[i*n].occurrence >= occurrence })
	return i * n, i*n < len(j.steps) && j.steps[i*n].occurrence == occurrence
}

// stepsOf returns the steps of an open occurrence; none if it is not open.
func (j *jobState) stepsOf(occurrence int) []*stepRun {
	at, open := j.searchOccurrence(occurrence)
	if !open {
		return nil
	}
	return j.steps[at : at+len(j.spec.Steps)]
}

// isDone reports whether all tasks of an occurrence are done.
func (j *jobState) isDone(occurrence int) bool {
	for i := range j.spec.Steps {
		if !j.progress.StepDone(occurrence, i, j.spec.Steps[i].Count) {
			return false
		}
	}
	return true
}

// closeEnded removes the occurrences whose tasks are done and have no runs.
func (c *Core) closeEnded(j *jobState) {
	j.occurrenceEnded = false
	n := len(j.spec.Steps)
	kept := j.steps[:0]
	for i := 0; i < len(j.steps); i += n {
		steps := j.steps[i : i+n]
		if !ended(steps) {
			kept = append(kept, steps...)
			continue
		}
		for _, s := range steps {
			for _, t := range s.tasks {
				c.setSuspectedCrashes(t, 0, 0)
			}
		}
	}
	c.countClosed(j, len(j.steps)-len(kept))
	clear(j.steps[len(kept):])
	j.steps = kept
}

// ended reports whether all tasks of the steps are done and have no runs.
func ended(steps []*stepRun) bool {
	for _, s := range steps {
		if s.remaining > 0 || slices.ContainsFunc(s.tasks, func(t *task) bool { return t.attempt != nil }) {
			return false
		}
	}
	return true
}

// recordedOccurrences returns the occurrences of which the job's progress has a record, in order.
func (j *jobState) recordedOccurrences() []int {
	var list []int
	add := func(key string) {
		first, _, _ := strings.Cut(key, ".")
		if n, err := strconv.Atoi(first); err == nil && n < j.spec.OccurrenceCount() {
			list = append(list, n)
		}
	}
	for key := range j.progress.Done {
		add(key)
	}
	for key := range j.progress.Failures {
		add(key)
	}
	for key := range j.progress.Crashes {
		add(key)
	}
	for key := range j.progress.Starts {
		add(key)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// openStored opens the occurrences that the previous owner may have started: a clock that was
// ahead, or an earlier version, may have opened ones that this owner would not open yet.
func (c *Core) openStored(j *jobState) {
	for _, occurrence := range j.recordedOccurrences() {
		c.openOccurrence(j, occurrence)
	}
}

// findOccurrence returns the steps of an occurrence of which something was reported, and opens
// it if it may have been started by an owner whose clock was ahead; none if it is done.
func (c *Core) findOccurrence(j *jobState, occurrence int) []*stepRun {
	if steps := j.stepsOf(occurrence); steps != nil {
		return steps
	}
	if j.progress.State.Final() || occurrence < j.nextOccurrence || occurrence >= j.spec.OccurrenceCount() {
		return nil
	}
	steps := c.openOccurrence(j, occurrence)
	for _, s := range steps {
		if s.remaining > 0 && !s.blocked() {
			c.queueStep(s)
		}
	}
	return steps
}
