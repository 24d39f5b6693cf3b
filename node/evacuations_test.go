package node_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"leverstile.dev/kv"
	"leverstile.dev/node"
	"leverstile.dev/platform"
	"leverstile.dev/platform/wiretest"
)

// zoned returns a cell with the same number of workers in zones b and c.
func newZonedCell(t *testing.T, nodes, each int) (c *cell, inB, inC []*wiretest.Worker) {
	c = newCell(t, 0, 0)
	for i := range each {
		for zone, list := range map[string]*[]*wiretest.Worker{"b": &inB, "c": &inC} {
			w := wiretest.NewWorkerInZone(c.store, zone, fmt.Sprintf("i-%s-%d", zone, i), "svc", 30*time.Millisecond)
			w.OnRun(c.recordRun)
			*list = append(*list, w)
			c.workers = append(c.workers, w)
		}
	}
	for i := range nodes {
		c.nodes = append(c.nodes, c.startNode(fmt.Sprintf("entry-%d", i)))
	}
	return c, inB, inC
}

func startsAt(workers []*wiretest.Worker) int {
	n := 0
	for _, w := range workers {
		for _, s := range w.Starts() {
			n += s
		}
	}
	return n
}

// play submits jobs and waits for their success.
func (c *cell) runJobs(from, to int) {
	for i := from; i < to; i++ {
		c.submit(i%len(c.nodes), id(i), twoSteps)
	}
	for i := from; i < to; i++ {
		c.awaitState(i%len(c.nodes), id(i), "succeeded")
	}
}

// awaitNoStarts submits jobs until none of them starts at the workers; it returns the
// number of starts at them.
func (c *cell) awaitNoStarts(workers []*wiretest.Worker, next *int) int {
	before := -1
	c.await("an end of starts", func() bool {
		n := startsAt(workers)
		if n == before {
			return true
		}
		before = n
		c.runJobs(*next, *next+6)
		*next += 6
		return false
	})
	return before
}

// An evacuated data centre gets no tasks until its evacuation is lifted, also under the next
// owner, with an unreadable value of the key, and after the store compacted its history.
func TestEvacuatedDataCentreGetsNothing(t *testing.T) {
	c, inB, inC := newZonedCell(t, 2, 2)
	next := 1
	c.runJobs(next, next+6)
	next += 6
	if startsAt(inB) == 0 || startsAt(inC) == 0 {
		t.Fatal("not all workers are used")
	}
	c.store.Put("op/evacuate/b", []byte("\xff{"))
	c.store.Compact()
	before := c.awaitNoStarts(inB, &next)
	owner := c.owner()
	c.nodes[owner].close()
	c.nodes[owner] = c.startNode("entry-next")
	c.runJobs(next, next+12)
	next += 12
	if n := startsAt(inB); n != before {
		t.Errorf("%d starts after the change of owners", n-before)
	}
	c.store.Delete("op/evacuate/b")
	c.await("starts after the evacuation", func() bool {
		c.runJobs(next, next+6)
		next += 6
		return startsAt(inB) > before
	})
	c.checkRuns()
}

// owner returns the index of the node that owns the cell.
func (c *cell) owner() int {
	c.t.Helper()
	owner := -1
	c.await("an owner", func() bool {
		value, ok := c.store.Value("ls/own/lead")
		for i := range c.nodes {
			if ok && strings.Contains(string(value), `"`+c.nodes[i].address+`"`) {
				owner = i
			}
		}
		return owner >= 0
	})
	return owner
}

// blindStore hides the operators' keys from a node while blind is set.
type blindStore struct {
	*platform.Store
	mu    sync.Mutex
	blind bool
}

func (s *blindStore) set(blind bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blind = blind
}

func (s *blindStore) hides(prefix string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.blind && strings.HasPrefix(prefix, platform.OperatorPrefix)
}

func (s *blindStore) Range(ctx context.Context, prefix string) ([]kv.Pair, int64, error) {
	if s.hides(prefix) {
		return nil, 0, kv.ErrNotDone
	}
	return s.Store.Range(ctx, prefix)
}

func (s *blindStore) Watch(ctx context.Context, prefix string, after int64, handle func(int64, []kv.Event)) error {
	err := kv.ErrNotDone
	_ = s.Store.Watch(ctx, prefix, after, func(rev int64, events []kv.Event) {
		if !s.hides(prefix) {
			handle(rev, events)
		}
	})
	return err
}

// An owner whose own reads of the operators' keys fail receives an evacuation from the
// other entries.
func TestOwnerReceivesEvacuationsFromEntries(t *testing.T) {
	c, inB, _ := newZonedCell(t, 0, 2)
	stores := map[string]*blindStore{}
	c.wrap = func(name string, s node.Store) node.Store {
		b := &blindStore{Store: s.(*platform.Store)}
		stores[name] = b
		return b
	}
	c.nodes = append(c.nodes, c.startNode("entry-0"))
	c.owner()
	c.nodes = append(c.nodes, c.startNode("entry-1"), c.startNode("entry-2"))
	next := 1
	c.runJobs(next, next+6)
	next += 6
	stores["entry-0"].set(true)
	c.store.Put("op/evacuate/b", []byte("{}"))
	before := c.awaitNoStarts(inB, &next)
	c.runJobs(next, next+12)
	if n := startsAt(inB); n != before {
		t.Errorf("%d starts after the evacuation took effect", n-before)
	}
}
