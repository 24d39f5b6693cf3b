package dispatch

import (
	"testing"
	"time"

	"leverstile.dev/job"
)

// TestPendingCountsDeferredJobs: jobs that came while the lease was not held for certain count as
// waiting, once each. Otherwise customers see that no job of a queue waits, while dozens have
// waited for five seconds at an owner that is late with its renewals.
func TestPendingCountsDeferredJobs(t *testing.T) {
	c := New(Params{OwnerTTL: 2500 * time.Millisecond, OwnerHorizon: 12 * time.Second, MaxTaskLease: 6 * time.Second}, 1, nil)
	c.Renewed(0)
	late := Instant{Steady: 3 * time.Second}
	c.AddJob(simpleJob(1, 1), nil, false, late)
	c.AddJob(simpleJob(1, 1), nil, false, late) // received twice
	c.AddJob(simpleJob(2, 1), nil, false, late)
	c.Cancel(simpleJob(2, 1).ID, late)
	if n := c.Pending("q"); n != 1 {
		t.Errorf("%d jobs wait while the lease is not held for certain, want 1", n)
	}
	c.Renewed(late.Steady)
	c.Tick(late)
	if n := c.Pending("q"); n != 1 {
		t.Errorf("%d jobs wait once the lease is renewed, want 1", n)
	}
}

// TestPendingCountsJobsThatHaveNotStarted: Pending counts the jobs of the queue that have not
// ended and of which no task has started.
func TestPendingCountsJobsThatHaveNotStarted(t *testing.T) {
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
		spec.Steps[0].CPUMilli = 4000 // capacity for one
		core.AddJob(spec, nil, false, now)
	}
	check("submitted", "q", 3)
	check("submitted", "other", 0)
	core.Schedule(now)
	ordered := starts(core)
	if len(ordered) != 1 {
		t.Fatalf("%d starts, want 1", len(ordered))
	}
	check("one ordered", "q", 3)
	core.OrderDone(ordered[0], Answer{Outcome: OutcomeOK, ClockMS: 1000}, now)
	check("one started", "q", 2)
	for i := range 3 {
		if !core.jobs[simpleJob(i).ID].started {
			core.Cancel(simpleJob(i).ID, now)
			break
		}
	}
	check("one started, one cancelled", "q", 1)
}
