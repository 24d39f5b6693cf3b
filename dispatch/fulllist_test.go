package dispatch

import (
	"testing"
	"time"

	"leverstile.dev/job"
)

// fullEnds are as many ends as an answer holds, of a job that is not known.
func fullEnds() []EndedTask {
	ends := make([]EndedTask, maxEndsListed)
	for i := range ends {
		ends[i] = EndedTask{Number: uint64(i + 1), Task: job.TaskID{Job: "00000000000000ff", Index: i}, Run: 1<<runBits | uint64(i+1), Kind: EndDone}
	}
	return ends
}

// TestFullAnswerAtTakeoverProvesNothing: a new owner starts no task again whose end
// may have had no room in the worker's first answer.
//
// Users would see a task start after a run of it that had ended done, and whose end
// is acknowledged afterwards: the store was away for some seconds, so that no end
// was acknowledged, and short tasks left more than 500 at one worker. The next owner
// reads the first 500 and an empty list of what runs.
func TestFullAnswerAtTakeoverProvesNothing(t *testing.T) {
	now := Instant{Steady: time.Second}
	core := livesCore(now, RosterEntry{ID: "w1", Address: "w1", VM: "m1"})
	core.SetWorkers([]WorkerInfo{lifeInfo("w1", "m1"), lifeInfo("w2", "m2")}, now)
	rosterOf(t, core)
	poll(core, "w2", now.Steady, now.Steady+time.Millisecond)
	spec := simpleJob(1, 1)
	core.AddJob(spec, nil, true, now)
	order := core.PlanHold("w1", now).Order
	core.HoldDone(order, HoldReply{ClockMS: 1000, Ended: fullEnds()}, OutcomeOK, now)
	now.Steady += 10 * time.Millisecond
	core.Tick(now)
	if n := len(starts(core)); n != 0 {
		t.Errorf("%d starts of a task whose end may be the 501st", n)
	}
	order = core.PlanHold("w1", now).Order
	end := EndedTask{Number: maxEndsListed + 1, Task: job.TaskID{Job: spec.ID}, Run: 1<<runBits | 1, Kind: EndDone}
	core.HoldDone(order, HoldReply{ClockMS: 1100, Ended: []EndedTask{end}}, OutcomeOK, now)
	core.Tick(now)
	if n := len(starts(core)); n != 0 {
		t.Errorf("%d starts of a task that is done", n)
	}
}

// TestAnswerOfTheLeasesBeforeIsNoNewList: an answer whose lists are not taken in, since
// the worker's clock was heard to be later, does not count as having read them.
func TestAnswerOfTheLeasesBeforeIsNoNewList(t *testing.T) {
	core, now := idleCore(t, 1)
	w := core.workers["w0"]
	core.lose(w, "its leases are over", now)
	core.HoldDone(core.PlanHold("w0", now).Order, HoldReply{ClockMS: w.clock - 1}, OutcomeOK, now)
	if w.synced {
		t.Error("lists that were not read count as read")
	}
	core.HoldDone(core.PlanHold("w0", now).Order, HoldReply{ClockMS: w.clock + 1}, OutcomeOK, now)
	if !w.synced {
		t.Error("lists that were read don't count")
	}
}
