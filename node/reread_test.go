package node_test

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"

	"leverstile.dev/kv"
	"leverstile.dev/node"
)

const intakePrefix = "ls/in/"

// removals is a store that counts, and may refuse, the removals of jobs' records,
// and that can withhold the watch of jobs.
type removals struct {
	node.Store
	refused   bool
	seen      atomic.Int32
	rereads   atomic.Int32
	withheld  atomic.Bool
	intakeRev atomic.Int64 // the newest revision reported by the watch of jobs
}

// Do implements kv.Store.
func (s *removals) Do(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	removes := false
	for _, op := range txn.Then {
		removes = removes || op.Kind == kv.OpDelete && strings.HasPrefix(op.Key, intakePrefix)
	}
	if removes && s.refused {
		s.seen.Add(1)
		return kv.TxnResult{}, errors.Trace(kv.ErrNotDone)
	}
	res, err := s.Store.Do(ctx, txn)
	if removes && err == nil && res.Succeeded {
		s.seen.Add(1)
	}
	return res, err
}

// Range implements kv.Store.
func (s *removals) Range(ctx context.Context, prefix string) ([]kv.Pair, int64, error) {
	if prefix == intakePrefix {
		defer s.rereads.Add(1)
	}
	return s.Store.Range(ctx, prefix)
}

// Watch implements kv.Store.
func (s *removals) Watch(ctx context.Context, prefix string, after int64, handle func(int64, []kv.Event)) error {
	if prefix != intakePrefix {
		return s.Store.Watch(ctx, prefix, after, handle)
	}
	for s.withheld.Load() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
	return s.Store.Watch(ctx, prefix, after, func(rev int64, events []kv.Event) {
		handle(rev, events)
		s.intakeRev.Store(rev)
	})
}

// awaitDecisions waits until an owner answers a node: hints sent earlier are lost.
func (c *cell) awaitDecisions(n int) {
	c.t.Helper()
	c.await("an owner's answer", func() bool {
		status, _, _ := c.call(n, "GET", "", "")
		return status == http.StatusOK
	})
}

// newRemovalsCell returns a cell of one node that removes ended jobs soon.
func newRemovalsCell(t *testing.T, store *removals) *cell {
	c := newCell(t, 0, 1)
	c.jobKept = 10 * time.Millisecond
	c.wrap = func(_ string, s node.Store) node.Store {
		store.Store = s
		return store
	}
	c.nodes = append(c.nodes, c.startNode("entry-0"))
	return c
}

// TestDroppedJobsAreNotRunAgain guards against a second run of an ended job after the store has
// compacted its history. The owner drops an ended job from its memory, and removes its records
// later, when no other write is waiting. If its watch of jobs fails in between, it reads all
// records again, and would take those of the dropped job for a new one. A busy owner always has
// other writes waiting.
func TestDroppedJobsAreNotRunAgain(t *testing.T) {
	store := &removals{refused: true}
	c := newRemovalsCell(t, store)
	c.submit(0, id(1), twoSteps)
	c.await("the job is dropped", func() bool { return store.seen.Load() > 0 })
	loads := store.rereads.Load()
	c.await("a new read of all jobs", func() bool {
		c.store.Put("ls/elsewhere", nil) // the watch is behind
		c.store.Compact()
		return store.rereads.Load() > loads
	})
	c.submit(0, id(2), twoSteps)
	c.await("a later job", func() bool { return c.startsOf(id(2)) == 6 })
	if n := c.startsOf(id(1)); n != 6 {
		t.Errorf("%d starts of 6 tasks", n)
	}
}

// TestRemovedJobsAreNotRunAgain guards against a second run of a job that the watch reports only
// after its records were removed: the owner received it by a hint, while its watch was silent for
// longer than records of ended jobs are kept.
func TestRemovedJobsAreNotRunAgain(t *testing.T) {
	store := &removals{}
	store.withheld.Store(true)
	c := newRemovalsCell(t, store)
	c.awaitDecisions(0)
	c.submit(0, id(1), twoSteps)
	c.await("the removal of the job", func() bool { return store.seen.Load() > 0 })
	store.withheld.Store(false)
	c.await("the watch of jobs", func() bool { return store.intakeRev.Load() > 0 })
	c.submit(0, id(2), twoSteps)
	c.await("a later job", func() bool { return c.startsOf(id(2)) == 6 })
	if n := c.startsOf(id(1)); n != 6 {
		t.Errorf("%d starts of 6 tasks", n)
	}
}
