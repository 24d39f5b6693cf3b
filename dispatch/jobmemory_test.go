package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"leverstile.dev/job"
)

const memoryQueue = "q"

func newMemoryCore(limit int64) *Core {
	c := New(Params{MaxTaskLease: 10 * time.Second, JobKept: time.Minute, JobMemory: limit}, 1, nil)
	c.SetConfig(&job.Config{Version: 1, Queues: []job.Queue{{Name: memoryQueue, Service: "svc", MaxAttempts: 3}}, Services: []job.Service{{Name: "svc"}}})
	c.Renewed(time.Hour)
	return c
}

func jobOfWidth(number, tasks int) *job.Spec {
	return &job.Spec{ID: fmt.Sprintf("%016x", number), Queue: memoryQueue, Steps: []job.Step{{Count: tasks, CPUMilli: 10}}}
}

func (c *Core) builtTasks() (n int) {
	for _, j := range c.jobs {
		for _, s := range j.steps {
			n += len(s.tasks)
		}
	}
	return n
}

// TestWideJobsAreOpenedAsMemoryAllows guards against recorded jobs that make the owner exceed its
// memory, and against such jobs that never run.
func TestWideJobsAreOpenedAsMemoryAllows(t *testing.T) {
	const tasks, jobs = 5000, 12
	cost := openCost(jobOfWidth(0, tasks))
	for _, stored := range []bool{false, true} {
		c := newMemoryCore(1)
		c.memory.openLimit = 4 * cost // for three of them, as large jobs leave some free
		now := Instant{Steady: time.Second, UnixMS: 1_700_000_000_000}
		for i := range jobs {
			c.AddJob(jobOfWidth(i, tasks), nil, stored, now)
		}
		for left := jobs; left > 0; left-- {
			if n := c.builtTasks(); n > 3*tasks || n == 0 {
				t.Fatalf("stored %v, %d jobs left: %d tasks are open", stored, left, n)
			}
			for _, j := range c.jobs {
				if !j.progress.State.Final() && len(j.steps) > 0 {
					c.setFinal(j, job.Succeeded, "test", now)
					j.persisted = j.version
					break
				}
			}
			c.dropOldJobs(now)
			c.openOccurrences(now)
		}
		if records, open, waiting := c.JobMemory(); open != 0 || waiting != 0 || records == 0 {
			t.Errorf("stored %v: records %d, open %d, waiting %d in the end", stored, records, open, waiting)
		}
	}
}

// TestOneJobIsOpenWhateverItCosts guards against a job that waits for memory that the owner never has.
func TestOneJobIsOpenWhateverItCosts(t *testing.T) {
	c := newMemoryCore(2000)
	now := Instant{Steady: time.Second, UnixMS: 1_700_000_000_000}
	spec := jobOfWidth(1, job.MaxTasks)
	c.memory.recordLimit, c.memory.openLimit = 16*recordCost(spec), 16*recordCost(spec)
	if a := c.Admit(spec, now); a.Refused {
		t.Errorf("refused: %s", a.Reason)
	}
	if a := c.Admit(spec, now); a.Refused {
		t.Error("a job that was admitted is refused when it is submitted again")
	}
	c.AddJob(spec, nil, false, now)
	if c.builtTasks() != job.MaxTasks {
		t.Error("the job is not open")
	}
	if len(c.memory.admitted) != 0 || c.memory.large.admitted != 0 {
		t.Errorf("%d bytes are still reserved for the job", c.memory.large.admitted)
	}
	c.AddJob(jobOfWidth(3, 1), nil, false, now)
	c.AddJob(jobOfWidth(4, 1), nil, false, now)
	if n := c.builtTasks(); n != job.MaxTasks+2 {
		t.Errorf("%d tasks: small jobs wait for a large one", n)
	}
	if a := c.Admit(jobOfWidth(2, job.MaxTasks), now); !a.Refused || a.RetryAfter <= 0 {
		t.Errorf("a second one: %+v", a)
	}
	if a := c.Admit(spec, now); a.Refused {
		t.Error("a job that is accepted is refused when it is submitted again")
	}
	if !c.Crowded(now) {
		t.Error("entries do not ask for the admission of jobs")
	}
}

// TestJobMemoryIsGivenBack guards against memory that still counts after the jobs are gone, however
// they end.
func TestJobMemoryIsGivenBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newMemoryCore(rapid.Int64Range(1, 4<<20).Draw(t, "limit"))
		now := Instant{Steady: time.Second, UnixMS: 1_700_000_000_000}
		n := rapid.IntRange(1, 30).Draw(t, "jobs")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for i := range n {
			spec := jobOfWidth(i, 1+rng.IntN(2000))
			if rng.IntN(4) == 0 {
				spec.Occurrences, spec.FirstDueMS, spec.IntervalMS = 1+rng.IntN(5), now.UnixMS, int64(rng.IntN(100))
			}
			c.AddJob(spec, nil, rng.IntN(2) == 0, now)
			if rng.IntN(3) == 0 {
				c.Cancel(spec.ID, now)
			}
			now.Steady += time.Millisecond
			now.UnixMS++
			c.openOccurrences(now)
		}
		for range 2 {
			for _, j := range c.jobs {
				c.setFinal(j, job.Cancelled, "test", now)
				j.persisted = j.version
			}
			c.openOccurrences(now)
			c.dropOldJobs(now)
			now.Steady += time.Hour
		}
		if records, open, waiting := c.JobMemory(); records != 0 || open != 0 || waiting != 0 {
			t.Fatalf("records %d, open %d, waiting %d", records, open, waiting)
		}
	})
}

// TestEndedJobsAreKeptSmall guards against an owner that runs out of memory by jobs that have ended,
// and against forgetting of them what customers and workers may still ask for.
func TestEndedJobsAreKeptSmall(t *testing.T) {
	for _, stored := range []bool{false, true} {
		c := newMemoryCore(1 << 20)
		now := Instant{Steady: time.Second, UnixMS: 1_700_000_000_000}
		spec := jobOfWidth(1, 30)
		spec.Payload, spec.Steps[0].Image, spec.Steps[0].MemoryMiB = "text", "image", 7
		ended := &job.Progress{State: job.Failed, Reason: "its reason", EndedMS: now.UnixMS, Done: map[string][]byte{"0.0": {1}}}
		if stored {
			c.AddJob(spec, ended, true, now)
		} else {
			c.AddJob(spec, nil, false, now)
			j := c.jobs[spec.ID]
			before, _, _ := c.JobMemory()
			c.setFinal(j, job.Failed, "its reason", now)
			j.persisted, j.shown = j.version, job.Failed
			c.dropOldJobs(now)
			if after, open, _ := c.JobMemory(); open != 0 || after >= before {
				t.Errorf("%d bytes of %d are counted, %d open", after, before, open)
			}
		}
		c.dropOldJobs(now)
		if status, known := c.JobStatus(spec.ID); !known || status.State != job.Failed || status.Reason != "its reason" {
			t.Errorf("stored %v: %+v, known %v", stored, status, known)
		}
		if amount, unsized := c.sizeOf(job.TaskID{Job: spec.ID}); unsized || amount.cpu != 10 || amount.memory != 7 {
			t.Errorf("stored %v: the size of a late run is %+v, unknown %v", stored, amount, unsized)
		}
		c.AddJob(spec, nil, false, now)
		if c.builtTasks() != 0 {
			t.Errorf("stored %v: the job runs again", stored)
		}
		if spec.Payload != "text" || spec.Steps[0].Image != "image" {
			t.Errorf("stored %v: the caller's job was changed", stored)
		}
	}
}
