package dispatch

import (
	"testing"
	"time"

	"leverstile.dev/job"
)

// TestEndsAfterTakeoverKeepNewestCheckpoint: a start carries the checkpoint of the newest run that
// reported one, in whichever order workers report. After a takeover, workers list ends, also of
// several runs of one task, that the previous owner had processed and not yet acknowledged.
func TestEndsAfterTakeoverKeepNewestCheckpoint(t *testing.T) {
	core, now := idleCore(t, 2)
	core.term = 3
	for _, w := range core.workers {
		w.synced = false // not read yet under this term
	}
	spec := simpleJob(1, 1)
	spec.Steps[0].Checkpoints = true
	core.AddJob(spec, nil, false, now)
	id := job.TaskID{Job: spec.ID}
	for i, reported := range []struct {
		run  uint64
		text string
	}{{2<<runBits | 1, "newer"}, {1<<runBits | 1, "older"}} {
		now.Steady += 10 * time.Millisecond
		core.PollDone(PollRequest{Worker: core.sortedWorkers[i].info.ID}, PollReply{ClockMS: 1006, Ended: []EndedTask{
			{Number: 1, Task: id, Run: reported.run, Kind: EndStopped, Checkpoint: reported.text},
		}}, OutcomeOK, now)
	}
	core.Schedule(now)
	orders := starts(core)
	if len(orders) != 1 || orders[0].Checkpoint != "newer" {
		t.Errorf("the starts are %+v", orders)
	}
}
