package dispatch

import "fmt"

// checkpoint is what a task can continue from, and where the owner received it.
type checkpoint struct {
	text string
	// run saved it, as reported by worker: in its list of ended runs if end is that end's
	// number, else in its list of running tasks, at clock on the worker's clock.
	run    uint64
	worker WorkerID
	end    uint64
	clock  int64
}

// maxLoggedCheckpointBytes bounds the bytes of a checkpoint in a log line.
const maxLoggedCheckpointBytes = 64

// String describes the checkpoint and its origin, for the log.
func (c checkpoint) String() string {
	if c.text == "" {
		return ""
	}
	text := c.text
	if len(text) > maxLoggedCheckpointBytes {
		text = text[:maxLoggedCheckpointBytes]
	}
	from := fmt.Sprintf("list of clock %d", c.clock)
	if c.end > 0 {
		from = fmt.Sprintf("end %d", c.end)
	}
	return fmt.Sprintf("checkpoint %q of run %d, told by %s in %s", text, c.run, c.worker, from)
}

// startedRun names a run that this owner ordered, or adopted from an earlier one.
type startedRun struct {
	run    uint64
	worker WorkerID
}

// recordCheckpoint records a checkpoint that a worker reported for a task. If the checkpoint
// does not count, it returns why. An older run's does not replace that of a newer one, since
// ends may be reported late and in any order.
func (c *Core) recordCheckpoint(t *task, w *worker, reported checkpoint) (ignored string) {
	kept := t.checkpointSlot()
	switch {
	case !t.step.spec.Checkpoints:
		return "its step has no checkpoints"
	case !c.mayHaveSaved(t, w, reported):
		return "its run was not ordered at this worker"
	case reported.run < kept.run:
		return "a newer run has saved one"
	}
	*kept = reported
	return ""
}

// addStart records a run that this owner ordered, or adopted from an earlier one.
func (t *task) addStart(run uint64, w *worker) {
	t.previousStart, t.lastStart = t.lastStart, startedRun{run, w.info.ID}
}

// mayHaveSaved reports whether a run at a worker may be one of the task's. Of the runs that
// this owner knows, the newest two count: the end of one that was lost with its worker may be
// reported after the next start was refused. Which runs earlier owners ordered is not known:
// theirs count while the worker's lists are read for the first time, and those that still run
// are adopted then.
func (c *Core) mayHaveSaved(t *task, w *worker, reported checkpoint) bool {
	known := startedRun{reported.run, w.info.ID}
	if t.lastStart == known || t.previousStart == known {
		return true
	}
	return c.ofEarlierTerm(reported.run) && !w.synced
}

// ofEarlierTerm reports whether an earlier owner may have ordered a run.
func (c *Core) ofEarlierTerm(run uint64) bool {
	term := run >> runBits
	return 0 < term && term < c.term
}

// checkpointSlot returns where the task's checkpoint is stored. That of any member is valid
// for its gang, and all members must start with the same one.
func (t *task) checkpointSlot() *checkpoint {
	if t.step.spec.Gang {
		return &t.step.checkpoint
	}
	return &t.checkpoint
}

// continuesFrom returns the checkpoint that the task's next start carries.
func (t *task) continuesFrom() checkpoint { return *t.checkpointSlot() }
