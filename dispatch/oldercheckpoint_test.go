package dispatch

import (
	"testing"
	"time"

	"leverstile.dev/job"
)

// TestOlderRunsCheckpointReplacesNone: a start brings the checkpoint of the newest run that
// told one, in whichever order workers tell of the runs.
//
// After a takeover workers list ends that the previous owner had taken in and not yet
// acknowledged, also of several runs of one task.
func TestOlderRunsCheckpointReplacesNone(t *testing.T) {
	core, now := idleCore(t, 2)
	core.term = 3
	for _, w := range core.workers {
		w.synced = false // not read yet under this term
	}
	spec := simpleJob(1, 1)
	spec.Steps[0].Checkpoints = true
	core.AddJob(spec, nil, false, now)
	id := job.TaskID{Job: spec.ID}
	for i, told := range []struct {
		run  uint64
		text string
	}{{2<<runBits | 1, "newer"}, {1<<runBits | 1, "older"}} {
		now.Steady += 10 * time.Millisecond
		core.HoldDone(HoldOrder{Worker: core.order[i].info.ID}, HoldReply{ClockMS: 1006, Ended: []EndedTask{
			{Number: 1, Task: id, Run: told.run, Kind: EndStopped, Checkpoint: told.text},
		}}, OutcomeOK, now)
	}
	core.Schedule(now)
	orders := starts(core)
	if len(orders) != 1 || orders[0].Checkpoint != "newer" {
		t.Errorf("the starts are %+v", orders)
	}
}
