package dispatch

import (
	"testing"
	"time"
)

// longIdleCore returns a core that renewed its lease all the time, with one worker that was
// idle for the given time and answered all polls.
func longIdleCore(t *testing.T, idle time.Duration) (*Core, Instant) {
	t.Helper()
	now := Instant{Steady: time.Second}
	core := New(Params{MaxTaskLease: 6 * time.Second, TaskLease: 3 * time.Second, OwnerTTL: 2500 * time.Millisecond, OwnerHorizon: 12 * time.Second}, 2, nil)
	core.Renewed(now.Steady)
	core.SetConfig(leasedCore(Params{}, 1, now).config)
	core.SetWorkers([]WorkerInfo{testWorkerInfo("w1", "m1")}, now)
	rosterOf(t, core)
	for end := now.Steady + idle; now.Steady < end; now.Steady += idlePause {
		core.Renewed(now.Steady)
		if plan := core.PlanPoll("w1", now); plan.Send {
			core.PollDone(plan.Request, PollReply{ClockMS: now.Steady.Milliseconds()}, OutcomeOK, now)
		}
	}
	core.Renewed(now.Steady)
	core.SetWorkers([]WorkerInfo{testWorkerInfo("w1", "m1")}, now)
	rosterOf(t, core)
	return core, now
}

// The first start at a worker whose clock was not read for 11 minutes must carry a deadline in the
// future. Otherwise each worker refuses the first tasks after an idle period: as late, or as
// malformed, since a deadline of 0 is left out of the call.
func TestStartAfterLongIdlenessHasADeadline(t *testing.T) {
	for _, idle := range []time.Duration{time.Minute, 9 * time.Minute, 11 * time.Minute, time.Hour} {
		core, now := longIdleCore(t, idle)
		core.AddJob(simpleJob(1, 1), nil, false, now)
		core.Tick(now)
		core.Schedule(now)
		list := starts(core)
		if len(list) == 0 {
			t.Errorf("idle for %v: nothing starts", idle)
			continue
		}
		if d := list[0].DeadlineMS; d <= core.workers["w1"].clockNow(now) {
			t.Errorf("idle for %v: a start with deadline %d at clock %d", idle, d, core.workers["w1"].clockNow(now))
		}
	}
}

// If a worker refuses a start without a deadline in an answer that reports no clock, its clock
// must be read before the next start.
func TestStartsContinueAfterLongIdleness(t *testing.T) {
	core, now := longIdleCore(t, 11*time.Minute)
	core.AddJob(simpleJob(1, 1), nil, false, now)
	refused := 0
	for range 600 { // a minute
		core.Renewed(now.Steady)
		core.Tick(now)
		core.Schedule(now)
		for _, o := range starts(core) {
			if o.DeadlineMS > 0 {
				return
			}
			refused++
			core.OrderDone(o, Answer{Outcome: OutcomeInvalid}, Instant{Steady: now.Steady + 2*time.Millisecond})
		}
		if plan := core.PlanPoll("w1", Instant{Steady: now.Steady + 5*time.Millisecond}); plan.Send {
			core.PollDone(plan.Request, PollReply{ClockMS: now.Steady.Milliseconds() + 6}, OutcomeOK, Instant{Steady: now.Steady + 6*time.Millisecond})
		}
		now.Steady += 100 * time.Millisecond
	}
	t.Errorf("no start with a deadline within a minute, %d without one", refused)
}
