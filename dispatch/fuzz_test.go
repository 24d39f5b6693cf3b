package dispatch

import (
	"flag"
	"testing"
	"time"

	"leverstile.dev/job"
)

var simSeeds = flag.Uint64("dispatch.seeds", 60, "seeds of the simulated faults")

// faultsRun plays one seed: jobs come while workers crash, are cut off and
// answer late, owners die, freeze and lose the store.
func faultsRun(seed uint64, mutate func(c *Core)) *sim {
	s := newSim(seed, 4+int(seed%4))
	s.mutate = mutate
	s.failShare = 0.05
	s.lossShare = 0.02 * float64(seed%4)
	id := 0
	for s.now < 40*time.Second && len(s.oracle.broken) == 0 {
		s.step()
		if s.rng.IntN(25) == 0 {
			id++
			s.submit(simpleJob(id, 1+s.rng.IntN(4), 1+s.rng.IntN(3), 1+s.rng.IntN(2)))
		}
		if s.rng.IntN(100) == 0 {
			s.fault()
		}
	}
	s.calm()
	s.run(60 * time.Second)
	return s
}

// fault injects one fault.
func (s *sim) fault() {
	w := s.workers[s.rng.IntN(len(s.workers))]
	switch s.rng.IntN(8) {
	case 0:
		s.crash(s.rng.IntN(len(s.workers)))
	case 1: // a cut worker runs on
		w.cut = true
		s.later(time.Duration(1+s.rng.IntN(8000))*time.Millisecond, func() { w.cut = false })
	case 2: // the owner dies; another takes over when its lease is over
		s.owner.dead = true
	case 3: // it freezes, and wakes, perhaps after the next one took over
		o := s.owner
		o.paused = true
		s.later(time.Duration(500+s.rng.IntN(6000))*time.Millisecond, func() { o.paused = false })
	case 4: // it is cut off the store and goes on
		o := s.owner
		o.cutStore = true
		s.later(time.Duration(500+s.rng.IntN(9000))*time.Millisecond, func() { o.cutStore = false })
	case 5:
		s.storeDown = true
		s.later(time.Duration(500+s.rng.IntN(8000))*time.Millisecond, func() { s.storeDown = false })
	case 6:
		if len(s.order) > 0 {
			s.cancel(s.order[s.rng.IntN(len(s.order))])
		}
	case 7: // all is lost at once but what runs
		s.owner.dead = true
		s.owner.leadEnd = s.now
	}
}

// calm ends all faults.
func (s *sim) calm() {
	s.lossShare, s.failShare, s.storeDown = 0, 0, false
	for _, w := range s.workers {
		w.cut = false
	}
	s.owner.cutStore, s.owner.paused = false, false
}

func TestFaults(t *testing.T) {
	takeovers, adopted, jobs := 0, 0, 0
	for seed := range *simSeeds {
		s := faultsRun(seed, nil)
		takeovers += s.takeovers
		adopted += s.adopted
		jobs += len(s.specs)
		checkAll(t, s)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Logf("%d jobs, %d takeovers, %d runs adopted", jobs, takeovers, adopted)
	if takeovers == 0 || adopted == 0 {
		t.Error("no takeover with running tasks was played")
	}
}

var _ = job.Queued
