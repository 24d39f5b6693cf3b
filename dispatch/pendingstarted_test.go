package dispatch

import (
	"testing"

	"leverstile.dev/job"
)

// TestPendingCountsJobsWhoseStartsFailed: a job has started once a worker has started one of its
// tasks, not when the start is ordered. Otherwise, after all entries were killed, customers see
// that no job of a queue waits: the last owner had ordered the starts, none was carried out, and
// its records had the jobs as running.
func TestPendingCountsJobsWhoseStartsFailed(t *testing.T) {
	for _, outcome := range []Outcome{OutcomeNoCapacity, OutcomeUnwell, OutcomeNotSent, OutcomeUnknown, OutcomeBroken} {
		t.Run(outcome.String(), func(t *testing.T) {
			core, now := idleCore(t, 1)
			spec := simpleJob(1, 1)
			core.AddJob(spec, nil, false, now)
			core.Schedule(now)
			list := starts(core)
			if len(list) != 1 {
				t.Fatalf("%d starts", len(list))
			}
			if n := core.Pending("q"); n != 1 {
				t.Errorf("%d jobs wait while the start is on its way, want 1", n)
			}
			core.OrderDone(list[0], Answer{Outcome: outcome, ClockMS: 1100}, now)
			if n := core.Pending("q"); n != 1 {
				t.Errorf("%d jobs wait after the start, want 1", n)
			}
			records, err := core.Records(9)
			if err != nil {
				t.Fatal(err)
			}
			next := New(core.params, 2, nil)
			next.Renewed(now.Steady)
			next.AddJob(spec, storedProgress(t, records, spec.ID), true, now)
			if n := next.Pending("q"); n != 1 {
				t.Errorf("%d jobs wait at the next owner, want 1", n)
			}
		})
	}
}

// TestPendingExcludesStartedJobs: the answer to the start, a list of running tasks or an end shows
// that a job has started.
func TestPendingExcludesStartedJobs(t *testing.T) {
	for name, report := range map[string]func(core *Core, o Order, now Instant){
		"the start is confirmed": func(core *Core, o Order, now Instant) {
			core.OrderDone(o, Answer{Outcome: OutcomeOK, ClockMS: 1100}, now)
		},
		"the run is listed": func(core *Core, o Order, now Instant) {
			row := RunningTask{Task: o.Task, Run: o.Run, Percent: fullPace}
			core.PollDone(core.PlanPoll("w0", now).Request, PollReply{ClockMS: 1100, Running: []RunningTask{row}}, OutcomeOK, now)
		},
		"its end is listed": func(core *Core, o Order, now Instant) {
			end := EndedTask{Number: 1, Task: o.Task, Run: o.Run, Kind: EndFailed}
			core.PollDone(core.PlanPoll("w0", now).Request, PollReply{ClockMS: 1100, Ended: []EndedTask{end}}, OutcomeOK, now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			core, now := idleCore(t, 1)
			spec := simpleJob(1, 1)
			core.AddJob(spec, nil, false, now)
			core.Schedule(now)
			list := starts(core)
			if len(list) != 1 {
				t.Fatalf("%d starts", len(list))
			}
			report(core, list[0], now)
			if n := core.Pending("q"); n != 0 {
				t.Errorf("%d jobs wait, want none", n)
			}
			if s, _ := core.Status(spec.ID); s != job.Running {
				t.Errorf("the job is shown as %s, want running", s)
			}
		})
	}
}

// storedProgress returns a job's progress from the records, nil if it is not among them.
func storedProgress(t *testing.T, records []Record, id string) *job.Progress {
	t.Helper()
	for _, r := range records {
		if r.Job != id {
			continue
		}
		p, err := DecodeProgress(r.Value)
		if err != nil {
			t.Fatal(err)
		}
		return p
	}
	return nil
}
