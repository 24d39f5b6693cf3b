package dispatch

import (
	"testing"
	"time"
)

// TestOverloadGivesUpInOrder: readings first, then fills, then all starts;
// leases and stops never. It comes back when the owner is on time again.
func TestOverloadGivesUpInOrder(t *testing.T) {
	for _, x := range []struct {
		late           time.Duration
		wait           time.Duration
		starts, filled bool
	}{
		{0, holdWaitWatched, true, true},
		{lateFewReadings, holdWait, true, true},
		{lateNoFills, holdWait, true, false},
		{lateNoStarts, holdWait, false, false},
		{time.Minute, holdWait, false, false},
	} {
		core, now := idleCore(t, 1)
		serving := lastingJob(1, 2)
		serving.Steps[0].TargetMS, serving.Steps[0].Image = 50, "serve"
		filling := simpleJob(2, 2)
		filling.Steps[0].Fills, filling.Steps[0].CPUMilli = true, 100
		core.AddJob(serving, nil, false, now)
		core.AddJob(filling, nil, false, now)
		core.Schedule(now)
		for _, o := range starts(core) {
			core.OrderDone(o, Answer{ClockMS: 1001}, now)
		}
		busy := core.jobs[serving.ID].steps[0].tasks[0].attempt.worker.info.ID

		core.Late(x.late, now)
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
		plan := core.PlanHold(busy, now)
		if !plan.Send || plan.Order.DeadlineMS == 0 || plan.Order.Wait != x.wait {
			t.Errorf("%v late: poll %+v, want a lease and a wait of %v", x.late, plan, x.wait)
		}
		core.Cancel(serving.ID, now)
		if orders := core.TakeOrders(); len(orders) != 2 || orders[0].Kind != OrderStop {
			t.Errorf("%v late: %d orders after a cancellation, want two stops", x.late, len(orders))
		}
		for range 20 {
			core.Late(0, now)
		}
		if load, _ := core.Load(); load != LoadNormal {
			t.Errorf("%v late: %v after two seconds on time", x.late, load)
		}
	}
}

// TestLateOwnerConcludesNothingFromSilence: a late owner took a worker's leases
// for over and started its tasks again, before it came to read the list that
// told their ends (found by: trouble-1 and trouble-2 of the 490-worker site;
// TWICE).
func TestLateOwnerConcludesNothingFromSilence(t *testing.T) {
	core, now := idleCore(t, 2)
	core.AddJob(simpleJob(1, 1), nil, false, now)
	core.Schedule(now)
	order := starts(core)[0]
	core.OrderDone(order, Answer{ClockMS: 1001}, now)
	fail := func() {
		plan := core.PlanHold(order.Worker, now)
		now.Steady += time.Second
		core.HoldDone(plan.Order, HoldReply{}, OutcomeUnknown, now)
	}
	fail()
	now.Steady += 10 * time.Second // all leases are over
	core.Late(time.Second, now)
	core.Tick(now)
	if n := len(starts(core)); n > 0 {
		t.Fatal("started again by an owner that was late itself")
	}
	core.Late(0, now)
	core.Tick(now)
	if n := len(starts(core)); n > 0 {
		t.Fatal("started again before the worker was asked once more")
	}
	now.Steady += 10 * time.Millisecond
	fail()
	for range 20 {
		core.Late(0, now)
	}
	core.Tick(now)
	if n := len(starts(core)); n != 1 {
		t.Fatalf("%d starts after the worker did not answer in time", n)
	}
}

// TestLateOwnerWaitsForThePreviousOnesWorkers: the same at a takeover.
func TestLateOwnerWaitsForThePreviousOnesWorkers(t *testing.T) {
	now := Instant{Steady: time.Second}
	core := livesCore(now, RosterEntry{ID: "w1", Address: "w1"})
	plan := core.PlanHold("w1", now)
	core.HoldDone(plan.Order, HoldReply{}, OutcomeUnknown, now)
	now.Steady += 11 * time.Second
	core.Late(time.Second, now)
	core.Tick(now)
	if core.Recovering() != 1 {
		t.Fatal("a late owner takes a worker's leases for over")
	}
	now.Steady += time.Second
	plan = core.PlanHold("w1", now)
	core.HoldDone(plan.Order, HoldReply{}, OutcomeUnknown, now)
	core.Late(0, now)
	core.Tick(now)
	if core.Recovering() != 0 {
		t.Fatal("it waits on after the worker did not answer in time")
	}
}
