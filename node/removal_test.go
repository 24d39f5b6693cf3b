package node_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/juju/errors"

	"leverstile.dev/kv"
	"leverstile.dev/node"
)

// lostRemoval is a store that carries out the first removal of jobs' records and loses the
// answer; it calls then before the caller learns of the loss.
type lostRemoval struct {
	node.Store
	lost bool
	then func()
}

// Do implements kv.Store.
func (s *lostRemoval) Do(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	removal := false
	for _, op := range txn.Then {
		removal = removal || op.Kind == kv.OpDelete && strings.HasPrefix(op.Key, "ls/in/job/")
	}
	res, err := s.Store.Do(ctx, txn)
	if !removal || s.lost || err != nil || !res.Succeeded {
		return res, err
	}
	s.lost = true
	s.then()
	return kv.TxnResult{}, errors.Trace(kv.ErrUnavailable)
}

// TestRetriedRemovalKeepsNewJobs: the records of an old job are removed, the answer
// is lost, and a new job is submitted under the same id before the removal is retried.
//
// The test guards against a retry that removes the new job's record: its customer was told
// that it is accepted, and it would never be shown as done.
func TestRetriedRemovalKeepsNewJobs(t *testing.T) {
	c := newCell(t, 0, 1)
	c.jobKept = 0
	store := &lostRemoval{}
	again := make(chan struct{})
	store.then = func() {
		defer close(again)
		c.submit(0, id(1), twoSteps)
	}
	c.wrap = func(_ string, s node.Store) node.Store {
		store.Store = s
		return store
	}
	c.nodes = append(c.nodes, c.startNode("entry-0"))
	c.submit(0, id(1), twoSteps)
	c.await("the first job's end", func() bool { return c.startsOf(id(1)) == 6 })
	<-again
	c.await("the second job's end", func() bool { return c.startsOf(id(1)) == 12 })
	c.checkRuns()
}

// lateSubmissions is a store that does not answer writes of one job's record; the first of
// them is carried out when the test does so.
type lateSubmissions struct {
	node.Store
	key  string
	held chan kv.Txn
}

// Do implements kv.Store.
func (s *lateSubmissions) Do(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	for _, op := range txn.Then {
		if op.Key == s.key {
			select {
			case s.held <- txn:
			default: // one is enough
			}
			return kv.TxnResult{}, errors.Trace(kv.ErrUnavailable)
		}
	}
	return s.Store.Do(ctx, txn)
}

// TestCancelledBeforeItWasRecorded: a submission is in flight at the store while its customer
// cancels the job and is told that there is none. The job is recorded later, and must not
// run, under this owner and the next one.
func TestCancelledBeforeItWasRecorded(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		t.Run(fmt.Sprintf("takeover %v", takeover), func(t *testing.T) {
			c := newCell(t, 0, 1)
			held := make(chan kv.Txn, 1)
			var plain node.Store
			c.wrap = func(_ string, s node.Store) node.Store {
				plain = s
				return &lateSubmissions{Store: s, key: "ls/in/job/" + id(1), held: held}
			}
			c.nodes = append(c.nodes, c.startNode("entry-0"), c.startNode("entry-1"))
			c.submit(0, id(9), twoSteps)
			c.awaitState(1, id(9), "succeeded")
			if status, _, _ := c.call(0, "POST", id(1), twoSteps); status != http.StatusGatewayTimeout {
				t.Fatalf("submission without an answer of the store: %d", status)
			}
			if status, _, _ := c.call(1, "DELETE", id(1), ""); status != http.StatusGone {
				t.Fatalf("cancelling a job that is not there: %d", status)
			}
			if takeover {
				for _, n := range c.nodes {
					n.close()
				}
				c.nodes = append(c.nodes[:0], c.startNode("entry-2"))
			}
			if res, err := plain.Do(context.Background(), <-held); err != nil || !res.Succeeded {
				t.Fatalf("the late write: %+v, %v", res, err)
			}
			c.awaitState(0, id(1), "cancelled")
			c.submit(0, id(10), twoSteps)
			c.awaitState(0, id(10), "succeeded")
			if n := c.startsOf(id(1)); n > 0 {
				t.Errorf("%d starts of a cancelled job", n)
			}
		})
	}
}
