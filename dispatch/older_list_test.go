package dispatch

import (
	"testing"
	"time"
)

// A list that lacks a run ends the run only if its poll was sent after the run was known to be
// there.
//
// A worker that answers polls and orders on several threads may gather its list just before it
// carries out a start, and read the clock for clock_ms just after it: clock_ms is the time of the
// answer, not of the list. An owner that concluded that the running task is gone would not poll a
// worker without other tasks again, so that the run ends done without a stop, beside a second one.
func TestListOfAPollBeforeTheStartProvesNothing(t *testing.T) {
	core, now := idleCore(t, 2)
	core.AddJob(simpleJob(1, 1), nil, false, now)
	core.Schedule(now)
	first := starts(core)
	if len(first) != 1 {
		t.Fatalf("%d starts", len(first))
	}
	now.Steady += time.Millisecond
	poll := core.PlanPoll(first[0].Worker, now).Request
	now.Steady += 5 * time.Millisecond // the poll is on its way as the start is carried out
	core.OrderDone(first[0], Answer{Outcome: OutcomeOK, ClockMS: 1005}, now)
	core.PollDone(poll, PollReply{ClockMS: 1006}, OutcomeOK, now)
	core.Tick(now)
	if n := len(starts(core)); n != 0 {
		t.Errorf("%d more starts of a task that runs", n)
	}
}
