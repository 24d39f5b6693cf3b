package node_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"leverstile.dev/dispatch"
	"leverstile.dev/node"
	"leverstile.dev/platform"
	"leverstile.dev/platform/wiretest"
)

// polledAfterStart is longer than it takes until a worker was polled after a start.
const polledAfterStart = 2500 * time.Millisecond

// TestConnectionsThatFallSilentForGood: all connections between entries, to the store and to
// workers fall silent without a reset, several times, and new ones work. Jobs that are submitted
// afterwards run, a cancelled one is stopped, and earlier tasks keep running, under one start.
func TestConnectionsThatFallSilentForGood(t *testing.T) {
	c := newCell(t, 0, 0)
	var muters []*wiretest.BlackholeProxy
	wrap := func(address string) string {
		m, err := wiretest.NewBlackholeProxy(address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(m.Close)
		muters = append(muters, m)
		return m.Address()
	}
	for i := range 3 {
		o := wiretest.WorkerOptions{ID: fmt.Sprintf("i-%d", i), Service: "svc", Work: func(string) time.Duration { return time.Hour }, Wrap: wrap}
		c.workers = append(c.workers, wiretest.StartWorker(c.store, o))
	}
	for i := range 2 {
		set, name := metrics.NewSet(), fmt.Sprintf("entry-%d", i)
		store := platform.NewStore(wrap(c.store.Address()), set)
		params := dispatch.Params{MaxTaskLease: 6 * time.Second, OverTarget: 4 * time.Second, JobKept: time.Minute, RemoteFactor: 1}
		ports := node.Ports{Store: store, Lister: store, Workers: platform.NewWorkers(set, 0), Advisor: platform.NewAdvisor(""), VMs: platform.NewVMs("", name)}
		c.nodes = append(c.nodes, startNodeBehind(name, params, ports, set, wrap))
	}
	const perJob = 6
	body := fmt.Sprintf(`{"spec":"s","steps":[{"count":%d,"cpu":500}]}`, perJob)
	last := 0
	submit := func(at int) {
		last++
		c.submit(at, id(last), body)
		c.await("the starts of "+id(last), func() bool { return startsAt(c.workers) == last*perJob })
	}
	submit(0)
	for round := range 3 {
		time.Sleep(polledAfterStart) // a run's lease is short until the worker was polled after its start
		for _, m := range muters {
			m.Blackhole()
		}
		submit(round % 2)
		submit((round + 1) % 2)
	}
	time.Sleep(polledAfterStart)
	for _, m := range muters {
		m.Blackhole()
	}
	c.await("the cancellation", func() bool { status, _, _ := c.call(0, "DELETE", id(1), ""); return status/100 == 2 })
	c.await("the end of the cancelled tasks", func() bool {
		return c.workers[0].Running()+c.workers[1].Running()+c.workers[2].Running() == (last-1)*perJob
	})
	for _, w := range c.workers {
		for task, n := range w.Starts() {
			if n != 1 {
				t.Errorf("task %s was started %d times", task, n)
			}
		}
	}
	for n := 2; n <= last; n++ {
		if status, text, _ := c.call(1, "GET", id(n), ""); status != 200 || !strings.Contains(text, `"running"`) {
			t.Errorf("job %s: %d %s", id(n), status, text)
		}
	}
}
