package dispatch

import "fmt"

// checkpoint is what a task can continue from, and where the owner learnt of it.
type checkpoint struct {
	text string
	// run saved it, as told by worker: in its list of ends if end is that end's number,
	// else in its list of what runs, at clock on the worker's clock.
	run    uint64
	worker WorkerID
	end    uint64
	clock  int64
}

// mostCheckpointLogged bounds the bytes of a checkpoint in a log line.
const mostCheckpointLogged = 64

// String tells the checkpoint and its origin, for the log.
func (c checkpoint) String() string {
	if c.text == "" {
		return ""
	}
	text := c.text
	if len(text) > mostCheckpointLogged {
		text = text[:mostCheckpointLogged]
	}
	from := fmt.Sprintf("list of clock %d", c.clock)
	if c.end > 0 {
		from = fmt.Sprintf("end %d", c.end)
	}
	return fmt.Sprintf("checkpoint %q of run %d, told by %s in %s", text, c.run, c.worker, from)
}

// startedRun names a start that this owner ordered.
type startedRun struct {
	run    uint64
	worker WorkerID
}

// noteCheckpoint takes in a checkpoint that a worker told of a task, unless it does not
// count; then it returns why. An older run's does not replace that of a newer one, since
// ends may be told late and in any order.
func (c *Core) noteCheckpoint(t *task, told checkpoint) (ignored string) {
	kept := t.keptCheckpoint()
	switch {
	case !t.step.spec.Checkpoints:
		return "its step keeps none"
	case !c.mayHaveSaved(t, told):
		return "its run is not one that was ordered there"
	case told.run < kept.run:
		return "a newer run has saved one"
	}
	*kept = told
	return ""
}

// mayHaveSaved reports whether a run at a worker may be one of the task's. Of this owner's
// starts only the newest counts; which ones earlier owners ordered is not known.
func (c *Core) mayHaveSaved(t *task, told checkpoint) bool {
	if told.run>>runBits < c.term {
		return true
	}
	return t.lastStart == startedRun{told.run, told.worker}
}

// keptCheckpoint returns where the task's checkpoint is kept. That of any member is good
// for its gang, and all members must bring the same one.
func (t *task) keptCheckpoint() *checkpoint {
	if t.step.spec.Gang {
		return &t.step.checkpoint
	}
	return &t.checkpoint
}

// continuesFrom returns the checkpoint that the task's next start brings.
func (t *task) continuesFrom() checkpoint { return *t.keptCheckpoint() }
