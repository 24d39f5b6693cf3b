package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"leverstile.dev/job"
)

// denseWaves simulates waves of crashes: one to four of eight workers crash at about the same
// time, eight times within some 12 s, and restart soon.
type denseWaves struct {
	f        *crashFleet
	rng      *rand.Rand
	bad      *job.Spec // nil without a task that crashes its workers
	harmless []*job.Spec
	// ownersLost: some waves end the owner too, and its last writes are lost.
	ownersLost bool
}

const (
	denseWorkers = 8
	denseWaveNum = 8
	denseSeeds   = 60
)

func newDenseWaves(t *testing.T, seed uint64, crasher bool) *denseWaves {
	t.Helper()
	d := &denseWaves{rng: rand.New(rand.NewPCG(seed, 49)), f: newCrashFleetOf(t, denseWorkers, seed%2 == 0)}
	d.f.rackSize = 1
	for i := range 4 {
		spec := simpleJob(i+1, 4)
		spec.Steps[0].LongRunning = true
		d.harmless = append(d.harmless, spec)
		d.f.core.AddJob(spec, nil, false, d.f.now)
	}
	d.f.pass(2 * time.Second)
	if crasher {
		d.bad = simpleJob(100, 1)
		d.f.crasher = firstTaskOf(d.bad)
		d.f.core.AddJob(d.bad, nil, false, d.f.now)
	}
	return d
}

func (d *denseWaves) play() {
	f := d.f
	for range denseWaveNum {
		f.pass(time.Duration(1000+d.rng.IntN(600)) * time.Millisecond)
		for _, i := range d.rng.Perm(denseWorkers)[:1+d.rng.IntN(4)] {
			f.end(f.vms[i], time.Duration(100+d.rng.IntN(900))*time.Millisecond)
			if d.rng.IntN(2) == 0 {
				f.pass(time.Duration(20+d.rng.IntN(150)) * time.Millisecond)
			}
		}
		if d.ownersLost && d.rng.IntN(3) == 0 {
			f.storeDown = true
			f.pass(time.Duration(d.rng.IntN(400)) * time.Millisecond)
			f.takeOver(d.jobs()...)
			f.storeDown = false
		}
	}
	f.pass(90 * time.Second)
}

func (d *denseWaves) jobs() []*job.Spec {
	if d.bad == nil {
		return d.harmless
	}
	return append(slices.Clone(d.harmless), d.bad)
}

// TestDenseWavesOfCrashesFailNoHarmlessJob: long-running tasks that crash nothing must not fail
// their jobs because they were at workers that crash in waves, when up to half of the workers crash
// at about the same time. A task that crashes its workers beside them is given up within the starts
// that users allow.
func TestDenseWavesOfCrashesFailNoHarmlessJob(t *testing.T) { playDenseWaves(t, false) }

// TestDenseWavesThatEndOwnersFailNoHarmlessJob: the same, while some of the waves end the owner too.
func TestDenseWavesThatEndOwnersFailNoHarmlessJob(t *testing.T) { playDenseWaves(t, true) }

func playDenseWaves(t *testing.T, ownersLost bool) {
	if testing.Short() {
		t.Skip("long test, skipped with -short")
	}
	t.Helper()
	kept, failed, found, starts := 0, 0, 0, map[int]int{}
	for seed := range uint64(denseSeeds) {
		d := newDenseWaves(t, seed, seed%3 == 0)
		d.ownersLost = ownersLost
		d.play()
		for _, spec := range d.harmless {
			if d.f.state(spec) != job.Running {
				failed++
				t.Errorf("seed %d: job %s is %s: %v", seed, spec.ID, d.f.state(spec), d.f.decisionsOf("job_failed"))
				continue
			}
			kept++
		}
		if d.bad == nil {
			continue
		}
		d.f.checkGivenUp(d.bad)
		if d.f.state(d.bad) == job.Failed {
			found++
		}
		starts[len(d.f.starts[job.TaskID{Job: d.bad.ID}])]++
	}
	t.Logf("%d harmless jobs kept, %d failed; %d crashing tasks given up, by number of starts %v", kept, failed, found, starts)
}

// TestCrashesThatAreNoticedLaterCount: a crash proves nothing against a task if another worker
// crashed at about the same time, even if that is detected later, or if many others crashed
// shortly before.
func TestCrashesThatAreNoticedLaterCount(t *testing.T) {
	if testing.Short() {
		t.Skip("long test, skipped with -short")
	}
	const hits = maxCrashes - 1
	for offset := -280 * time.Millisecond; offset <= 280*time.Millisecond; offset += 40 * time.Millisecond {
		for _, downFor := range []time.Duration{20 * time.Millisecond, 60 * time.Millisecond, 400 * time.Millisecond} {
			t.Run(fmt.Sprintf("another %v after, away for %v", offset, downFor), func(t *testing.T) {
				f := newCrashFleet(t, 24)
				f.rackSize = 1
				beside, spec := simpleJob(1, 24), simpleJob(2, 1)
				f.core.AddJob(beside, nil, false, f.now)
				f.pass(8 * time.Second)
				f.core.AddJob(spec, nil, false, f.now)
				id := job.TaskID{Job: spec.ID}
				for hit := range hits {
					for len(f.starts[id]) <= hit {
						f.pass(20 * time.Millisecond)
						if s := f.state(spec); s == job.Failed || f.now.Steady > 2*time.Minute {
							t.Fatalf("the job is %s after %d starts", s, hit)
						}
					}
					vm, other := f.vmOf(id), ""
					f.pass(time.Second)
					for _, o := range f.vms {
						if o != vm && f.down[o] == 0 && len(f.running[f.incarnation[o]]) > 0 {
							other = o
						}
					}
					first, second := vm, other
					if offset < 0 {
						first, second = other, vm
					}
					f.end(first, downFor)
					f.pass(offset.Abs())
					f.end(second, downFor)
				}
				f.pass(30 * time.Second)
				if s := f.state(spec); s != job.Running {
					t.Errorf("the job is %s: %v", s, f.decisionsOf("crash_compared"))
				}
			})
		}
	}
}
