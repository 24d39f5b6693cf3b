package dispatch

import (
	"testing"
	"time"

	"leverstile.dev/job"
)

// endRound starts all tasks that can start, ends each run with kind, and returns their number.
func endRound(core *Core, now *Instant, number *uint64, kind EndKind) int {
	now.Steady += 2 * maxAvoidPause // past all pauses after failures
	core.Schedule(*now)
	list := starts(core)
	var ended []EndedTask
	for _, o := range list {
		*number++
		ended = append(ended, EndedTask{Number: *number, Task: o.Task, Run: o.Run, Kind: kind})
	}
	core.PollDone(PollRequest{Worker: "w0"}, PollReply{ClockMS: 1000 + now.Steady.Milliseconds(), Ended: ended}, OutcomeOK, *now)
	return len(list)
}

// TestOnlyFailedRunsUseAttempts guards against attempts that are used up by runs that did not
// fail or by long-running tasks, and against a gang's failure that is counted once for each member.
func TestOnlyFailedRunsUseAttempts(t *testing.T) {
	const attempts = 2
	for name, c := range map[string]struct {
		kind     EndKind
		change   func(s *job.Step)
		failedBy int // the round after which the job has failed, 0 for never
	}{
		"failed":         {EndFailed, func(*job.Step) {}, attempts},
		"failed gang":    {EndFailed, func(s *job.Step) { s.Gang = true }, attempts},
		"failed lasting": {EndFailed, func(s *job.Step) { s.LongRunning = true }, 0},
		"done lasting":   {EndDone, func(s *job.Step) { s.LongRunning = true }, 0},
		"stopped":        {EndStopped, func(*job.Step) {}, 0},
		"lapsed":         {EndLapsed, func(*job.Step) {}, 0},
		"broken gang":    {EndBroken, func(s *job.Step) { s.Gang = true }, 0},
		"lonely gang":    {EndAlone, func(s *job.Step) { s.Gang = true }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			core, now := idleCore(t, 1)
			core.SetConfig(&job.Config{Version: 2, Queues: []job.Queue{{Name: "q", Service: "svc", MaxAttempts: attempts, Stretch: 2}}})
			spec := simpleJob(1, 2)
			c.change(&spec.Steps[0])
			core.AddJob(spec, nil, false, now)
			var number uint64
			for round := 1; round <= 3*attempts; round++ {
				over := c.failedBy > 0 && round > c.failedBy
				if n := endRound(core, &now, &number, c.kind); !over && n != 2 || over && n != 0 {
					t.Fatalf("round %d: %d starts", round, n)
				}
				failed := core.jobs[spec.ID].progress.State == job.Failed
				if want := c.failedBy > 0 && round >= c.failedBy; failed != want {
					t.Fatalf("round %d: failed %v, want %v", round, failed, want)
				}
			}
		})
	}
}

// TestGangRestartsIfMembersAreLostWithItsOwner: after a takeover that lost a member of a gang, the
// other members are stopped, and then all start under one new run.
func TestGangRestartsIfMembersAreLostWithItsOwner(t *testing.T) {
	now := Instant{Steady: time.Second}
	core := leasedCore(Params{RecoveryWait: 10 * time.Second}, 2, now)
	core.Recover([]RosterEntry{{ID: "w0", Address: "w0", VM: "m0"}, {ID: "gone", Address: "gone", VM: "m1"}}, now)
	spec := simpleJob(1, 3)
	spec.Steps[0].Gang = true
	core.AddJob(spec, nil, true, now)
	core.SetWorkers([]WorkerInfo{testWorkerInfo("w0", "m0")}, now)
	storeOpen(core, "w0")
	var rows []RunningTask
	for i := range 2 {
		rows = append(rows, RunningTask{Task: job.TaskID{Job: spec.ID, Index: i}, Run: 1<<runBits | 1, Percent: 10})
	}
	core.PollDone(core.PlanPoll("w0", now).Request, PollReply{ClockMS: 1000, Running: rows}, OutcomeOK, now)
	core.Tick(now)
	if started, stopped := ordersOf(core); started+stopped != 0 {
		t.Fatalf("%d starts and %d stops while the third member may run", started, stopped)
	}
	now.Steady += 11 * time.Second
	for range unreachedAfter {
		core.PollDone(core.PlanPoll("gone", now).Request, PollReply{}, OutcomeUnknown, now)
	}
	core.PollDone(core.PlanPoll("w0", now).Request, PollReply{ClockMS: 12_000, Running: rows}, OutcomeOK, now)
	core.Tick(now)
	if started, stopped := ordersOf(core); started != 0 || stopped != 2 {
		t.Fatalf("%d starts and %d stops once the third member is lost, want 2 stops", started, stopped)
	}
	var ended []EndedTask
	for i, row := range rows {
		ended = append(ended, EndedTask{Number: uint64(i + 1), Task: row.Task, Run: row.Run, Kind: EndStopped})
	}
	listEnds(core, "w0", 12_100, now, ended...)
	core.Schedule(now)
	list := starts(core)
	if len(list) != 3 || list[0].Run != list[1].Run || list[0].Run != list[2].Run || list[0].Run>>runBits != 2 {
		t.Errorf("starts of the new run: %+v", list)
	}
}

// TestGangWaitsWhileAMemberMayRun: no member starts while one may still run where the previous
// owner started it.
func TestGangWaitsWhileAMemberMayRun(t *testing.T) {
	now := Instant{Steady: time.Second}
	core := leasedCore(Params{RecoveryWait: 10 * time.Second}, 2, now)
	spec := simpleJob(1, 3)
	spec.Steps[0].Gang = true
	last := job.TaskID{Job: spec.ID, Index: 2}
	core.Recover([]RosterEntry{{ID: "w0", Address: "w0", VM: "m0"}, {ID: "gone", Address: "gone", VM: "m1", Closed: true, Tasks: []string{last.String()}}}, now)
	core.AddJob(spec, nil, true, now)
	core.SetWorkers([]WorkerInfo{testWorkerInfo("w0", "m0")}, now)
	storeOpen(core, "w0")
	core.PollDone(core.PlanPoll("w0", now).Request, PollReply{ClockMS: 1000}, OutcomeOK, now)
	core.Tick(now)
	if list := starts(core); len(list) > 0 {
		t.Errorf("%d members start while one may run elsewhere", len(list))
	}
	core.PollDone(core.PlanPoll("gone", now).Request, PollReply{ClockMS: 1000}, OutcomeOK, now)
	core.Tick(now)
	if list := starts(core); len(list) != 3 {
		t.Errorf("%d members start once none runs anywhere, want 3", len(list))
	}
}

// TestGangFailureUsesOneAttempt: a run in which one member fails uses one attempt, whichever it was.
func TestGangFailureUsesOneAttempt(t *testing.T) {
	core, now := idleCore(t, 1)
	core.SetConfig(&job.Config{Version: 2, Queues: []job.Queue{{Name: "q", Service: "svc", MaxAttempts: 2, Stretch: 2}}})
	spec := simpleJob(1, 2)
	spec.Steps[0].Gang = true
	core.AddJob(spec, nil, false, now)
	var number uint64
	for round := range 2 {
		if core.jobs[spec.ID].progress.State == job.Failed {
			t.Fatalf("failed after %d rounds", round)
		}
		now.Steady += 2 * maxAvoidPause
		core.Schedule(now)
		var ended []EndedTask
		for _, o := range starts(core) {
			number++
			kind := EndBroken
			if o.Task.Index == round {
				kind = EndFailed
			}
			ended = append(ended, EndedTask{Number: number, Task: o.Task, Run: o.Run, Kind: kind})
		}
		listEnds(core, "w0", 1000+now.Steady.Milliseconds(), now, ended...)
	}
	if state := core.jobs[spec.ID].progress.State; state != job.Failed {
		t.Errorf("the job is %s after its gang has failed twice", state)
	}
}
