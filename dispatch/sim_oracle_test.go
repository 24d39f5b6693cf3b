package dispatch

import (
	"fmt"
	"slices"
	"time"

	"leverstile.dev/job"
)

// oracle checks the promises from what workers do.
type oracle struct {
	sim    *sim
	broken []string
	// runs holds where each task runs now.
	runs map[job.TaskID][]*simWorker
	// done holds tasks whose end "done" a worker was told to forget; such an
	// end is durable, whatever happens next.
	done map[job.TaskID]bool
	// doneAt holds ends "done" that are listed, by worker and number.
	doneAt map[*simWorker]map[uint64]job.TaskID
	// everDone holds tasks that ended done at least once.
	everDone map[job.TaskID]bool
	// startedAt is when each task was last started, doneSince when the ends in
	// doneAt came.
	startedAt map[job.TaskID]time.Duration
	doneSince map[*simWorker]map[uint64]time.Duration
	// failures holds the failed ends of each task at workers that live on, and
	// exhausted the starts after as many of them as the queue allows.
	failures    map[job.TaskID][]*simFailure
	exhausted   []exhaustedStart
	checkpoints checkpointOracle
}

// simFailure is a failed end in a worker's list; it counts once the worker was
// told to forget it, unless its lease lapsed meanwhile.
type simFailure struct {
	worker  *simWorker
	number  uint64
	at      time.Duration
	counted bool
}

// exhaustedStart is a start of a task that had no attempts left, if these
// failures all come to count.
type exhaustedStart struct {
	what     string
	failures []*simFailure
}

// checkBudget fails once a start without attempts left is certain.
func (o *oracle) checkBudget() {
	for _, x := range o.exhausted {
		n := 0
		for _, f := range x.failures {
			if f.counted {
				n++
			}
		}
		if n >= o.sim.maxAttempts {
			o.fail("%s after %d failures", x.what, n)
		}
	}
}

func (o *oracle) fail(format string, args ...any) {
	o.broken = append(o.broken, fmt.Sprintf("%v: ", o.sim.now)+fmt.Sprintf(format, args...))
}

func (o *oracle) started(w *simWorker, r *simRun) {
	if len(o.runs[r.task]) > 0 {
		o.fail("task %s run %d starts at %s while it runs at %s", r.task, r.run, w.info.ID, o.runs[r.task][0].info.ID)
	}
	if o.sim.strict && o.everDone[r.task] {
		o.fail("task %s run %d starts at %s though it has ended done", r.task, r.run, w.info.ID)
	}
	if o.done[r.task] {
		o.fail("task %s run %d starts at %s after its end was acknowledged", r.task, r.run, w.info.ID)
	}
	spec := o.sim.askedSpec(r.task.Job)
	for _, earlier := range spec.Steps[r.task.Step].After {
		for i := range spec.Steps[earlier].Count {
			if !o.everDone[job.TaskID{Job: r.task.Job, Occurrence: r.task.Occurrence, Step: earlier, Index: i}] {
				o.fail("task %s starts before step %d is done", r.task, earlier)
			}
		}
	}
	if o.sim.cancelled[r.task.Job] > 0 && o.sim.now > o.sim.cancelled[r.task.Job]+simHorizon+2*time.Second {
		o.fail("task %s starts long after its job was cancelled", r.task)
	}
	o.checkEvacuated(w, r)
	o.checkCrasher(r)
	o.runs[r.task] = append(o.runs[r.task], w)
	o.startedAt[r.task] = o.sim.now
	if list := o.failures[r.task]; len(list) >= o.sim.maxAttempts {
		what := fmt.Sprintf("task %s run %d starts at %s at %v", r.task, r.run, w.info.ID, o.sim.now)
		o.exhausted = append(o.exhausted, exhaustedStart{what, slices.Clone(list)})
		o.checkBudget()
	}
}

// evacuationBound after an evacuation, an owner that hears of it starts nothing
// there: a start may be under way for its window.
const evacuationBound = startWindow + time.Second

func (o *oracle) checkEvacuated(w *simWorker, r *simRun) {
	since, evacuated := o.sim.evacuated[w.info.DataCentre]
	if !evacuated || o.sim.now < since+evacuationBound {
		return
	}
	for _, owner := range append(slices.Clone(o.sim.old), o.sim.owner) {
		if owner.core.Term() == r.run>>runBits && o.sim.now > owner.troubledAt+evacuationBound {
			o.fail("task %s run %d starts at %s, whose data centre is evacuated since %v", r.task, r.run, w.info.ID, since)
		}
	}
}

func (o *oracle) ended(w *simWorker, r *simRun, kind EndKind) {
	list := o.runs[r.task][:0]
	for _, x := range o.runs[r.task] {
		if x != w {
			list = append(list, x)
		}
	}
	o.runs[r.task] = list
	if kind == EndFailed {
		o.failures[r.task] = append(o.failures[r.task], &simFailure{worker: w, number: w.endedNo, at: o.sim.now})
	}
	if kind != EndDone {
		return
	}
	for _, t := range o.fellows(r.task) {
		o.everDone[t] = true
	}
	if o.doneAt[w] == nil {
		o.doneAt[w] = map[uint64]job.TaskID{}
	}
	o.doneAt[w][w.endedNo] = r.task
	if o.doneSince[w] == nil {
		o.doneSince[w] = map[uint64]time.Duration{}
	}
	o.doneSince[w][w.endedNo] = o.sim.now
}

// forgotten is told that a worker may forget ends. An end "done" that counts
// must not be followed by a start, be it before or after this; one whose worker
// let its lease lapse since counts no more.
func (o *oracle) forgotten(w *simWorker, seen uint64) {
	for n, t := range o.doneAt[w] {
		if n <= seen {
			ended := o.doneSince[w][n]
			if w.lapsed < ended {
				for _, t := range o.fellows(t) {
					o.acknowledged(t, w, ended)
				}
			}
			delete(o.doneAt[w], n)
		}
	}
	for _, list := range o.failures {
		for _, f := range list {
			f.counted = f.counted || f.worker == w && f.number <= seen && w.lapsed < f.at
		}
	}
	o.checkBudget()
}

// acknowledged notes that a worker was told to forget an end that counts for a task.
func (o *oracle) acknowledged(t job.TaskID, w *simWorker, ended time.Duration) {
	o.done[t] = true
	if o.startedAt[t] > ended {
		o.fail("the end of task %s at %s, of %v, is acknowledged though the task was started at %v", t, w.info.ID, ended, o.startedAt[t])
	}
}

// fellows returns the tasks that an end of one task counts for: all of a gang, else it
// alone.
func (o *oracle) fellows(t job.TaskID) []job.TaskID {
	step := &o.sim.specs[t.Job].Steps[t.Step]
	if !step.Gang {
		return []job.TaskID{t}
	}
	list := make([]job.TaskID, step.Count)
	for i := range list {
		list[i] = job.TaskID{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step, Index: i}
	}
	return list
}

// crashed forgets what ran at a worker.
func (o *oracle) crashed(w *simWorker) {
	for _, r := range w.running {
		list := o.runs[r.task][:0]
		for _, x := range o.runs[r.task] {
			if x != w {
				list = append(list, x)
			}
		}
		o.runs[r.task] = list
	}
}
