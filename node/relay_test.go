package node_test

import (
	"bytes"
	"strconv"
	"strings"
	"testing"
)

// weakLink carries 2 calls a second: with three workers the owner needs relays.
const weakLink = 10_000

// workerCalls returns how many calls to workers a node has made.
func (tn *testNode) workerCalls(t *testing.T) int {
	t.Helper()
	var text bytes.Buffer
	tn.set.WritePrometheus(&text)
	for line := range strings.Lines(text.String()) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "leverstile_worker_calls_total "); ok {
			n, err := strconv.Atoi(value)
			if err != nil {
				t.Fatal(err)
			}
			return n
		}
	}
	t.Fatal("no count of calls")
	return 0
}

// relaying returns the nodes that make calls, after jobs were handed in until two do.
func (c *cell) relaying(first int) (list []*testNode, next int) {
	c.t.Helper()
	next = first
	c.await("calls by two nodes", func() bool {
		c.submit(0, id(next), twoSteps)
		c.awaitState(0, id(next), "succeeded")
		next++
		list = nil
		for _, n := range c.nodes {
			if n.workerCalls(c.t) > 0 {
				list = append(list, n)
			}
		}
		return len(list) >= 2
	})
	return list, next
}

// TestWeakOwnerHasItsCallsRelayed: jobs run through entries that make the owner's
// calls, no task runs twice, and the owner's death is survived.
func TestWeakOwnerHasItsCallsRelayed(t *testing.T) {
	c := newCellOf(t, 3, 3, weakLink)
	_, next := c.relaying(1)
	for i := range c.nodes {
		if o := c.nodes[i]; o.node.Owner() {
			o.close()
			c.nodes = append(c.nodes[:i], c.nodes[i+1:]...)
			break
		}
	}
	for i := range 5 {
		c.submit(i%2, id(next+i), twoSteps)
	}
	for i := range 5 {
		c.awaitState(i%2, id(next+i), "succeeded")
	}
	c.checkRuns()
}

// TestRelayDies: the workers of an entry that ends are called another way, before
// their leases end.
func TestRelayDies(t *testing.T) {
	c := newCellOf(t, 3, 3, weakLink)
	list, next := c.relaying(1)
	for i, n := range c.nodes {
		if !n.node.Owner() && (n == list[0] || n == list[1]) {
			n.close()
			c.nodes = append(c.nodes[:i], c.nodes[i+1:]...)
			break
		}
	}
	for i := range 5 {
		c.submit(0, id(next+i), twoSteps)
	}
	for i := range 5 {
		c.awaitState(0, id(next+i), "succeeded")
	}
	starts := 0
	for _, w := range c.workers {
		for _, n := range w.Starts() {
			starts += n
		}
	}
	if want := (next + 4) * 6; starts != want {
		t.Errorf("%d starts of %d tasks", starts, want)
	}
	c.checkRuns()
}
