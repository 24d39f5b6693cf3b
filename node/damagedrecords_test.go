package node_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"leverstile.dev/job"
	"leverstile.dev/platform/wiretest"
)

// Damaged or unknown entries in the list of workers, written by others, hide no worker, and
// the owner calls no address of an undeclared service.
func TestInvalidEntriesHideNoWorker(t *testing.T) {
	c := newCell(t, 0, 2)
	for i, value := range []string{"null", "[1", "\xff", `{"service":7}`, `{"service":"svc","state":"parked","zone":"a","address":"127.0.0.1:1","capacity":{"cpu":1}}`} {
		c.store.Put(fmt.Sprintf("servers/i-bad-%d", i), []byte(value))
	}
	c.store.Put("servers/i-other", fmt.Appendf(nil, `{"service":"other","state":"ready","zone":"a","address":"%s","capacity":{"cpu":1000}}`, c.store.Address()))
	c.nodes = append(c.nodes, c.startNode("entry-0"))
	c.runJobs(1, 5)
	c.checkRuns()
}

// A worker whose entry is overwritten by an unreadable value gets no new tasks, and its
// running tasks continue: such an entry does not mean that the worker drains.
func TestOverwrittenEntryStopsNothing(t *testing.T) {
	c := newCell(t, 0, 0)
	for i := range 2 {
		c.workers = append(c.workers, wiretest.NewWorker(c.store, fmt.Sprintf("i-%d", i), "svc", time.Hour))
	}
	c.nodes = append(c.nodes, c.startNode("entry-0"))
	// The worker that is read first gets all submitted tasks until the other is read.
	const perJob = 4
	jobs := 0
	c.await("starts at each worker", func() bool {
		jobs++
		c.submit(0, id(jobs), `{"spec":"s","steps":[{"count":4,"cpu":500}]}`)
		c.await("the starts", func() bool { return startsAt(c.workers) == jobs*perJob })
		return c.workers[0].Running() > 0 && c.workers[1].Running() > 0
	})
	before := map[string]int{}
	for _, w := range c.workers {
		before[w.ID] = w.Running()
	}
	for _, w := range c.workers {
		c.store.Put("servers/"+w.ID, []byte(`{"service":"svc","state":"??"`))
	}
	next := jobs + 1
	c.await("a job that waits, since no worker is usable", func() bool {
		c.submit(0, id(next), `{"spec":"s","steps":[{"count":1,"cpu":500}]}`)
		next++
		status, text, _ := c.call(0, "GET", "", "")
		return status == http.StatusOK && text != `{"pending":0}`
	})
	for _, w := range c.workers {
		for task, starts := range w.Starts() {
			if starts != 1 {
				t.Errorf("task %s was started %d times", task, starts)
			}
		}
		if n := w.Running(); n < before[w.ID] {
			t.Errorf("%d tasks run at %s, where %d ran before", n, w.ID, before[w.ID])
		}
	}
}

// When one job's record, another one's progress, the list of workers with orders and the stored
// models are damaged, the next owner continues with all other jobs and starts nothing again.
func TestDamagedRecordsBlockNothing(t *testing.T) {
	c := newCell(t, 1, 2)
	c.runJobs(1, 4)
	c.await("the stored progress", func() bool {
		_, ok := c.store.Value("ls/progress/" + id(3))
		return ok
	})
	c.nodes[0].close()
	c.nodes = nil
	c.store.Put("ls/in/job/"+id(1), []byte("{"))
	c.store.Put("ls/in/job/"+id(8), []byte(`{"id":"x"}`))
	progress := job.Progress{State: job.Running, Done: map[string][]byte{"0.9": {255}}}
	c.store.Put("ls/progress/"+id(2), marshal(t, &progress))
	c.store.Put("ls/progress/"+id(3), []byte(`"gone"`))
	c.store.Put("ls/own/roster", []byte("[{"))
	c.store.Put("ls/own/learnt", []byte("7"))
	c.store.Put("ls/own/lead", []byte("nobody"))
	before := startsAt(c.workers)
	c.nodes = append(c.nodes, c.startNode("entry-next"))
	c.runJobs(10, 12)
	c.store.Compact() // all jobs are read again, and the damaged ones seem to be new
	c.runJobs(20, 22)
	time.Sleep(2 * time.Second) // a watch under way ends within 1.5 s
	c.runJobs(30, 32)
	if n := startsAt(c.workers) - before; n != 36 {
		t.Errorf("%d starts for 36 new tasks: something was started again", n)
	}
	if status, _, _ := c.call(0, "GET", id(3), ""); status != http.StatusServiceUnavailable {
		t.Errorf("the state of a job with damaged progress gets status %d", status)
	}
	if status, text, _ := c.call(0, "GET", id(1), ""); status != http.StatusOK {
		t.Errorf("a job whose progress is undamaged: %d %s", status, text)
	}
	c.checkRuns()
}

func marshal(t *testing.T, v any) []byte {
	t.Helper()
	value, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// TestOddEntriesEndNoNode guards against a node that ends, or stops following the list of workers,
// after another writer left an entry that is nested deeply or holds numbers out of range: in bulk,
// replaced again and again, and in place of the records of owners.
func TestOddEntriesEndNoNode(t *testing.T) {
	c := newCell(t, 0, 1)
	odd := wiretest.OddEntries(20_000)
	for i, e := range odd {
		c.store.Put(fmt.Sprintf("servers/i-odd-%d", i), e.Value)
	}
	c.nodes = append(c.nodes, c.startNode("entry-0"))
	c.runJobs(1, 5)
	for i := range 3 * len(odd) {
		c.store.Put("servers/i-replaced", odd[i%len(odd)].Value)
	}
	c.workers = append(c.workers, wiretest.NewWorker(c.store, "i-after", "svc", 100*time.Millisecond))
	c.workers[1].OnRun(c.recordRun)
	next := 10
	c.await("a start at the worker that is listed after the odd entries", func() bool {
		next++
		c.runJobs(next, next+1)
		return len(c.workers[1].Starts()) > 0
	})
	for _, key := range []string{"roster/00000", "roster/00001", "seals", "elapsed", "learnt", "unheard", "queues", "settled"} {
		c.store.Put("ls/own/"+key, odd[0].Value)
	}
	c.nodes[0].stop()
	c.nodes = append(c.nodes, c.startNode("entry-1"))
	c.awaitOwner(1)
	c.submit(1, id(next+2), oneTask)
	c.awaitState(1, id(next+2), "succeeded")
	c.checkRuns()
}
