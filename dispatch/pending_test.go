package dispatch

import (
	"testing"
	"time"

	"leverstile.dev/job"
)

// TestPendingCountsJobsThatAreDeferred: jobs that came while the lease was not sure wait as
// others do, and are counted once.
//
// Users would be told that no job of a queue waits, while dozens have waited for five
// seconds at an owner that is late with its renewals.
func TestPendingCountsJobsThatAreDeferred(t *testing.T) {
	c := New(Params{OwnerTTL: 2500 * time.Millisecond, OwnerHorizon: 12 * time.Second, MaxTaskLease: 6 * time.Second}, 1, nil)
	c.Renewed(0)
	late := Instant{Steady: 3 * time.Second}
	c.AddJob(simpleJob(1, 1), nil, false, late)
	c.AddJob(simpleJob(1, 1), nil, false, late) // heard of twice
	c.AddJob(simpleJob(2, 1), nil, false, late)
	c.Cancel(simpleJob(2, 1).ID, late)
	if n := c.Pending("q"); n != 1 {
		t.Errorf("%d jobs wait while the lease is not sure, want 1", n)
	}
	c.Renewed(late.Steady)
	c.Tick(late)
	if n := c.Pending("q"); n != 1 {
		t.Errorf("%d jobs wait afterwards, want 1", n)
	}
}

// TestPendingCountsJobsThatHaveNotBegun: those of the queue, of which no task was started and
// which are not over.
func TestPendingCountsJobsThatHaveNotBegun(t *testing.T) {
	core, now := idleCore(t, 1)
	core.SetConfig(&job.Config{Version: 2, Queues: []job.Queue{{Name: "q", Service: "svc", Stretch: 2}, {Name: "other", Service: "svc", Stretch: 2}}})
	check := func(what, queue string, want int) {
		t.Helper()
		if got := core.Pending(queue); got != want {
			t.Errorf("%s: %d jobs of %s wait, want %d", what, got, queue, want)
		}
	}
	for i := range 3 {
		spec := simpleJob(i, 1)
		spec.Steps[0].CPUMilli = 4000 // one has room
		core.AddJob(spec, nil, false, now)
	}
	check("handed in", "q", 3)
	check("handed in", "other", 0)
	core.Schedule(now)
	ordered := starts(core)
	if len(ordered) != 1 {
		t.Fatalf("%d starts, want 1", len(ordered))
	}
	check("one ordered", "q", 3)
	core.OrderDone(ordered[0], Answer{Outcome: OutcomeOK, ClockMS: 1000}, now)
	check("one begun", "q", 2)
	for i := range 3 {
		if !core.jobs[simpleJob(i).ID].begun {
			core.Cancel(simpleJob(i).ID, now)
			break
		}
	}
	check("one begun, one cancelled", "q", 1)
}
