package dispatch

import (
	"testing"
	"time"
)

// A run on a worker that was idle, whose first poll is sent on a connection that no longer
// delivers, has its lease renewed by the polls after it. The start's deadline is the run's only
// lease until a poll is answered; tasks started just before such a network fault would end and
// start again.
func TestRecentRunOutlivesOneUnansweredPoll(t *testing.T) {
	// callTimeout is how long a worker may take to answer beyond the requested wait.
	const callTimeout = 600 * time.Millisecond
	for since := time.Duration(0); since <= idlePause; since += 50 * time.Millisecond {
		core, now := idleCore(t, 1)
		core.AddJob(simpleJob(1, 1), nil, false, now)
		core.Schedule(now)
		list := starts(core)
		if len(list) != 1 {
			t.Fatalf("%d starts, want 1", len(list))
		}
		core.OrderDone(list[0], Answer{Outcome: OutcomeOK, ClockMS: 1000}, now)
		began := now.Steady
		now.Steady += since // until then the polling loop pauses
		plan := core.PlanPoll("w0", now)
		now.Steady += plan.Request.Wait + callTimeout
		now.Steady += core.PollDone(plan.Request, PollReply{}, OutcomeUnknown, now)
		for range 2 { // one may only ask for lists
			plan = core.PlanPoll("w0", now)
			reply := PollReply{ClockMS: 1000 + (now.Steady - began).Milliseconds(), Running: []RunningTask{{Task: list[0].Task, Run: list[0].Run, Percent: 100}}}
			if plan.Request.DeadlineMS > 0 {
				break
			}
			now.Steady += core.PollDone(plan.Request, reply, OutcomeOK, now)
		}
		if at := 1000 + (now.Steady - began).Milliseconds(); plan.Request.DeadlineMS == 0 || at >= list[0].DeadlineMS {
			t.Errorf("polled %s after the start: at %d of the worker's clock the lease is not renewed, and it ends at %d", since, at, list[0].DeadlineMS)
		}
	}
}
