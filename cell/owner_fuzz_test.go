package cell

import (
	"flag"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"leverstile.dev/standin"
)

// Fixed seeds give each run the same verdict; -rapid.seed sets others.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

var extraRuns = flag.Int("cell.runs", 0, "number of additional runs of TestOwnerSeeds, with other seeds")

const simSteps = 120

// TestOwnerInvariants checks that, whatever messages are lost, late or duplicated
// and whatever nodes are paused or killed, no VM is over-committed, no task runs in
// two places and none is lost.
func TestOwnerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pick := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		s := newSim(pick, mutation{faults: standin.WorkerFaults{NoCapacityCheck: true}})
		for range simSteps {
			if err := s.step(); err != nil {
				t.Fatal(err)
			}
		}
		if err := s.finish(); err != nil {
			t.Fatal(err)
		}
	})
}

// runSeed runs one simulation from a seed until an invariant is violated.
func runSeed(seed uint64, m mutation) (*sim, error) {
	rng := rand.New(rand.NewPCG(seed, 7))
	m.faults.NoCapacityCheck = true
	s := newSim(func(_ string, n int) int { return rng.IntN(n) }, m)
	for range simSteps {
		if err := s.step(); err != nil {
			return s, err
		}
	}
	return s, s.finish()
}

// TestOwnerSeeds runs many more histories than rapid does, from fixed seeds, and
// checks that they contain enough takeovers, evictions and acknowledged tasks.
func TestOwnerSeeds(t *testing.T) {
	runs := 300 + *extraRuns
	if testing.Short() {
		runs = 40
	}
	takeovers, evicted, acked := 0, 0, 0
	for seed := range uint64(runs) {
		s, err := runSeed(seed, mutation{})
		if err != nil {
			t.Fatalf("seed %d, step %d: %v", seed, s.steps, err)
		}
		takeovers += s.takeovers
		evicted += s.evicted
		acked += len(s.acked)
	}
	t.Logf("%d runs: %d takeovers, %d evictions, %d acknowledged tasks", runs, takeovers, evicted, acked)
	if takeovers < runs || evicted == 0 || acked < runs {
		t.Errorf("the histories contain too few takeovers, evictions or acknowledged tasks")
	}
}

// TestMutationsAreDetected removes one safeguard at a time; the simulation must detect each.
func TestMutationsAreDetected(t *testing.T) {
	mutations := map[string]mutation{
		"worker ignores the term":           {faults: standin.WorkerFaults{NoTermCheck: true}},
		"worker ignores sequence numbers":   {faults: standin.WorkerFaults{NoSeqCheck: true}},
		"worker ignores the expiry":         {faults: standin.WorkerFaults{NoExpiryCheck: true}},
		"worker ignores its incarnation":    {faults: standin.WorkerFaults{NoBootCheck: true}},
		"owner goes on after its lease":     {noSelfFence: true},
		"start is sent before its commit":   {startBeforeCommit: true},
		"takeover does not wait":            {noTakeoverWait: true},
		"owner books twice the room":        {doubleCapacity: true},
		"end is acknowledged before commit": {ackBeforeCommit: true},
	}
	const maxRuns = 400
	for name, m := range mutations {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			steps := 0
			for seed := range uint64(maxRuns) {
				s, err := runSeed(seed, m)
				steps += s.steps
				if err != nil {
					t.Logf("found by seed %d after %d steps in all: %v", seed, steps, err)
					return
				}
			}
			t.Errorf("not found in %d runs", maxRuns)
		})
	}
}
