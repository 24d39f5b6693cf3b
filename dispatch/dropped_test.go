package dispatch

import (
	"testing"
	"time"
)

// TestDroppedJobsAreNotAddedAgain: a dropped job that is received again is not added as new until
// all updates up to the removal of its records have been processed; after that, nothing about it
// is kept.
func TestDroppedJobsAreNotAddedAgain(t *testing.T) {
	c := New(Params{JobKept: time.Second, OwnerTTL: time.Hour, OwnerHorizon: time.Hour, MaxTaskLease: 6 * time.Second}, 1, nil)
	c.Renewed(0)
	for i := 1; i <= 3; i++ {
		c.AddJob(simpleJob(i, 1), nil, false, Instant{})
		c.Cancel(simpleJob(i, 1).ID, Instant{})
	}
	records, err := c.Records(3)
	if err != nil {
		t.Fatal(err)
	}
	c.Persisted(records)
	now := Instant{Steady: 2 * time.Second}
	c.Tick(now)
	if len(c.jobs) != 0 || len(c.Expired(10)) != 3 {
		t.Fatalf("%d jobs, expired %v", len(c.jobs), c.Expired(10))
	}
	submit := func(want int, when string) {
		t.Helper()
		for i := 1; i <= 3; i++ {
			c.AddJob(simpleJob(i, 1), nil, false, now)
		}
		if len(c.jobs) != want {
			t.Errorf("%s: %d jobs are added as new, want %d", when, len(c.jobs), want)
		}
	}
	submit(0, "while their records are in the store")
	c.RecordsRemoved(2, 70)
	submit(0, "after a removal")
	c.IntakeProcessed(69)
	submit(0, "before its updates")
	c.IntakeProcessed(70)
	if len(c.dropped.known) != 1 || len(c.dropped.removed) != 0 {
		t.Errorf("kept: %+v", c.dropped)
	}
	c.RecordsRemoved(1, 71)
	c.IntakeProcessed(90)
	if len(c.dropped.known) != 0 || len(c.Expired(10)) != 0 {
		t.Errorf("kept at the end: %+v", c.dropped)
	}
}

// TestCancelsOfUnknownJobsExpire: the cancellation of a job that has not come is kept for as long
// as its submission may be in progress; a job that comes by then is cancelled, a later one is not.
func TestCancelsOfUnknownJobsExpire(t *testing.T) {
	now := Instant{Steady: time.Second}
	core := leasedCore(Params{JobKept: time.Hour}, 1, now)
	early, late := simpleJob(1, 1), simpleJob(2, 1)
	core.Cancel(early.ID, now)
	core.Cancel(late.ID, now)
	now.Steady += cancelRetention
	core.Cancel(late.ID, now) // received again
	if ids := core.OldCancels(8, now); len(ids) > 0 {
		t.Fatalf("%v can be removed", ids)
	}
	core.AddJob(early, nil, false, now)
	if s, _ := core.Status(early.ID); !core.jobs[early.ID].cancelled {
		t.Errorf("the job is %s, want cancelled", s)
	}
	now.Steady += time.Millisecond
	ids := core.OldCancels(8, now)
	if len(ids) != 1 || ids[0] != late.ID {
		t.Fatalf("%v can be removed, want %s", ids, late.ID)
	}
	core.CancelsRemoved(ids)
	core.AddJob(late, nil, false, now)
	if core.jobs[late.ID].cancelled {
		t.Error("a job that came later is cancelled")
	}
}
