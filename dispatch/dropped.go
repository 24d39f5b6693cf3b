package dispatch

import (
	"slices"
	"time"

	"leverstile.dev/job"
)

// droppedJobs are jobs that ended long ago: the core has deleted them, and their
// records are being removed. Such a job must not be added as new when it is received
// once more, or its tasks run a second time: a read of all records returns those that are
// not removed yet, and a watch that is behind reports some that are already removed.
//
// Invariant: a job is in known until its records are removed and all updates of jobs
// up to that removal have been processed.
type droppedJobs struct {
	known   map[string]bool
	expired []string // jobs whose records can be removed
	removed []removedJobs
	// resubmitted holds jobs that were received under known ids, until it is known whether
	// their records were written after the removal.
	resubmitted map[string]recordedJob
}

// recordedJob is a job whose record was written at a revision of the store.
type recordedJob struct {
	deferredJob
	revision int64
}

// removedJobs are jobs whose records were removed at a revision of the store.
type removedJobs struct {
	ids      []string
	revision int64
}

func (d *droppedJobs) drop(id string) {
	if d.known == nil {
		d.known = map[string]bool{}
	}
	d.known[id] = true
	d.expired = append(d.expired, id)
}

// dropOldJobs deletes jobs that have been final for longer than Params.JobKept.
func (c *Core) dropOldJobs(now Instant) {
	for id, j := range c.jobs {
		if !j.progress.State.Final() || j.persisted != j.version {
			continue
		}
		if j.active == 0 {
			c.compactEnded(j)
		}
		// In steady time, from the takeover on for jobs that ended before it: a clock
		// that jumps ahead would remove the states of jobs that have just ended.
		if now.Steady-j.endedAt > c.params.JobKept && j.active == 0 {
			delete(c.jobs, id)
			c.dropRecord(j)
			c.dropped.drop(id)
		}
	}
}

// cancelRetention is how long the cancellation of a job that has not been received is kept. A
// write to the store is carried out up to 12 s late, and is received within some seconds
// once the store is reached.
const cancelRetention = time.Minute

// OldCancels returns at most limit jobs that were cancelled long ago and not received
// since: the records of their cancellation can be removed. They are returned until
// CancelsRemoved.
func (c *Core) OldCancels(limit int, now Instant) []string {
	var ids []string
	for id, receivedAt := range c.cancelled {
		if now.Steady-receivedAt > cancelRetention {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids[:min(limit, len(ids))]
}

// CancelsRemoved records that the store no longer holds the cancellations of jobs.
func (c *Core) CancelsRemoved(ids []string) {
	for _, id := range ids {
		delete(c.cancelled, id)
	}
}

// Expired returns at most limit jobs that have been final for long, whose records can be
// removed. They are returned until RecordsRemoved.
func (c *Core) Expired(limit int) []string {
	return c.dropped.expired[:min(limit, len(c.dropped.expired))]
}

// RecordsRemoved records that the store no longer holds the first n of Expired, from a
// revision on.
func (c *Core) RecordsRemoved(n int, revision int64) {
	d := &c.dropped
	ids := d.expired[:n]
	d.removed = append(d.removed, removedJobs{ids, revision})
	d.expired = d.expired[n:]
	for _, id := range ids {
		c.queueResubmitted(id, revision)
	}
}

// AddRecordedJob is AddJob for a new job whose record was written at a revision. If
// the records of a dropped job with its id were removed before that, it is a separate
// job; while the removal is in progress, it waits for the result.
func (c *Core) AddRecordedJob(spec *job.Spec, revision int64, now Instant) {
	d := &c.dropped
	if !d.known[spec.ID] {
		c.AddJob(spec, nil, false, now)
		return
	}
	if d.resubmitted == nil {
		d.resubmitted = map[string]recordedJob{}
	}
	if revision >= d.resubmitted[spec.ID].revision { // it is 0 for a job that an entry sent directly
		d.resubmitted[spec.ID] = recordedJob{deferredJob{spec, now.Steady - ageAtIntake(spec, false, now)}, revision}
	}
	for _, r := range d.removed {
		if slices.Contains(r.ids, spec.ID) {
			c.queueResubmitted(spec.ID, r.revision)
		}
	}
}

// queueResubmitted queues the job that was recorded under a dropped id after the removal
// of that id's records, if there is one.
func (c *Core) queueResubmitted(id string, removed int64) {
	if next, ok := c.dropped.resubmitted[id]; ok && next.revision > removed {
		c.dropped.forget(id)
		c.deferred = append(c.deferred, next.deferredJob) // the next tick adds it
	}
}

func (d *droppedJobs) forget(id string) {
	delete(d.known, id)
	delete(d.resubmitted, id)
}

// IntakeProcessed records that all updates of jobs up to a revision of the store have
// been processed.
func (c *Core) IntakeProcessed(revision int64) {
	d := &c.dropped
	for len(d.removed) > 0 && d.removed[0].revision <= revision {
		for _, id := range d.removed[0].ids {
			d.forget(id)
		}
		d.removed = d.removed[1:]
	}
}
