package dispatch

import (
	"testing"
	"time"
)

// TestLeasesEndBeforeTheNextOwnerOfAnEndedOneStarts guards against a second run beside one whose
// lease still lasts: an owner that knows that its predecessor has ended waits only for the leases
// that it gave last. The worker's clock runs 2% slow and was last read up to a minute before.
func TestLeasesEndBeforeTheNextOwnerOfAnEndedOneStarts(t *testing.T) {
	for _, idle := range []time.Duration{0, time.Second, 10 * time.Second, 55 * time.Second} {
		params := Params{MaxTaskLease: 6 * time.Second, RecoveryWait: time.Minute}
		core := leasedCore(params, 1, Instant{Steady: time.Second})
		clockAt := func(at time.Duration) int64 { return int64(float64(at.Milliseconds()) * clockRate) }
		now := Instant{Steady: 2 * time.Second}
		core.SetWorkers([]WorkerInfo{testWorkerInfo("w1", "m1")}, now)
		storeOpen(core, "w1")
		core.PollDone(core.PlanPoll("w1", now).Request, PollReply{ClockMS: clockAt(now.Steady)}, OutcomeOK, now)
		now.Steady += idle
		core.AddJob(simpleJob(1, 1), nil, false, now)
		core.Schedule(now)
		deadline := core.PlanPoll("w1", now).Request.DeadlineMS
		if deadline == 0 {
			t.Fatalf("idle for %v: the poll gives no lease", idle)
		}
		lasts := time.Duration(float64(deadline-clockAt(now.Steady))/clockRate) * time.Millisecond
		if wait := EndedOwnerWaitFor(params); lasts > wait {
			t.Errorf("idle for %v: the lease lasts %v, the next owner waits %v", idle, lasts, wait)
		}
	}
}

// TestEndedOwnerWaitIsForIncarnationsWithIDsOfTheirOwn guards against a second run beside one at
// the next incarnation of a worker's id, which may have taken a lease of 6 s from a call meant for
// the previous one.
func TestEndedOwnerWaitIsForIncarnationsWithIDsOfTheirOwn(t *testing.T) {
	const full, short = 10 * time.Second, 5 * time.Second
	for id, wait := range map[WorkerID]time.Duration{"w1": short, IncarnationID("w1", 77): full} {
		now := Instant{Steady: time.Second}
		core := leasedCore(Params{RecoveryWait: full, EndedOwnerWait: short}, 2, now)
		core.Recover([]RosterEntry{{ID: id, Address: "a"}}, now)
		if until := core.unresolved[id].until; until != now.Steady+wait {
			t.Errorf("%s: awaited for %v, want %v", id, until-now.Steady, wait)
		}
	}
}

// TestRestartedPredecessorLeavesOneLease guards against a wait for what a predecessor may extend whose
// process has ended, and against a shorter one at workers that may restart under their ids.
func TestRestartedPredecessorLeavesOneLease(t *testing.T) {
	now := Instant{Steady: time.Second}
	core := leasedCore(Params{RecoveryWait: 10 * time.Second}, 2, now)
	restartable := IncarnationID("w2", 77)
	core.Recover([]RosterEntry{{ID: "w1", Address: "a"}, {ID: restartable, Address: "b"}}, now)
	now.Steady += 2 * time.Second
	core.PredecessorRestarted(now)
	for id, want := range map[WorkerID]time.Duration{
		"w1":        now.Steady + EndedOwnerWaitFor(core.params),
		restartable: time.Second + core.params.RecoveryWait,
	} {
		if until := core.unresolved[id].until; until != want {
			t.Errorf("%s is awaited until %v, want %v", id, until, want)
		}
	}
}
