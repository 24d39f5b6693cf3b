package node_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"leverstile.dev/platform/wiretest"
)

// newPolicyCell starts a cell with one node whose queue consults a placement policy.
func newPolicyCell(t *testing.T, p *wiretest.Policy, workers int) *cell {
	t.Cleanup(p.Server.Close)
	c := newCell(t, 0, workers)
	c.advisor = p.Address()
	c.store.Put("op/config", []byte(strings.Replace(fmt.Sprintf(configText, 2), `"stretch":2}`, `"stretch":2,`+p.Terms()+`}`, 1)))
	for _, w := range c.workers {
		w.NeedTickets(p)
	}
	c.nodes = append(c.nodes, c.startNode("entry-0"))
	return c
}

// A queue with a placement policy starts its tasks only on workers that the policy allows, with
// their tickets; a call that fails is retried.
func TestQueueWithPlacementPolicy(t *testing.T) {
	p := wiretest.NewPolicy(time.Millisecond, 0, time.Minute)
	p.Grants = func(step, worker string) bool { return worker == "i-1" }
	p.Reject(1)
	c := newPolicyCell(t, p, 3)
	c.submit(0, id(1), twoSteps)
	c.awaitState(0, id(1), "succeeded")
	for i, w := range c.workers {
		if n := len(w.Starts()); (n > 0) != (i == 1) {
			t.Errorf("worker %d started %d tasks", i, n)
		}
	}
	stats := p.Stats()
	for step := range stats.Steps {
		if !strings.HasPrefix(step, id(1)+".0.") {
			t.Errorf("asked for step %s", step)
		}
	}
	if stats.Rejected != 1 || stats.RefusedStarts != 0 {
		t.Errorf("%+v", stats)
	}
}

// TestBurstOnQueueWithPolicyDrains guards against calls to the placement policy that wait for so
// long before they are sent that their tickets count as expired on arrival: each step then asked
// again behind all others, and no job of the queue started any more.
func TestBurstOnQueueWithPolicyDrains(t *testing.T) {
	const jobs = 40
	p := wiretest.NewPolicy(40*time.Millisecond, 0, 800*time.Millisecond)
	c := newPolicyCell(t, p, 4)
	for i := range jobs {
		c.submit(0, id(1+i), `{"spec":"s","steps":[{"count":1,"cpu":500,"mem_mb":100}]}`)
	}
	for i := range jobs {
		c.awaitState(0, id(1+i), "succeeded")
	}
	c.checkRuns()
	if stats := p.Stats(); stats.MaxWaiting > 1 || stats.Rejected > 0 {
		t.Errorf("%+v", stats)
	}
}

// TestWideGangWithPolicy guards against a gang that spreads over more workers than one request
// used to name, and that never starts.
func TestWideGangWithPolicy(t *testing.T) {
	const members = 32
	c := newPolicyCell(t, wiretest.NewPolicy(10*time.Millisecond, time.Millisecond, 3*time.Second), members+2)
	c.submit(0, id(1), fmt.Sprintf(`{"spec":"s","steps":[{"count":%d,"cpu":500,"mem_mb":100,"gang":true,"anti_affinity":1}]}`, members))
	c.awaitState(0, id(1), "succeeded")
	c.checkRuns()
}
