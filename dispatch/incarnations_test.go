package dispatch

import (
	"testing"
	"time"
)

// recoveredCore returns a core that has taken over with a roster of these workers.
func recoveredCore(now Instant, roster ...RosterEntry) *Core {
	core := leasedCore(Params{RecoveryWait: 10 * time.Second}, 2, now)
	core.Recover(roster, now)
	return core
}

func testWorkerInfo(id, vm string) WorkerInfo {
	return WorkerInfo{ID: WorkerID(id), VM: vm, Address: id, Service: "svc", CPUMilli: 16000, MemoryMiB: 64000}
}

// poll sends a poll and delivers its reply later.
func poll(core *Core, id WorkerID, sent, answered time.Duration) {
	order := core.PlanPoll(id, Instant{Steady: sent}).Request
	core.PollDone(order, PollReply{ClockMS: answered.Milliseconds()}, OutcomeOK, Instant{Steady: answered})
}

// TestNextIncarnationOnAVMEndsThePreviousOne: after maintenance or a crash the roster names an
// incarnation that never answers. Tasks that may have run there must not wait for RecoveryWait at
// each takeover once the next incarnation on the VM answers.
func TestNextIncarnationOnAVMEndsThePreviousOne(t *testing.T) {
	now := Instant{Steady: time.Second}
	core := recoveredCore(now, RosterEntry{ID: "old", Address: "old", VM: "m1"}, RosterEntry{ID: "other", Address: "other", VM: "m2"})
	core.SetWorkers([]WorkerInfo{testWorkerInfo("new", "m1"), testWorkerInfo("other", "m2")}, now)
	core.AddJob(simpleJob(1, 1), nil, true, now)
	poll(core, "other", 1100*time.Millisecond, 1110*time.Millisecond)
	if n := core.Recovering(); n != 1 {
		t.Fatalf("waits for %d workers, want the old incarnation", n)
	}
	poll(core, "new", 1100*time.Millisecond, 1110*time.Millisecond)
	if n := core.Recovering(); n != 0 {
		t.Fatalf("waits for %d workers after the new incarnation has answered", n)
	}
}

// TestLateAnswerDoesNotEndALaterIncarnation: an answer that was delayed for long proves nothing
// about an incarnation that became known meanwhile.
func TestLateAnswerDoesNotEndALaterIncarnation(t *testing.T) {
	now := Instant{Steady: time.Second}
	core := recoveredCore(now)
	core.SetWorkers([]WorkerInfo{testWorkerInfo("first", "m1")}, now)
	order := core.PlanPoll("first", Instant{Steady: 2 * time.Second}).Request
	core.SetWorkers([]WorkerInfo{testWorkerInfo("second", "m1")}, Instant{Steady: 3 * time.Second})
	poll(core, "second", 3100*time.Millisecond, 3110*time.Millisecond)
	core.PollDone(order, PollReply{ClockMS: 2000}, OutcomeOK, Instant{Steady: 4 * time.Second})
	if core.workers["second"] == nil {
		t.Fatal("the later incarnation was given up")
	}
}

// TestUnlistedIdleWorkerLeavesTheRoster: a worker without tasks that is no longer listed must be
// removed from the roster, even if a write that names it was in progress.
func TestUnlistedIdleWorkerLeavesTheRoster(t *testing.T) {
	now := Instant{Steady: time.Second}
	core := recoveredCore(now)
	core.SetWorkers([]WorkerInfo{testWorkerInfo("w1", "m1"), testWorkerInfo("w2", "m2")}, now)
	parts, err := core.Roster(1)
	if err != nil {
		t.Fatal(err)
	}
	poll(core, "w1", now.Steady, now.Steady+time.Millisecond)
	core.SetWorkers([]WorkerInfo{testWorkerInfo("w2", "m2")}, now)
	core.RosterStored(parts) // the write that was in progress still names it
	if !core.RosterStale() {
		t.Error("the roster is not written again")
	}
	if list := rosterOf(t, core); len(list) != 1 || list[0].ID != "w2" {
		t.Errorf("the roster holds %v", list)
	}
	if core.RosterStale() {
		t.Error("the roster is written forever")
	}
}
