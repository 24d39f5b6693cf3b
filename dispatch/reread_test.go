package dispatch

import (
	"testing"
	"time"
)

// endedCore returns a core with a job that has ended, whose end is stored and which was kept for
// JobKept since; its spec is simpleJob(1, 1).
func endedCore(t *testing.T) (*Core, Instant) {
	t.Helper()
	core, now := idleCore(t, 1)
	core.AddJob(simpleJob(1, 1), nil, false, now)
	core.Schedule(now)
	list := starts(core)
	if len(list) != 1 {
		t.Fatalf("%d starts", len(list))
	}
	end := EndedTask{Number: 1, Task: list[0].Task, Run: list[0].Run, Kind: EndDone}
	core.PollDone(core.PlanPoll("w0", now).Request, PollReply{ClockMS: 1100, Ended: []EndedTask{end}}, OutcomeOK, now)
	records, err := core.Records(9)
	if err != nil {
		t.Fatal(err)
	}
	core.Persisted(records)
	now.Steady += core.params.JobKept + time.Second
	core.Renewed(now.Steady)
	core.Tick(now)
	return core, now
}

// TestExpiredJobDoesNotRunAgain: an owner reads all jobs again because the store has lost its
// history, and receives a job that has ended and whose record is to be removed, or was removed
// after the answer was sent. It must not add the job as new.
func TestExpiredJobDoesNotRunAgain(t *testing.T) {
	for name, removed := range map[string]bool{"to be removed": false, "removed": true} {
		t.Run(name, func(t *testing.T) {
			core, now := endedCore(t)
			if ids := core.Expired(9); len(ids) != 1 {
				t.Fatalf("%d jobs are to be removed", len(ids))
			}
			if removed {
				core.RecordsRemoved(1, 70)
			}
			core.AddJob(simpleJob(1, 1), nil, false, now)
			core.Tick(now)
			if n := len(starts(core)); n != 0 {
				t.Error("a task of a job that has ended is started again")
			}
		})
	}
}
