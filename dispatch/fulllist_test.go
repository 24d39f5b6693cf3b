package dispatch

import (
	"testing"
	"time"

	"leverstile.dev/job"
)

// fullEnds returns as many ends as an answer can carry, of a job that is not known.
func fullEnds() []EndedTask {
	ends := make([]EndedTask, maxEndsListed)
	for i := range ends {
		ends[i] = EndedTask{Number: uint64(i + 1), Task: job.TaskID{Job: "00000000000000ff", Index: i}, Run: 1<<runBits | uint64(i+1), Kind: EndDone}
	}
	return ends
}

// A new owner must not restart a task whose end may not have fitted in the worker's first answer.
//
// While the store is unavailable for some seconds, no end is acknowledged, and short tasks leave
// more than 500 ends at one worker. The next owner reads the first 500 and an empty list of runs;
// it would start a task again whose done end is acknowledged afterwards.
func TestFullAnswerAtTakeoverProvesNothing(t *testing.T) {
	now := Instant{Steady: time.Second}
	core := recoveredCore(now, RosterEntry{ID: "w1", Address: "w1", VM: "m1"})
	core.SetWorkers([]WorkerInfo{testWorkerInfo("w1", "m1"), testWorkerInfo("w2", "m2")}, now)
	rosterOf(t, core)
	poll(core, "w2", now.Steady, now.Steady+time.Millisecond)
	spec := simpleJob(1, 1)
	core.AddJob(spec, nil, true, now)
	order := core.PlanPoll("w1", now).Request
	core.PollDone(order, PollReply{ClockMS: 1000, Ended: fullEnds()}, OutcomeOK, now)
	now.Steady += 10 * time.Millisecond
	core.Tick(now)
	if n := len(starts(core)); n != 0 {
		t.Errorf("%d starts of a task whose end may be the 501st", n)
	}
	order = core.PlanPoll("w1", now).Request
	end := EndedTask{Number: maxEndsListed + 1, Task: job.TaskID{Job: spec.ID}, Run: 1<<runBits | 1, Kind: EndDone}
	core.PollDone(order, PollReply{ClockMS: 1100, Ended: []EndedTask{end}}, OutcomeOK, now)
	core.Tick(now)
	if n := len(starts(core)); n != 0 {
		t.Errorf("%d starts of a task that is done", n)
	}
}

// An answer whose lists are not processed, since a later reading of the worker's clock is known,
// does not count as having read them.
func TestAnswerWithOlderClockIsNotRead(t *testing.T) {
	core, now := idleCore(t, 1)
	w := core.workers["w0"]
	core.releaseAllLost(w, "its leases are over", now)
	core.PollDone(core.PlanPoll("w0", now).Request, PollReply{ClockMS: w.clock - 1}, OutcomeOK, now)
	if w.synced {
		t.Error("lists that were not processed count as read")
	}
	core.PollDone(core.PlanPoll("w0", now).Request, PollReply{ClockMS: w.clock + 1}, OutcomeOK, now)
	if !w.synced {
		t.Error("lists that were processed don't count as read")
	}
}
