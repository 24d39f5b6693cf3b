package dispatch

import (
	"testing"
	"time"
)

// A run that is to stop, and that no list shows, is given up in bounded time even if the worker
// answers polls slowly and stops at once. Otherwise a cancelled task's capacity stays in use, and
// a moved task waits, for as long as the worker's lists take more than half a second.
func TestStoppedRunIsGivenUpInTime(t *testing.T) {
	for _, takes := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, 550 * time.Millisecond} {
		if at := stoppedRunGone(t, takes); at > 5*time.Second {
			t.Errorf("polls that take %v: given up after %v (30 s is never)", takes, at)
		}
	}
}

// stoppedRunGone returns how long a stopped run that does not exist occupies its task, if each
// poll takes the given time and stops are answered in 5 ms.
func stoppedRunGone(t *testing.T, takes time.Duration) time.Duration {
	t.Helper()
	now := Instant{Steady: time.Second}
	core := recoveredCore(now)
	core.SetWorkers([]WorkerInfo{testWorkerInfo("w1", "m1")}, now)
	rosterOf(t, core)
	poll(core, "w1", now.Steady, now.Steady+time.Millisecond)
	core.AddJob(simpleJob(1, 1), nil, false, now)
	now.Steady += 5 * time.Millisecond
	core.Tick(now)
	core.Schedule(now)
	if n := len(starts(core)); n != 1 {
		t.Fatalf("%d starts", n)
	}
	w := core.workers["w1"]
	a := w.attempts[0]
	core.OrderDone(Order{Kind: OrderStart, Worker: "w1", Task: a.task.id(), Run: a.run}, Answer{Outcome: OutcomeUnknown}, now)
	core.stop(a, "test", now)
	began := now.Steady
	var due time.Duration
	var sent PollRequest
	for ; now.Steady-began < 30*time.Second; now.Steady += 5 * time.Millisecond {
		core.Renewed(now.Steady)
		if due > 0 && now.Steady >= due {
			due = 0
			core.PollDone(sent, PollReply{ClockMS: now.Steady.Milliseconds()}, OutcomeOK, now)
		}
		if len(w.attempts) == 0 || w.attempts[0] != a {
			return now.Steady - began
		}
		if due == 0 {
			plan := core.PlanPoll("w1", now)
			sent, due = plan.Request, now.Steady+max(takes, plan.Request.Wait)
		}
		if (now.Steady-began)%(100*time.Millisecond) == 0 {
			core.Tick(now)
		}
		for _, o := range core.TakeOrders() {
			if o.Kind == OrderStop {
				core.OrderDone(o, Answer{Outcome: OutcomeOK, ClockMS: now.Steady.Milliseconds()}, now)
			}
		}
	}
	return now.Steady - began
}

// A worker whose answers report no clock must not be polled without pauses.
func TestUnreadWorkerIsPolledWithPauses(t *testing.T) {
	now := Instant{Steady: time.Second}
	core := recoveredCore(now, RosterEntry{ID: "w1", Address: "w1", VM: "m1"})
	core.SetWorkers([]WorkerInfo{testWorkerInfo("w1", "m1")}, now)
	polls := 0
	for end := now.Steady + 10*time.Second; now.Steady < end; polls++ {
		plan := core.PlanPoll("w1", now)
		if !plan.Send {
			now.Steady += plan.Pause
			continue
		}
		now.Steady += time.Millisecond + plan.Request.Wait
		now.Steady += core.PollDone(plan.Request, PollReply{}, OutcomeOK, now)
	}
	if polls > 500 {
		t.Errorf("%d polls in 10 s", polls)
	}
}
