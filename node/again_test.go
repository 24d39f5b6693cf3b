package node_test

import (
	"fmt"
	"testing"
)

// A process that loses its lease and is elected again at once starts nothing twice:
// nothing of the earlier term is sent any more, and what runs is adopted.
//
// The end of the earlier term closes all connections to workers. That the next term
// does not meet the closed ones, one a poll, with pauses of up to 0.8 s in between, is
// for TestCallsAfterAbort to show; here it only took longer.
func TestElectedAgainInOneProcess(t *testing.T) {
	c := newCell(t, 1, 3)
	next := 1
	for want := uint64(2); want < 5; want++ {
		from := next
		for range 8 {
			c.submit(0, id(next), twoSteps)
			next++
		}
		c.owner() // jobs are accepted without one
		c.store.EndLeases()
		c.await(fmt.Sprintf("term %d", want), func() bool {
			_, term := c.term()
			return term == nthTerm(want)
		})
		for i := from; i < next; i++ {
			c.awaitState(0, id(i), "succeeded")
		}
	}
	if n, want := startsAt(c.workers), 6*(next-1); n != want {
		t.Errorf("%d starts of %d tasks", n, want)
	}
	c.checkRuns()
}
