package dispatch

import (
	"testing"
	"time"
)

// idleRun simulates an owner that is cut off from the store while the next one can't reach some
// workers. Its last starts, just before its right to give orders ends, go to workers that were
// idle for a time, and whose clocks it has not read since.
func idleRun(seed uint64, idle time.Duration) *sim {
	s := newSim(seed, 6)
	for _, w := range s.workers {
		w.rate = clockRate
	}
	s.submit(simpleJob(1, 12))
	s.idle(idle)
	o := s.owner
	timed := simpleJob(2, 6)
	timed.Steps[0].LongRunning, timed.Steps[0].MaxPerWorker = true, 1
	timed.Occurrences, timed.FirstDueMS = 1, (s.now + simHorizon - 300*time.Millisecond).Milliseconds()
	s.submit(timed)
	s.run(40 * time.Millisecond)
	o.storeUnreachable = true
	for _, w := range s.workers[:2] {
		w.cutAbove = o.core.Term()
	}
	for id := 3; id < 28; id++ { // the next owner reaches the others
		s.submit(simpleJob(id, 4))
		s.run(time.Second)
	}
	return s
}

// The leases that an owner gives must not outlast what the next one assumes, also at workers
// whose clocks run slowly and were not read for a long time.
func TestLeasesEndInTimeAtIdleWorkers(t *testing.T) {
	for _, idle := range []time.Duration{0, time.Minute, 10 * time.Minute} {
		for seed := range uint64(3) {
			s := idleRun(seed, idle)
			for _, b := range s.oracle.broken {
				t.Errorf("idle for %v, seed %d: %s", idle, seed, b)
			}
			if s.owner.core.Stats().Starts == 0 {
				t.Errorf("idle for %v, seed %d: the next owner started nothing", idle, seed)
			}
		}
	}
}
