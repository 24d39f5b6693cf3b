package dispatch

import (
	"testing"
	"time"
)

// pacesFor has a worker list one run for a while, and returns the paces that are
// ordered, each answered at once.
func pacesFor(core *Core, row RunningTask, from, to time.Duration) []int {
	var paces []int
	for at := from; at < to; at += 200 * time.Millisecond {
		now := Instant{Steady: at}
		order := core.PlanPoll("w1", now).Request
		core.PollDone(order, PollReply{ClockMS: at.Milliseconds(), Running: []RunningTask{row}}, OutcomeOK, now)
		core.Tick(now)
		for _, o := range core.TakeOrders() {
			if o.Kind == OrderPace {
				paces = append(paces, o.Percent)
				core.OrderDone(o, Answer{Outcome: OutcomeOK, ClockMS: at.Milliseconds()}, now)
			}
		}
	}
	return paces
}

// fillCore returns a core of term 2 that has adopted a fill, and its attempt.
func fillCore(t *testing.T, now Instant) (*Core, RunningTask, *attempt) {
	t.Helper()
	core := recoveredCore(now, RosterEntry{ID: "w1", Address: "w1", VM: "m1"})
	core.SetWorkers([]WorkerInfo{testWorkerInfo("w1", "m1")}, now)
	rosterOf(t, core)
	spec := simpleJob(1, 1)
	spec.Steps[0].Fills, spec.Steps[0].Image = true, "batch"
	core.AddJob(spec, nil, true, now)
	work := core.jobs[spec.ID].steps[0].tasks[0]
	row := RunningTask{Task: work.id(), Run: 1<<runBits | 1}
	core.PollDone(core.PlanPoll("w1", now).Request, PollReply{ClockMS: now.Steady.Milliseconds(), Running: []RunningTask{row}}, OutcomeOK, now)
	if work.attempt == nil {
		t.Fatal("the run is not adopted")
	}
	return core, row, work.attempt
}

// TestAdoptedRunIsSentItsPace: the previous owner may have slowed an adopted run, down to a
// standstill, and lists don't show the pace. If the new owner assumed the full pace, a fill
// would stand still after a takeover as long as no serving task is near it.
func TestAdoptedRunIsSentItsPace(t *testing.T) {
	now := Instant{Steady: time.Second}
	core, row, _ := fillCore(t, now)
	if paces := pacesFor(core, row, 1200*time.Millisecond, 5*time.Second); len(paces) == 0 {
		t.Error("the worker was sent no pace")
	}
}

// TestUnansweredPaceIsOverridden: an unanswered pace order may be carried out seconds later, after
// newer ones, and leave a fill halted where workers carry orders out late. The newest pace is
// sent once more when that can no longer happen.
func TestUnansweredPaceIsOverridden(t *testing.T) {
	now := Instant{Steady: time.Second}
	core, row, a := fillCore(t, now)
	halt := Order{Kind: OrderPace, Worker: "w1", Address: "w1", Token: 2, Task: row.Task, Run: row.Run}
	a.wantedPace = 0
	core.OrderDone(halt, Answer{Outcome: OutcomeUnknown}, Instant{Steady: 1400 * time.Millisecond})
	a.wantedPace = fullPace
	first := pacesFor(core, row, 1600*time.Millisecond, 2*time.Second)
	later := pacesFor(core, row, 2*time.Second, 12*time.Second)
	if len(first) == 0 || len(later) == 0 {
		t.Errorf("paces sent at once %v, later %v", first, later)
	}
}

// TestAdoptedFillCountsAsLoad: an adopted fill whose pace is unknown counts as running at its full
// pace. Otherwise, for a second or two after a takeover, serving tasks would be placed beside
// fills that count as unused, and exceed their targets.
func TestAdoptedFillCountsAsLoad(t *testing.T) {
	core, _, a := fillCore(t, Instant{Steady: time.Second})
	if core.workers["w1"].load.fillCPU == 0 {
		t.Errorf("a fill of %d thousandths of a core counts as none", a.task.step.spec.CPUMilli)
	}
}
