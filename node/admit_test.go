package node_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"leverstile.dev/platform/wiretest"
)

// TestLongRunningJobWithoutCapacityIsRefusedUnrecorded: a long-running job that finds no capacity
// beside what short tasks need is refused at once, at any entry, with a time to retry, and the
// store holds no record of it.
func TestLongRunningJobWithoutCapacityIsRefusedUnrecorded(t *testing.T) {
	c := newCell(t, 2, 0)
	const workers, work = 8, time.Minute
	for i := range workers {
		c.workers = append(c.workers, wiretest.NewWorker(c.store, fmt.Sprintf("i-%d", i), "svc", work))
	}
	c.submit(0, id(1), `{"spec":"s","steps":[{"count":6,"cpu":8000,"mem_mb":100}]}`)
	c.awaitState(0, id(1), "running")
	longRunning := func(count int) string {
		return fmt.Sprintf(`{"spec":"s","steps":[{"count":%d,"cpu":8000,"mem_mb":100,"long_running":true}]}`, count)
	}
	for n := range c.nodes {
		job := id(10 + n)
		c.await("a refusal", func() bool {
			status, _, header := c.call(n, "POST", job, longRunning(100))
			if status == http.StatusOK { // before the owner saw what capacity short tasks need
				job = id(20 + len(c.store.Keys("ls/in/job/")))
				return false
			}
			seconds, err := strconv.Atoi(header.Get("Retry-After"))
			if status != http.StatusTooManyRequests || err != nil || seconds < 1 || seconds > 10 {
				t.Fatalf("status %d, Retry-After %q", status, header.Get("Retry-After"))
			}
			return true
		})
		if _, held := c.store.Value("ls/in/job/" + job); held {
			t.Errorf("the store holds a job that was refused at entry %d", n)
		}
	}
}

// TestRecordedJobIsNotRefused: its customer would take the refusal to mean that it will never run.
func TestRecordedJobIsNotRefused(t *testing.T) {
	c := newCell(t, 2, 0)
	const workers, work = 8, time.Minute
	for i := range workers {
		c.workers = append(c.workers, wiretest.NewWorker(c.store, fmt.Sprintf("i-%d", i), "svc", work))
	}
	body := `{"spec":"s","steps":[{"count":100,"cpu":8000,"mem_mb":100,"long_running":true}]}`
	c.submit(0, id(1), body) // no short task was seen: the job waits for capacity
	c.submit(0, id(2), `{"spec":"s","steps":[{"count":6,"cpu":2000,"mem_mb":100}]}`)
	c.await("a refusal of another job", func() bool {
		status, _, _ := c.call(0, "POST", id(10+len(c.store.Keys("ls/in/job/"))), body)
		return status == http.StatusTooManyRequests
	})
	for n := range c.nodes {
		if status, _, _ := c.call(n, "POST", id(1), body); status != http.StatusOK {
			t.Errorf("a recorded job submitted again at entry %d gets %d", n, status)
		}
	}
}
