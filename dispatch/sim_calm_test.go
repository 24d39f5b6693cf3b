package dispatch

import (
	"strings"
	"testing"
	"time"
)

// TestCalmGangsAreNeverAlone: without any fault, no member of a gang waits for the others in
// vain, also while jobs are cancelled.
func TestCalmGangsAreNeverAlone(t *testing.T) {
	for seed := range uint64(10) {
		s := newSim(seed, 4)
		s.gangJobs, s.slowStops, s.longPolls = true, true, true
		for id := 1; s.now < 30*time.Second; s.step() {
			if s.rng.IntN(20) == 0 {
				s.submitGang(id)
				id++
			}
			if id > 1 && s.rng.IntN(200) == 0 {
				s.cancel(s.order[s.rng.IntN(len(s.order))])
			}
		}
		s.run(settleFor)
		checkAll(t, s)
		for _, line := range s.trace {
			if strings.Contains(line, "run_"+string(EndAlone)) {
				t.Fatalf("seed %d: %s", seed, line)
			}
		}
	}
}

// TestAllEndsAreForgotten: once the faults are over, workers may forget all ends.
func TestAllEndsAreForgotten(t *testing.T) {
	for seed := range uint64(10) {
		s := faultsRun(seed, lateAnswers)
		for _, w := range s.workers {
			if n := len(w.ended); n > 0 && w.alive {
				t.Errorf("seed %d: worker %s still lists %d ends, the first is %+v", seed, w.info.ID, n, w.ended[0])
			}
		}
	}
}
