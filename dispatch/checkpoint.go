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

// noteCheckpoint takes in a checkpoint that a worker told. That of any member is good
// for its gang.
func (t *task) noteCheckpoint(c checkpoint) {
	t.checkpoint = c
	t.step.checkpoint = c
}

// continuesFrom returns the checkpoint that the task's next start brings.
func (t *task) continuesFrom() checkpoint {
	if t.step.spec.Gang {
		return t.step.checkpoint
	}
	return t.checkpoint
}
