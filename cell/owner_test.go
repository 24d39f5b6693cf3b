package cell

import (
	"testing"
	"time"
)

// TestUncommittedEndsCauseNoCallLoop guards against repeated calls while an end
// waits for its commit, when the worker would answer each idle call at once.
func TestUncommittedEndsCauseNoCallLoop(t *testing.T) {
	rolls := 0
	s := newSim(func(_ string, n int) int { rolls++; return rolls % n }, mutation{})
	if err := s.run(2*time.Second, -1); err != nil {
		t.Fatal(err)
	}
	n := s.ownerOr(s.nodes[0])
	for k := range 4 {
		s.submit(n, k)
	}
	if err := s.run(500*time.Millisecond, -1); err != nil {
		t.Fatal(err)
	}
	n.storeCut = true
	calls := 0
	for end := s.now + 2*time.Second; s.now < end; s.now += 10 * time.Millisecond {
		n.owner.Tick(s.clock(n))
		for range 20 {
			if err := s.collect(n); err != nil {
				t.Fatal(err)
			}
			n.store = nil
			calls += len(n.syncs)
			for range len(n.syncs) {
				s.answerAtOnce(n)
			}
		}
	}
	// Three workers, a heartbeat each second, some starts and stops.
	if calls > 40 {
		t.Errorf("%d calls to 3 workers in 2 s without the store", calls)
	}
	if len(s.acked) == 0 {
		t.Error("no submission was acknowledged, so the test exercised nothing")
	}
}

// answerAtOnce delivers a call as a worker does that holds idle calls: it sends no
// answer while it has no updates.
func (s *sim) answerAtOnce(n *node) {
	c := n.syncs[0]
	n.syncs = n.syncs[1:]
	reply := s.worker(c.Worker).Sync(s.now, c.Request)
	if c.Request.WaitMS > 0 && len(reply.Ended) == 0 {
		return
	}
	n.owner.WorkerAnswer(s.clock(n), c.Worker, c.Request.Term, c.Request.Seq, reply, nil)
}
