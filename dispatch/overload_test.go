package dispatch

import (
	"testing"
	"time"
)

// TestOverloadShedsWorkInOrder checks that a late owner gives up readings first, then starts of
// fill tasks, then all starts, but never leases and stops, and that it resumes them once it is on
// time again.
func TestOverloadShedsWorkInOrder(t *testing.T) {
	for _, x := range []struct {
		late           time.Duration
		wait           time.Duration
		starts, filled bool
	}{
		{0, pollWaitWatched, true, true},
		{lateFewReadings, pollWaitDefault, true, true},
		{lateNoFills, pollWaitDefault, true, false},
		{lateNoStarts, pollWaitDefault, false, false},
		{time.Minute, pollWaitDefault, false, false},
	} {
		core, now := idleCore(t, 1)
		serving := longRunningJob(1, 2)
		serving.Steps[0].TargetMS, serving.Steps[0].Image = 50, "serve"
		filling := simpleJob(2, 2)
		filling.Steps[0].Fills, filling.Steps[0].CPUMilli = true, 100
		core.AddJob(serving, nil, false, now)
		core.AddJob(filling, nil, false, now)
		core.Schedule(now)
		var running []RunningTask
		for _, o := range starts(core) {
			core.OrderDone(o, Answer{ClockMS: 1001}, now)
			running = append(running, RunningTask{Task: o.Task, Run: o.Run, Percent: fullPace})
		}
		busy := core.jobs[serving.ID].steps[0].tasks[0].attempt.worker.info.ID
		core.PollDone(core.PlanPoll(busy, now).Request, PollReply{ClockMS: 1001, Running: running}, OutcomeOK, now)

		core.ObserveLateness(x.late, now)
		for id := 3; id <= 4; id++ {
			spec := simpleJob(id, 1)
			spec.Steps[0].Fills, spec.Steps[0].CPUMilli = id == 4, 100
			core.AddJob(spec, nil, false, now)
		}
		core.Schedule(now)
		started := map[string]bool{}
		for _, o := range starts(core) {
			started[o.Task.Job] = true
		}
		if started[simpleJob(3, 1).ID] != x.starts || started[simpleJob(4, 1).ID] != x.filled {
			t.Errorf("%v late: started %v", x.late, started)
		}
		plan := core.PlanPoll(busy, now)
		if !plan.Send || plan.Request.DeadlineMS == 0 || plan.Request.Wait != x.wait {
			t.Errorf("owner %v late: poll %+v, want a lease and a wait of %v", x.late, plan, x.wait)
		}
		core.Cancel(serving.ID, now)
		if orders := core.TakeOrders(); len(orders) != 2 || orders[0].Kind != OrderStop {
			t.Errorf("owner %v late: %d orders after a cancellation, want two stops", x.late, len(orders))
		}
		for range 20 {
			core.ObserveLateness(0, now)
		}
		if load, _ := core.Load(); load != LoadNormal {
			t.Errorf("owner %v late: load is %v after two seconds on time", x.late, load)
		}
	}
}

// TestLateOwnerDoesNotRestartTasksOfSilentWorkers guards against a late owner that takes a worker's
// leases for expired and starts its tasks again before it has read the list with their ends.
func TestLateOwnerDoesNotRestartTasksOfSilentWorkers(t *testing.T) {
	core, now := idleCore(t, 2)
	core.AddJob(simpleJob(1, 1), nil, false, now)
	core.Schedule(now)
	order := starts(core)[0]
	core.OrderDone(order, Answer{ClockMS: 1001}, now)
	fail := func() {
		plan := core.PlanPoll(order.Worker, now)
		now.Steady += time.Second
		core.PollDone(plan.Request, PollReply{}, OutcomeUnknown, now)
	}
	fail()
	now.Steady += 10 * time.Second // all leases have expired
	core.ObserveLateness(time.Second, now)
	core.Tick(now)
	if n := len(starts(core)); n > 0 {
		t.Fatal("an owner that was late itself started the task again")
	}
	core.ObserveLateness(0, now)
	core.Tick(now)
	if n := len(starts(core)); n > 0 {
		t.Fatal("the task was started again before the worker was polled once more")
	}
	now.Steady += 10 * time.Millisecond
	fail()
	for range 20 {
		core.ObserveLateness(0, now)
	}
	core.Tick(now)
	if n := len(starts(core)); n != 1 {
		t.Fatalf("%d starts after the worker did not answer in time", n)
	}
}

// TestLateOwnerWaitsForThePreviousOwnersWorkers checks the same after a takeover.
func TestLateOwnerWaitsForThePreviousOwnersWorkers(t *testing.T) {
	now := Instant{Steady: time.Second}
	core := recoveredCore(now, RosterEntry{ID: "w1", Address: "w1"})
	plan := core.PlanPoll("w1", now)
	core.PollDone(plan.Request, PollReply{}, OutcomeUnknown, now)
	now.Steady += 11 * time.Second
	core.ObserveLateness(time.Second, now)
	core.Tick(now)
	if core.Recovering() != 1 {
		t.Fatal("a late owner takes a worker's leases for expired")
	}
	now.Steady += time.Second
	plan = core.PlanPoll("w1", now)
	core.PollDone(plan.Request, PollReply{}, OutcomeUnknown, now)
	core.ObserveLateness(0, now)
	core.Tick(now)
	if core.Recovering() != 0 {
		t.Fatal("the owner still waits after the worker did not answer in time")
	}
}

// TestOwnerThatReachesFewWorkersRestartsNothing checks that an owner for which most workers are
// silent at once blames its own network link: the workers' ends wait there to be read.
func TestOwnerThatReachesFewWorkersRestartsNothing(t *testing.T) {
	for silent := 1; silent <= 4; silent++ {
		core, now := idleCore(t, 4)
		spec := simpleJob(1, 4)
		spec.Steps[0].MaxPerWorker = 1
		core.AddJob(spec, nil, false, now)
		core.Schedule(now)
		for _, o := range starts(core) {
			core.OrderDone(o, Answer{ClockMS: 1001}, now)
		}
		core.jobs[spec.ID].steps[0].spec.MaxPerWorker = 0
		for range 10 { // until all leases of the silent workers have expired
			now.Steady += time.Second
			for i, id := range core.Workers() {
				w := core.workers[id]
				plan := core.PlanPoll(id, now)
				reply, outcome := PollReply{ClockMS: w.clockNow(now)}, OutcomeOK
				for _, a := range w.attempts {
					reply.Running = append(reply.Running, RunningTask{Task: a.task.id(), Run: a.run})
				}
				if i < silent {
					reply, outcome = PollReply{}, OutcomeUnknown
				}
				core.PollDone(plan.Request, reply, outcome, now)
			}
		}
		core.Tick(now)
		want := 0
		if silent <= 2 { // at least half of the other workers are reachable
			want = silent
		}
		if n := len(starts(core)); n != want {
			t.Errorf("%d of 4 workers silent: %d tasks started again, want %d", silent, n, want)
		}
	}
}

// TestUnsentOrderIsPlannedAgain checks that an order that was not sent may go to another worker at
// once.
func TestUnsentOrderIsPlannedAgain(t *testing.T) {
	core, now := idleCore(t, 2)
	core.AddJob(simpleJob(1, 1), nil, false, now)
	core.Schedule(now)
	o := starts(core)[0]
	core.OrderDone(o, Answer{Outcome: OutcomeNotSent}, now)
	if w := core.workers[o.Worker]; w.unansweredCalls != 0 || !(core.exclusionOf(w, now) == exclusionNone) {
		t.Error("the worker is blamed for an order that was not sent")
	}
	core.Schedule(now)
	again := starts(core)
	if len(again) != 1 || again[0].Run <= o.Run {
		t.Errorf("orders %v, want a start with a new run number", again)
	}
}
