package dispatch

import (
	"testing"
	"time"
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
