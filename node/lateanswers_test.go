package node_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"leverstile.dev/dispatch"
	"leverstile.dev/platform/wiretest"
)

// faultFirst injects a fault into the first call whose path has a prefix. It returns the
// count of such calls.
func (c *cell) faultFirst(path string, fault wiretest.Fault) *atomic.Int32 {
	seen := &atomic.Int32{}
	c.store.SetFault(func(_, called string) wiretest.Fault {
		if strings.HasPrefix(called, path) && seen.Add(1) == 1 {
			return fault
		}
		return wiretest.FaultNone
	})
	return seen
}

// term returns the owner of the cell and its term, from the store.
func (c *cell) term() (entry string, term uint64) {
	c.t.Helper()
	value, ok := c.store.Value("ls/own/lead")
	if !ok {
		return "", 0
	}
	var lead struct {
		Entry string `json:"entry"`
		Term  uint64 `json:"term"`
	}
	if err := json.Unmarshal(value, &lead); err != nil {
		c.t.Fatal(err)
	}
	return lead.Entry, lead.Term
}

// nthTerm is the first fencing token of the n-th term, n from 1.
func nthTerm(n uint64) uint64 { return 1 + (n-1)*dispatch.TokensPerTerm }

// An election whose write got no answer is retried, whether the write took effect or
// not. A write that takes effect late does not depose the owner elected meanwhile, and the
// lease that it names neither keeps nor ends the ownership.
func TestElectionsWithoutAnAnswer(t *testing.T) {
	for _, x := range []struct {
		name  string
		fault wiretest.Fault
		term  uint64
	}{
		{"carried out", wiretest.FaultLost, 2}, {"carried out, no answer", wiretest.FaultHeld, 2},
		{"not carried out", wiretest.FaultDrop, 1}, {"carried out later", wiretest.FaultLate, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := newCell(t, 0, 2)
			writes := c.faultFirst("/kv-txn", x.fault)
			c.nodes = append(c.nodes, c.startNode("entry-0"))
			c.await("the first election", func() bool { return writes.Load() > 0 })
			c.submit(0, id(1), twoSteps)
			c.awaitState(0, id(1), "succeeded")
			late := c.store.CarryOutLate()
			if (late > 0) != (x.fault == wiretest.FaultLate) {
				t.Errorf("%d late calls", late)
			}
			c.submit(0, id(2), twoSteps)
			c.awaitState(0, id(2), "succeeded")
			if _, term := c.term(); term != nthTerm(x.term) {
				t.Errorf("term %d, want the %d. one, %d", term, x.term, nthTerm(x.term))
			}
			c.checkRuns()
		})
	}
}

// A lease is revoked late, since the call of the owner that handed over took long: this
// must not end the lease of the next owner.
func TestLeaseEndedLate(t *testing.T) {
	c := newCell(t, 1, 2)
	c.submit(0, id(1), twoSteps)
	c.awaitState(0, id(1), "succeeded")
	c.nodes = append(c.nodes, c.startNode("entry-1"))
	c.faultFirst("/kv-lease-end/", wiretest.FaultLate)
	c.nodes[0].node.Drain()
	c.awaitOwner(1) // the lease expires
	before, _ := c.store.Value("ls/own/lead")
	if n := c.store.CarryOutLate(); n != 1 {
		t.Fatalf("%d late calls", n)
	}
	for i := 2; i < 6; i++ {
		c.submit(1, id(i), twoSteps)
		c.awaitState(1, id(i), "succeeded")
	}
	if after, _ := c.store.Value("ls/own/lead"); !bytes.Equal(before, after) {
		t.Errorf("owner %s became %s", before, after)
	}
	c.checkRuns()
}

// A store that is down for longer than the owner's lease causes no second start of a task,
// whether the leases are renewed when it returns or have expired.
func TestStoreDownForLongerThanLeases(t *testing.T) {
	const down = 3 * time.Second
	for _, wait := range []bool{true, false} {
		t.Run(fmt.Sprintf("leases wait %v", wait), func(t *testing.T) {
			c := newCell(t, 2, 3)
			c.submit(0, id(1), twoSteps)
			c.awaitState(0, id(1), "succeeded")
			const jobs = 12
			for i := 2; i < jobs; i++ {
				c.submit(i%2, id(i), twoSteps)
			}
			c.store.SetFault(func(string, string) wiretest.Fault { return wiretest.FaultDrop })
			time.Sleep(down)
			if wait {
				c.store.RenewLeases()
			}
			c.store.SetFault(nil)
			for i := 2; i < jobs; i++ {
				c.awaitState(i%2, id(i), "succeeded")
			}
			c.submit(0, id(jobs), twoSteps)
			c.awaitState(1, id(jobs), "succeeded")
			if n := startsAt(c.workers); n != 6*jobs {
				t.Errorf("%d starts of %d tasks", n, 6*jobs)
			}
			if _, term := c.term(); (term == 1) != wait {
				t.Errorf("term %d", term)
			}
			c.checkRuns()
		})
	}
}
