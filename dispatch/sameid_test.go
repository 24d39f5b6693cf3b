package dispatch

import (
	"testing"
	"time"
)

// TestNewJobUnderADroppedID: a job that is handed in after the records of an ended one
// of its id were removed is a job, also if the owner hears of the removal and of the
// new record in one answer.
//
// Its customer was told that it is accepted, and would see it queued for as long as
// the owner lives. Ids are used again only long after they ended, if ever.
func TestNewJobUnderADroppedID(t *testing.T) {
	c := New(Params{JobKept: time.Second, OwnerTTL: time.Hour, OwnerHorizon: time.Hour, MaxTaskLease: 6 * time.Second}, 1, nil)
	c.Renewed(0)
	spec := simpleJob(1, 1)
	c.AddJob(spec, nil, false, Instant{})
	c.Cancel(spec.ID, Instant{})
	records, err := c.Records(1)
	if err != nil {
		t.Fatal(err)
	}
	c.Persisted(records)
	now := Instant{Steady: 2 * time.Second}
	c.Tick(now)
	c.Removed(1, 70)
	c.AddJob(spec, nil, false, now) // revision 71, in the answer that also tells of 70
	c.IntakeTaken(71)
	if len(c.jobs) != 1 {
		t.Error("the new job is ignored for good")
	}
}
