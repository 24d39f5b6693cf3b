package node_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"

	"leverstile.dev/dispatch"
	"leverstile.dev/job"
	"leverstile.dev/kv"
	"leverstile.dev/node"
	"leverstile.dev/platform/wiretest"
)

// slowWrites is a store that carries out the first write of a job's progress, and
// delays the answer to it.
type slowWrites struct {
	node.Store
	job            string
	progressWrites atomic.Int32
	answer         time.Duration
}

// Do implements kv.Store.
func (s *slowWrites) Do(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	progress := false
	for _, op := range txn.Then {
		progress = progress || op.Kind == kv.OpPut && op.Key == "ls/progress/"+s.job
	}
	res, err := s.Store.Do(ctx, txn)
	if progress && s.progressWrites.Add(1) == 1 {
		select {
		case <-ctx.Done():
			return kv.TxnResult{}, errors.Trace(kv.ErrUnavailable)
		case <-time.After(s.answer):
		}
	}
	return res, err
}

// TestHandoverWritesAfterAnAbortedWrite: an owner that hands over writes its unwritten
// changes also if a write was in flight when it was stopped.
//
// The write that the end of the ownership aborts is carried out nevertheless, so that the
// next one is refused once and must be repeated. A busy owner of a slow store, which
// takes 0.36 s, nearly always has a write in flight.
func TestHandoverWritesAfterAnAbortedWrite(t *testing.T) {
	for name, answer := range map[string]time.Duration{"slow": 360 * time.Millisecond, "lost": time.Hour} {
		t.Run(name, func(t *testing.T) { handOverWhileWriting(t, &slowWrites{job: id(1), answer: answer}) })
	}
}

func handOverWhileWriting(t *testing.T, store *slowWrites) {
	c := newCell(t, 0, 0)
	c.workers = append(c.workers, wiretest.StartWorker(c.store, wiretest.WorkerOptions{ID: "i-0", Service: "svc", Work: func(task string) time.Duration {
		if strings.HasPrefix(task, id(0)) {
			return time.Hour
		}
		return 30 * time.Millisecond
	}}))
	c.wrap = func(_ string, s node.Store) node.Store {
		store.Store = s
		return store
	}
	c.nodes = append(c.nodes, c.startNode("entry-0"))
	c.submit(0, id(0), oneTask) // while something runs, the worker is polled all the time
	c.awaitState(0, id(0), "running")
	c.await("a start", func() bool { return c.startsOf(id(0)) == 1 })
	time.Sleep(time.Second) // an idle worker is polled every half second
	c.submit(0, id(1), twoSteps)
	c.await("the second step", func() bool { return c.startsOf(id(1)) == 6 }) // the owner has processed the end of the first
	if n := store.progressWrites.Load(); n != 1 {
		t.Fatalf("%d writes of progress, want one that waits", n)
	}
	c.nodes[0].node.Drain()
	c.await("the end of the lease", func() bool {
		_, held := c.store.Value("ls/own/lead")
		return !held
	})
	value, _ := c.store.Value("ls/progress/" + id(1))
	progress, err := dispatch.DecodeProgress(value)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 4 {
		if !progress.IsDone(job.TaskID{Job: id(1), Index: i}) {
			t.Errorf("task %d of the first step was not recorded as done: %s", i, value)
		}
	}
}
