package dispatch

import (
	"testing"
	"time"

	"leverstile.dev/job"
)

// A worker whose answers were all full, and whose leases the new owner has extended, must not be
// resolved by one unanswered poll once the previous owner's leases have expired. This happens if
// the store is slow for longer than the recovery, so that the first 500 ends stay unacknowledged;
// a task whose done end is acknowledged shortly afterwards would start again.
func TestPartlyReadWorkerStaysUnresolvedUntilLeasesExpire(t *testing.T) {
	now := Instant{Steady: time.Second}
	core := recoveredCore(now, RosterEntry{ID: "w1", Address: "w1", VM: "m1"})
	core.params.TaskLease = 3 * time.Second
	core.SetWorkers([]WorkerInfo{testWorkerInfo("w1", "m1"), testWorkerInfo("w2", "m2")}, now)
	rosterOf(t, core)
	spec := simpleJob(1, 1)
	core.AddJob(spec, nil, true, now)
	var lease int64
	for ; now.Steady < 11*time.Second; now.Steady += 500 * time.Millisecond {
		poll(core, "w2", now.Steady, now.Steady+time.Millisecond)
		order := core.PlanPoll("w1", now).Request
		lease = max(lease, order.DeadlineMS)
		core.PollDone(order, PollReply{ClockMS: now.Steady.Milliseconds(), Ended: fullEnds()}, OutcomeOK, now)
		core.Tick(now)
	}
	if n := len(starts(core)); n != 0 || core.Recovering() == 0 {
		t.Fatalf("%d starts, %d workers unresolved", n, core.Recovering())
	}
	order := core.PlanPoll("w1", now).Request
	lease = max(lease, order.DeadlineMS)
	now.Steady += 600 * time.Millisecond
	poll(core, "w2", now.Steady, now.Steady+time.Millisecond)
	core.PollDone(order, PollReply{}, OutcomeUnknown, now)
	core.Tick(now)
	core.Schedule(now)
	if n := len(starts(core)); n != 0 {
		t.Errorf("%d starts at %v of a task whose end may be the 501st at a worker with leases to its clock %d", n, now.Steady, lease)
	}
	order = core.PlanPoll("w1", now).Request
	end := EndedTask{Number: maxEndsListed + 1, Task: job.TaskID{Job: spec.ID}, Run: 1<<runBits | 1, Kind: EndDone}
	core.PollDone(order, PollReply{ClockMS: now.Steady.Milliseconds() + 5, Ended: []EndedTask{end}}, OutcomeOK, now)
	if !t.Failed() && core.Recovering() != 0 {
		t.Error("a worker whose lists were read completely is unresolved")
	}
}
