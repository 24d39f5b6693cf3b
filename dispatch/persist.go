package dispatch

import (
	"sort"

	"github.com/segmentio/encoding/json"

	"leverstile.dev/job"
)

// Record is a job's progress as it is to be written to the store.
type Record struct {
	Job     string
	Value   []byte
	version uint64
}

// Dirty reports whether the progress of jobs or maintenance waves waits to be written.
func (c *Core) Dirty() bool {
	if len(c.dirty) > 0 {
		return true
	}
	for _, s := range c.waves {
		if s.persisted != s.version {
			return true
		}
	}
	return false
}

// Backlog returns how many jobs' progress waits to be written.
func (c *Core) Backlog() int { return len(c.dirty) }

// maxRecordBytes bounds the records of one write together, unless the first is larger: the
// owner may have a link of 10 Mbit/s, and a write times out after 700 ms.
const maxRecordBytes = 256 << 10

// Records returns the progress of at most limit jobs that the store lacks, up to
// maxRecordBytes: jobs that have ended first, then the others in turn. A job is returned again
// until Persisted.
func (c *Core) Records(limit int) ([]Record, error) {
	jobs := make([]*jobState, 0, len(c.dirty))
	for j := range c.dirty {
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(a, b int) bool {
		x, y := jobs[a], jobs[b]
		if x.progress.State.Final() != y.progress.State.Final() {
			return x.progress.State.Final()
		}
		return c.dirty[x] < c.dirty[y]
	})
	jobs = jobs[:min(limit, len(jobs))]
	records := make([]Record, 0, len(jobs))
	size := 0
	for _, j := range jobs {
		value, err := json.Marshal(&j.progress)
		if err != nil {
			return nil, err
		}
		if size += len(value); size > maxRecordBytes && len(records) > 0 {
			break
		}
		records = append(records, Record{Job: j.spec.ID, Value: value, version: j.version})
	}
	return records, nil
}

// Persisted records that the store holds the records. States may now be shown
// and ends acknowledged.
func (c *Core) Persisted(records []Record) {
	for _, r := range records {
		j := c.jobs[r.Job]
		if j == nil {
			continue
		}
		j.persisted = max(j.persisted, r.version)
		if j.persisted == j.version {
			j.shown = j.progress.State
			delete(c.dirty, j)
		} else if _, waits := c.dirty[j]; waits {
			c.lastQueued++
			c.dirty[j] = c.lastQueued // it changed meanwhile, so it moves to the end of the queue
		}
	}
	for w := range c.unstoredEnds {
		c.checkCounts.endChecks++
		if w.advanceStoredEnd(); len(w.ends) == 0 {
			delete(c.unstoredEnds, w)
		}
		c.followEnds(w)
	}
}

// DecodeProgress decodes a record's value.
func DecodeProgress(value []byte) (*job.Progress, error) {
	p := &job.Progress{}
	return p, json.Unmarshal(value, p)
}
