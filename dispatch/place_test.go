package dispatch

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"leverstile.dev/job"
)

// Fixed seeds make each run deterministic; -rapid.seed sets another.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// TestChooserMatchesFullScan guards against a chooser whose reused ratings give other workers
// than a scan of the whole pool for each task.
func TestChooserMatchesFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := Instant{Steady: time.Minute}
		c := leasedCore(Params{MaxTaskLease: 6 * time.Second, OwnerTTL: time.Hour, OwnerHorizon: time.Hour, RemoteFactor: 3}, 1, now)
		var workers []*worker
		for i := range rapid.IntRange(1, 12).Draw(t, "workers") {
			w := c.addWorker(WorkerInfo{
				ID: WorkerID(fmt.Sprintf("w%02d", i)), Service: "svc", Rack: fmt.Sprintf("r%d", i%3),
				CPUMilli: 1000 * rapid.Int64Range(1, 6).Draw(t, "cores"), MemoryMiB: 4000,
			}, now)
			w.listed, w.synced, w.recorded = true, true, true
			w.clock, w.clockAt = 1, now.Steady
			if rapid.IntRange(0, 4).Draw(t, "slow") == 0 {
				w.slowUntil = now.Steady + time.Second
			}
			w.load.otherCPU = float64(rapid.IntRange(0, 3).Draw(t, "busy")) * 500
			workers = append(workers, w)
		}
		spec := simpleJob(1, rapid.IntRange(1, 20).Draw(t, "tasks"))
		step := &spec.Steps[0]
		step.MaxPerWorker = rapid.IntRange(0, 3).Draw(t, "most a worker")
		step.DataRack = rapid.SampledFrom([]string{"", "r0", "r2"}).Draw(t, "data")
		step.Fills = rapid.Bool().Draw(t, "fills")
		step.LongRunning = !step.Fills && rapid.Bool().Draw(t, "lasting")
		c.AddJob(spec, nil, false, now)
		s := c.jobs[spec.ID].steps[0]
		var x *chooser
		for _, task := range s.tasks {
			task.avoid = rapid.SampledFrom([]WorkerID{"", "w00", "w01", "w05"}).Draw(t, "avoid")
			v := c.viewOf(s, &pool{workers: workers}, now)
			if x == nil || x.view != v {
				x = c.newChooser(s, workers, v, now)
			}
			want, got := c.choose(task, workers, v, now), x.best(task.avoid)
			if want != got {
				t.Fatalf("task %d: worker %v, the full scan chooses %v", task.index, idOf(got), idOf(want))
			}
			if got == nil {
				return
			}
			c.place(task, got, c.newRun(), now)
			x.placed(got)
		}
	})
}

func idOf(w *worker) WorkerID {
	if w == nil {
		return "none"
	}
	return w.info.ID
}

// missed returns a task that a scan of all workers would place now.
func (c *Core) missed(now Instant) *task {
	for _, x := range c.candidates(now) {
		if !c.overload.allowsStart(x.step) {
			continue
		}
		workers := c.poolOf(x.queue.Service, now)
		v := c.viewOf(x.step, &pool{workers: workers}, now)
		for _, t := range x.step.tasks {
			if t.phase != phaseReady || now.Steady < t.notBefore || t.endUnknown && !c.holdsLease(now) {
				continue
			}
			if t.suspectedCrashes() > 0 {
				// It waits for a worker apart from other suspects, as workerForSuspect chooses it, and is
				// tried again after suspectRetryInterval.
				if w, _ := c.workerForSuspect(t, &pool{workers: workers}, now); w != nil && c.suspectWaitReason(t, now) == "" && now.Steady >= x.step.suspectRetryAt {
					return t
				}
				continue
			}
			if c.choose(t, workers, v, now) != nil {
				return t
			}
		}
	}
	return nil
}

// TestPassMissesNoCapacity guards against a pass that leaves a task waiting which a scan of all
// workers would place, while jobs of many shapes wait in a full pool and workers crash,
// are disconnected, refuse work and return.
func TestPassMissesNoCapacity(t *testing.T) {
	waited := 0
	for seed := range uint64(12) {
		s := newSim(seed, 5)
		s.failShare, s.lossShare = 0.05, 0.01
		for id := 1; s.now < 25*time.Second; id++ {
			if len(s.oracle.broken) > 0 {
				t.Fatalf("seed %d: %s", seed, s.oracle.broken[0])
			}
			for range 1 + s.rng.IntN(8) {
				s.step()
				c, now := s.owner.core, s.instant()
				if s.owner.dead || s.owner.paused || c.Deposed() || now.Steady >= c.validUntil {
					continue
				}
				c.Schedule(now)
				waited += len(c.candidates(now))
				if m := c.missed(now); m != nil {
					t.Fatalf("seed %d, %v: task %s waits though a worker has capacity", seed, s.now, m.id())
				}
				s.dispatch(s.owner)
			}
			s.submit(manyShaped(id, s.rng.IntN(3000)))
			if s.rng.IntN(30) == 0 {
				s.fault()
			}
		}
	}
	if waited < 10_000 {
		t.Errorf("only %d steps waited", waited)
	}
}

// manyShaped returns a job whose tasks have a size of their own.
func manyShaped(id, extra int) *job.Spec {
	spec := simpleJob(id, 2)
	spec.Steps[0].CPUMilli = int64(600 + extra)
	spec.Steps[0].Fills = id%3 == 0
	return spec
}
