package dispatch

import (
	"testing"
	"time"
)

// lacking answers a poll, sent now, with a list without running tasks.
func answerWithoutRuns(core *Core, now *Instant, clock int64, ended ...EndedTask) {
	order := core.PlanPoll("w0", *now).Request
	now.Steady += 10 * time.Millisecond
	core.PollDone(order, PollReply{ClockMS: clock, Ended: ended}, OutcomeOK, *now)
}

// These are the conditions under which lists prove that a started run has ended although its end
// was not reported. A looser rule starts a task again while it runs.
func TestListsWithoutStartedRun(t *testing.T) {
	for name, c := range map[string]struct {
		confirmed bool
		lists     func(core *Core, now *Instant, deadline int64)
		over      bool
	}{
		"one list": {true, func(core *Core, now *Instant, _ int64) { answerWithoutRuns(core, now, 1100) }, false},
		"two lists": {true, func(core *Core, now *Instant, _ int64) {
			answerWithoutRuns(core, now, 1100)
			answerWithoutRuns(core, now, 1200)
		}, true},
		"two lists, the second asked for before the first came": {true, func(core *Core, now *Instant, _ int64) {
			second := core.PlanPoll("w0", *now).Request
			answerWithoutRuns(core, now, 1100)
			core.workers["w0"].pollSent = now.Steady - time.Millisecond
			core.PollDone(second, PollReply{ClockMS: 1200}, OutcomeOK, *now)
		}, false},
		"lists of the moment of its start": {true, func(core *Core, now *Instant, _ int64) {
			answerWithoutRuns(core, now, 1001)
			answerWithoutRuns(core, now, 1001)
		}, false},
		"full lists": {true, func(core *Core, now *Instant, _ int64) {
			answerWithoutRuns(core, now, 1100, fullEnds()...)
			answerWithoutRuns(core, now, 1200, fullEnds()...)
		}, false},
		"before the deadline of a start without an answer": {false, func(core *Core, now *Instant, deadline int64) {
			answerWithoutRuns(core, now, deadline-1)
			answerWithoutRuns(core, now, deadline)
		}, false},
		"after the deadline of a start without an answer": {false, func(core *Core, now *Instant, deadline int64) {
			answerWithoutRuns(core, now, deadline+1)
			answerWithoutRuns(core, now, deadline+2)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			core, now := idleCore(t, 1)
			core.AddJob(simpleJob(1, 1), nil, false, now)
			core.Schedule(now)
			list := starts(core)
			if len(list) != 1 {
				t.Fatalf("%d starts, want 1", len(list))
			}
			answer := Answer{Outcome: OutcomeUnknown}
			if c.confirmed {
				answer = Answer{Outcome: OutcomeOK, ClockMS: 1001}
			}
			core.OrderDone(list[0], answer, now)
			c.lists(core, &now, list[0].DeadlineMS)
			if over := core.findTask(list[0].Task).attempt == nil; over != c.over {
				t.Errorf("the run counts as ended: %v, want %v", over, c.over)
			}
		})
	}
}
