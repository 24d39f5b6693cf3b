package dispatch

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"leverstile.dev/job"
)

var (
	simSeeds = flag.Uint64("dispatch.seeds", 60, "number of seeds of the simulated faults")
	simTrace = flag.Int("dispatch.trace", 60, "last decisions printed of a failed run")
	simFirst = flag.Uint64("dispatch.first", 0, "first seed")
)

// settleFor is the time within which all jobs must end once the faults are over.
const settleFor = 60 * time.Second

// faultsRun runs one seed: jobs are submitted while workers crash, are cut off and answer late, and
// owners die, freeze and lose the store.
func faultsRun(seed uint64, mutate func(s *sim)) *sim {
	s := newSim(seed, 4+int(seed%4))
	if mutate != nil {
		mutate(s)
	}
	s.failShare = 0.05
	s.lossShare = 0.02 * float64(seed%4)
	s.speculativeEach, s.eagerCopies = 3, seed%2 == 1
	id := 0
	for end := s.now + 40*time.Second; s.now < end && len(s.oracle.broken) == 0; {
		s.step()
		if s.rng.IntN(25) == 0 {
			id++
			s.submitPlain(id, 1+s.rng.IntN(4), 1+s.rng.IntN(3), 1+s.rng.IntN(2))
		}
		if s.rng.IntN(100) == 0 {
			s.fault()
		}
		if s.longRunning && s.rng.IntN(100) == 0 {
			id++
			s.submitLongRunning(id)
		}
		if s.gangJobs && s.rng.IntN(60) == 0 {
			id++
			s.submitGang(id)
		}
		s.submitCheckpointJobs()
		if s.shapedJobs && s.rng.IntN(40) == 0 {
			id++
			s.submitShaped(id)
		}
		if s.extra != nil && s.rng.IntN(60) == 0 {
			s.extra(s)
		}
	}
	s.endFaults()
	s.run(settleFor + s.settleMore)
	return s
}

// fault injects one fault.
func (s *sim) fault() {
	w := s.workers[s.rng.IntN(len(s.workers))]
	switch s.rng.IntN(13) {
	case 0:
		s.crash(s.rng.IntN(len(s.workers)))
	case 1: // a worker that is cut off keeps running
		w.cut = true
		s.later(time.Duration(1+s.rng.IntN(8000))*time.Millisecond, func() { w.cut = false })
	case 2: // the owner dies; another one takes over when its lease expires
		s.owner.dead = true
	case 3: // the owner freezes and resumes, perhaps after the next one took over
		o := s.owner
		o.paused = true
		s.later(time.Duration(500+s.rng.IntN(6000))*time.Millisecond, func() { o.paused = false })
	case 4: // the owner is cut off from the store and continues
		o := s.owner
		o.storeUnreachable = true
		s.later(time.Duration(500+s.rng.IntN(9000))*time.Millisecond, func() { o.storeUnreachable = false })
	case 5:
		s.storeDown = true
		s.later(time.Duration(500+s.rng.IntN(8000))*time.Millisecond, func() { s.storeDown = false })
	case 6:
		if len(s.order) > 0 {
			s.cancel(s.order[s.rng.IntN(len(s.order))])
		}
	case 8: // a frozen owner resumes beside the next one, which can't reach some workers
		o := s.owner
		o.paused = true
		for _, w := range s.workers {
			if s.rng.IntN(2) == 0 {
				w.cutAbove = o.core.Term()
				s.later(9*time.Second, func() { w.cutAbove = 0 })
			}
		}
		s.later(time.Duration(4000+s.rng.IntN(5000))*time.Millisecond, func() { o.paused = false })
	case 11, 12: // a data centre is evacuated, perhaps the last one or while another one is
		dc := fmt.Sprintf("dc%d", s.rng.IntN(simDataCentres))
		s.setEvacuated(dc, true)
		s.later(time.Duration(1000+s.rng.IntN(12_000))*time.Millisecond, func() { s.setEvacuated(dc, false) })
	case 10: // the owner lacks processor time
		o := s.owner
		o.lag = time.Duration(200+s.rng.IntN(3000)) * time.Millisecond
		s.later(time.Duration(2000+s.rng.IntN(10_000))*time.Millisecond, func() { o.lag = 0 })
	case 9: // the store loses the owner's renewals but answers other requests
		s.renewalsLost = s.now + time.Duration(1000+s.rng.IntN(6000))*time.Millisecond
	case 7: // the owner dies and its lease ends at once; only the running tasks remain
		s.owner.dead = true
		s.owner.leaseEnd = s.now
	}
}

// endFaults ends all faults.
func (s *sim) endFaults() {
	if s.policy != nil {
		s.policy.slowness, s.policy.failShare = 1, 0
	}
	s.endMoreFaults()
	s.lossShare, s.failShare, s.storeDown = 0, 0, false
	for dc := range s.evacuated {
		s.setEvacuated(dc, false)
	}
	for _, w := range s.workers {
		w.cut, w.cutAbove = false, 0
	}
	s.owner.storeUnreachable, s.owner.paused, s.owner.lag = false, false, 0
}

func TestFaults(t *testing.T) {
	takeovers, adopted, closed, jobs := 0, 0, 0, 0
	for n := range *simSeeds {
		seed := *simFirst + n
		s := faultsRun(seed, nil)
		takeovers += s.takeovers
		adopted += s.adopted
		closed += s.closed
		jobs += len(s.specs)
		checkAll(t, s)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Logf("%d jobs, %d takeovers, %d runs adopted, %d closed entries", jobs, takeovers, adopted, closed)
	if takeovers == 0 || adopted == 0 || closed == 0 {
		t.Error("no takeover with running tasks was simulated")
	}
}

// lateOwnerRun simulates an owner that repeatedly does everything up to seconds late, with workers
// that are all reachable.
func lateOwnerRun(seed uint64, unaware bool) *sim {
	s := newSim(seed, 4+int(seed%4))
	s.strict, s.ignoreLateness = true, unaware
	id := 0
	for s.now < 40*time.Second && len(s.oracle.broken) == 0 {
		s.step()
		if s.rng.IntN(25) == 0 {
			id++
			s.submit(simpleJob(id, 1+s.rng.IntN(4), 1+s.rng.IntN(3)))
		}
		if s.rng.IntN(150) == 0 {
			s.owner.lag = time.Duration(200+s.rng.IntN(3000)) * time.Millisecond
			s.later(time.Duration(3000+s.rng.IntN(9000))*time.Millisecond, func() { s.owner.lag = 0 })
		}
	}
	s.endFaults()
	s.run(60 * time.Second)
	return s
}

// TestLateOwnerRestartsNothing checks that an owner without processor time treats no worker as
// silent and starts no task again. An owner that ignores its lateness does, which shows that the
// test can fail.
func TestLateOwnerRestartsNothing(t *testing.T) {
	const seeds = 20
	for seed := range uint64(seeds) {
		s := lateOwnerRun(seed, false)
		checkAll(t, s)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	for seed := range uint64(seeds) {
		if s := lateOwnerRun(seed, true); len(s.oracle.broken) > 0 {
			t.Logf("seed %d: %s", seed, s.oracle.broken[0])
			return
		}
	}
	t.Errorf("an owner that ignores its lateness restarts nothing in %d seeds: the test proves nothing", seeds)
}

// TestMutations removes one safeguard at a time; the oracle must detect each removal.
func TestMutations(t *testing.T) {
	for _, m := range []struct {
		name   string
		mutate func(s *sim)
	}{
		{"no wait for workers of the previous owner", func(s *sim) { s.params.RecoveryWait = 0 }},
		{"a replaced owner concludes from time", func(s *sim) { s.params.OwnerTTL = s.params.OwnerHorizon }},
		{"the roster is not kept", func(s *sim) { s.dropRoster = true }},
		{"ends are acknowledged before they are stored", func(s *sim) { s.ackEarly = true }},
		{"workers do not check the term", func(s *sim) { s.noFence = true }},
		{"what may run at silent workers is not handed on", func(s *sim) { workersLostBeforeOwners(s); s.dropTasks = true }},
		{"a new owner does not know what is evacuated", func(s *sim) { s.blindTakeover = true }},
		{"evacuations are not heard of", func(s *sim) { s.hideEvacuations = true }},
		{"leases are taken for shorter than they are", func(s *sim) { s.shortLease = true }},
	} {
		t.Run(m.name, func(t *testing.T) {
			for seed := range uint64(mutationSeeds) {
				if s := faultsRun(seed, m.mutate); len(s.oracle.broken) > 0 {
					t.Logf("seed %d: %s", seed, s.oracle.broken[0])
					return
				}
			}
			t.Errorf("not detected in %d seeds", mutationSeeds)
		})
	}
}

// mutationSeeds is the maximum number of seeds tried to detect a removed safeguard.
const mutationSeeds = 400

// retryBudgetRun simulates tasks that often fail and have two attempts, with owners that are cut off from
// the store until they die, and workers that the next owner reaches late.
func retryBudgetRun(seed uint64, hasty bool) *sim {
	s := newSim(seed, 4+int(seed%4))
	s.maxAttempts, s.failShare, s.retryBeforeLists = 2, 0.35, hasty
	id := 0
	for s.now < 40*time.Second && len(s.oracle.broken) == 0 {
		s.step()
		if s.rng.IntN(15) == 0 {
			id++
			s.submit(simpleJob(id, 1+s.rng.IntN(4)))
		}
		if s.rng.IntN(150) == 0 {
			o, w := s.owner, s.workers[s.rng.IntN(len(s.workers))]
			o.storeUnreachable = true
			w.cutAbove = o.core.Term()
			s.later(simTTL, func() { o.dead = true })
			s.later(time.Duration(3000+s.rng.IntN(3000))*time.Millisecond, func() { w.cutAbove = 0 })
		}
	}
	s.endFaults()
	s.run(30 * time.Second)
	return s
}

// TestFailuresOfThePreviousOwnerCount guards against one attempt too many: a task that has failed as
// often as its queue allows must not start again, although a new owner may read the failures in any
// order. An owner that does not wait for workers that have not answered breaks that.
func TestFailuresOfThePreviousOwnerCount(t *testing.T) {
	for n := range max(*simSeeds/3, 1) {
		s := retryBudgetRun(*simFirst+n, false)
		for _, b := range s.oracle.broken {
			t.Fatalf("seed %d: %s", *simFirst+n, b)
		}
	}
	for seed := range uint64(mutationSeeds) {
		if s := retryBudgetRun(seed, true); len(s.oracle.broken) > 0 {
			t.Logf("seed %d: %s", seed, s.oracle.broken[0])
			return
		}
	}
	t.Errorf("an owner that does not wait breaks nothing in %d seeds: the test proves nothing", mutationSeeds)
}

// failingWorkersRun simulates jobs of 30 tasks with two attempts each while an eighth of the workers
// fail all their runs; it returns how many jobs failed.
func failingWorkersRun(t *testing.T, seed uint64) (failed, jobs int) {
	s := newSim(seed, 40)
	s.maxAttempts, s.failShare = 2, 0.01
	s.run(time.Second)
	for i := range 5 {
		s.workers[8*i].failsAll = true
	}
	for tick := range 1000 { // 20 s
		s.step()
		if tick%40 == 0 {
			jobs++
			s.submit(simpleJob(jobs, 30))
		}
	}
	s.run(20 * time.Second)
	for _, b := range s.oracle.broken {
		t.Fatalf("seed %d: %s", seed, b)
	}
	for id := range s.specs {
		if state, _ := s.owner.core.Status(id); state == job.Failed {
			failed++
		}
	}
	return failed, jobs
}

// TestRetriesAvoidFailingWorkers guards against jobs that fail because a task's second attempt goes
// to another worker that is known to fail its tasks.
func TestRetriesAvoidFailingWorkers(t *testing.T) {
	failed, jobs := 0, 0
	for seed := range uint64(6) {
		f, n := failingWorkersRun(t, seed)
		failed, jobs = failed+f, jobs+n
	}
	t.Logf("%d of %d jobs failed", failed, jobs)
	if failed*10 > jobs {
		t.Errorf("%d of %d jobs failed", failed, jobs)
	}
}
