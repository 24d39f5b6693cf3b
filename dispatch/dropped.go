package dispatch

import "slices"

// droppedJobs are jobs that ended long ago: the core has forgotten them, and their
// records go. Nothing that is still heard of them may be taken for a new job: a
// read of all records finds those that are not removed yet, and a watch that is
// behind tells of some that are gone. Their tasks ran a second time.
//
// Invariant: a job is in known until its records are removed and all news of jobs
// up to that removal have been taken in.
type droppedJobs struct {
	known   map[string]bool
	expired []string // jobs whose records can be removed
	removed []removedJobs
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

// dropOldJobs forgets what has been final for long.
func (c *Core) dropOldJobs(now Instant) {
	for id, j := range c.jobs {
		if !j.progress.State.Final() || j.persisted != j.version {
			continue
		}
		if j.active == 0 {
			j.steps = nil
		}
		// In steady time, from the takeover on for jobs that ended before it: a clock
		// that jumps ahead would remove the states of jobs that have just ended.
		if now.Steady-j.endedAt > c.params.JobKept && j.active == 0 {
			delete(c.jobs, id)
			c.dropped.drop(id)
		}
	}
}

// Expired returns jobs that were final for long, whose records can be removed;
// at most limit. They are returned until Removed.
func (c *Core) Expired(limit int) []string {
	return c.dropped.expired[:min(limit, len(c.dropped.expired))]
}

// Removed tells that the store no longer holds the first n of Expired, from a
// revision on.
func (c *Core) Removed(n int, revision int64) {
	d := &c.dropped
	d.removed = append(d.removed, removedJobs{d.expired[:n], revision})
	d.expired = d.expired[n:]
}

// JobRecorded tells of a job's record, written at a revision. If the record of a
// dropped job of that id was removed before, this is a new one.
func (c *Core) JobRecorded(id string, revision int64) {
	if !c.dropped.known[id] {
		return
	}
	for _, r := range c.dropped.removed {
		if r.revision < revision && slices.Contains(r.ids, id) {
			delete(c.dropped.known, id)
		}
	}
}

// IntakeTaken tells that all news of jobs up to a revision of the store have been
// taken in.
func (c *Core) IntakeTaken(revision int64) {
	d := &c.dropped
	for len(d.removed) > 0 && d.removed[0].revision <= revision {
		for _, id := range d.removed[0].ids {
			delete(d.known, id)
		}
		d.removed = d.removed[1:]
	}
}
