package node_test

import (
	"fmt"
	"testing"
)

// A process that loses its lease and is elected again at once starts nothing twice: no
// request of the earlier term is sent any more, and running tasks are adopted.
//
// The end of the earlier term closes all connections to workers. TestCallsAfterAbort checks
// that the next term does not use the closed ones, one each poll, with pauses of up to 0.8 s
// in between; here that would only take longer.
func TestElectedAgainInOneProcess(t *testing.T) {
	c := newCell(t, 1, 3)
	next := 1
	for want := uint64(2); want < 5; want++ {
		from := next
		for range 8 {
			c.submit(0, id(next), twoSteps)
			next++
		}
		c.owner() // jobs are accepted even without an owner
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
