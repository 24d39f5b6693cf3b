package dispatch

import (
	"testing"
	"time"
)

// livesCore returns a core that took over with a roster of these workers.
func livesCore(now Instant, roster ...RosterEntry) *Core {
	core := sureCore(Params{RecoveryWait: 10 * time.Second}, 2, now)
	core.Recover(roster, now)
	return core
}

func lifeInfo(id, vm string) WorkerInfo {
	return WorkerInfo{ID: WorkerID(id), VM: vm, Address: id, Service: "svc", CPUMilli: 16000, MemoryMiB: 64000}
}

// poll sends a poll and has it answered later.
func poll(core *Core, id WorkerID, sent, answered time.Duration) {
	order := core.PlanHold(id, Instant{Steady: sent}).Order
	core.HoldDone(order, HoldReply{ClockMS: answered.Milliseconds()}, OutcomeOK, Instant{Steady: answered})
}

// After upkeep or a crash the roster names a life that never answers; tasks that may have
// run there waited for ten seconds at each takeover.
func TestNextLifeOfAVMEndsTheOneBefore(t *testing.T) {
	now := Instant{Steady: time.Second}
	core := livesCore(now, RosterEntry{ID: "old", Address: "old", VM: "m1"}, RosterEntry{ID: "other", Address: "other", VM: "m2"})
	core.SetWorkers([]WorkerInfo{lifeInfo("new", "m1"), lifeInfo("other", "m2")}, now)
	core.AddJob(simpleJob(1, 1), nil, true, now)
	poll(core, "other", 1100*time.Millisecond, 1110*time.Millisecond)
	if n := core.Recovering(); n != 1 {
		t.Fatalf("waits for %d workers, want the old life", n)
	}
	poll(core, "new", 1100*time.Millisecond, 1110*time.Millisecond)
	if n := core.Recovering(); n != 0 {
		t.Fatalf("waits for %d workers after the new life has answered", n)
	}
}

// An answer that was on its way for long proves nothing of a life that was heard
// of meanwhile.
func TestLateAnswerDoesNotEndALaterLife(t *testing.T) {
	now := Instant{Steady: time.Second}
	core := livesCore(now)
	core.SetWorkers([]WorkerInfo{lifeInfo("first", "m1")}, now)
	order := core.PlanHold("first", Instant{Steady: 2 * time.Second}).Order
	core.SetWorkers([]WorkerInfo{lifeInfo("second", "m1")}, Instant{Steady: 3 * time.Second})
	poll(core, "second", 3100*time.Millisecond, 3110*time.Millisecond)
	core.HoldDone(order, HoldReply{ClockMS: 2000}, OutcomeOK, Instant{Steady: 4 * time.Second})
	if core.workers["second"] == nil {
		t.Fatal("the later life was given up")
	}
}

// A worker without tasks that is no longer listed stayed in the roster.
func TestUnlistedIdleWorkerLeavesTheRoster(t *testing.T) {
	now := Instant{Steady: time.Second}
	core := livesCore(now)
	core.SetWorkers([]WorkerInfo{lifeInfo("w1", "m1"), lifeInfo("w2", "m2")}, now)
	parts, err := core.Roster(1)
	if err != nil {
		t.Fatal(err)
	}
	poll(core, "w1", now.Steady, now.Steady+time.Millisecond)
	core.SetWorkers([]WorkerInfo{lifeInfo("w2", "m2")}, now)
	core.RosterStored(parts) // the write that was under way still names it
	if !core.RosterStale() {
		t.Error("the roster is not written again")
	}
	if list := rosterOf(t, core); len(list) != 1 || list[0].ID != "w2" {
		t.Errorf("the roster holds %v", list)
	}
	if core.RosterStale() {
		t.Error("the roster is written for ever")
	}
}
