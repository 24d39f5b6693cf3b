package node_test

import (
	"context"
	"strings"
	"testing"

	"github.com/juju/errors"

	"leverstile.dev/kv"
	"leverstile.dev/node"
)

// lostRemoval is a store that carries out the first removal of jobs' records and loses the
// answer; then runs before the caller hears of that.
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

// TestRemovalThatIsMadeAgainKeepsNewJobs: the records of an old job are removed, the answer
// is lost, and a new job comes under the same id before the removal is made again.
//
// Its customer was told that it is accepted; the second removal took its record away, and the
// job was never shown as done.
func TestRemovalThatIsMadeAgainKeepsNewJobs(t *testing.T) {
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
