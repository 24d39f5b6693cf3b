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
	c.AddRecordedJob(spec, 71, now) // in the answer that also tells of 70
	c.Tick(now)
	c.IntakeTaken(71)
	if len(c.jobs) != 1 {
		t.Error("the new job is ignored for good")
	}
}

// TestOldRecordOfADroppedID: a record from before the removal is no new job.
func TestOldRecordOfADroppedID(t *testing.T) {
	core, now := endedCore(t)
	core.Removed(1, 70)
	core.AddRecordedJob(simpleJob(1, 1), 69, now)
	core.Tick(now)
	if n := len(starts(core)); n != 0 {
		t.Errorf("%d starts of a job that has ended", n)
	}
}

// TestNewJobIsHeardOfBeforeTheRemoval: a job that is handed in under the id of an ended one,
// and whose record is heard of before the answer to the removal, is a job.
//
// Its customer was told that it is accepted, and would see it queued for as long as the owner
// lives.
func TestNewJobIsHeardOfBeforeTheRemoval(t *testing.T) {
	core, now := endedCore(t)
	spec := simpleJob(1, 1)
	core.AddRecordedJob(spec, 71, now)
	core.IntakeTaken(71)
	core.Removed(1, 70) // its answer was slower than the watch
	core.IntakeTaken(72)
	core.Tick(now)
	if core.jobs[spec.ID] == nil {
		t.Error("the new job is ignored for good")
	}
}
