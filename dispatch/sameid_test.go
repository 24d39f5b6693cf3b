package dispatch

import (
	"testing"
	"time"
)

// TestNewJobUnderADroppedID: a job that is submitted after the records of an ended job with its id
// were removed is accepted, even if the owner receives the removal and the new record in one answer.
// Otherwise it would stay queued, although accepted, for as long as the owner runs.
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
	c.RecordsRemoved(1, 70)
	c.AddRecordedJob(spec, 71, now) // in the answer that also reports revision 70
	c.Tick(now)
	c.IntakeProcessed(71)
	if len(c.jobs) != 1 {
		t.Error("the new job is ignored for good")
	}
}

// TestOldRecordOfADroppedID: a record from before the removal does not start a new job.
func TestOldRecordOfADroppedID(t *testing.T) {
	core, now := endedCore(t)
	core.RecordsRemoved(1, 70)
	core.AddRecordedJob(simpleJob(1, 1), 69, now)
	core.Tick(now)
	if n := len(starts(core)); n != 0 {
		t.Errorf("%d starts of a job that has ended", n)
	}
}

// TestNewJobIsReceivedBeforeTheRemoval: a job that is submitted under the id of an ended one is
// accepted, even if its record is received before the answer to the removal. Otherwise it would
// stay queued, although accepted, for as long as the owner runs.
func TestNewJobIsReceivedBeforeTheRemoval(t *testing.T) {
	core, now := endedCore(t)
	spec := simpleJob(1, 1)
	core.AddRecordedJob(spec, 71, now)
	core.IntakeProcessed(71)
	core.RecordsRemoved(1, 70) // its answer arrives after the watch's update
	core.IntakeProcessed(72)
	core.Tick(now)
	if core.jobs[spec.ID] == nil {
		t.Error("the new job is ignored for good")
	}
}
