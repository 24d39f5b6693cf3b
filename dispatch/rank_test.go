package dispatch

import (
	"testing"
	"time"

	"leverstile.dev/job"
)

// Guards against long-running tasks that have waited for long taking all capacity that becomes
// free, so that urgent tasks that end within a second starve.
func TestShortTasksOnTimeGoBeforeLongRunningOnes(t *testing.T) {
	now := Instant{Steady: 20 * time.Second, UnixMS: 20_000}
	core := leasedCore(Params{}, 1, now)
	add := func(n int, acceptedMS int64, step job.Step) *stepRun {
		spec := simpleJob(n, 1)
		spec.AcceptedMS, spec.Steps = acceptedMS, []job.Step{step}
		core.AddJob(spec, nil, false, Instant{Steady: time.Duration(acceptedMS) * time.Millisecond, UnixMS: acceptedMS})
		return core.jobs[spec.ID].steps[0]
	}
	expired := add(1, 0, job.Step{Count: 1, EstimateMS: 1000})
	late := add(2, 16_000, job.Step{Count: 1, EstimateMS: 1000})
	longRunning := add(3, 1_000, job.Step{Count: 1, LongRunning: true})
	soon := add(4, 19_900, job.Step{Count: 1, EstimateMS: 1000})
	sooner := add(5, 19_000, job.Step{Count: 1, EstimateMS: 1000})
	want := []*stepRun{sooner, soon, longRunning, late, expired}
	for i, c := range core.candidates(now) {
		if c.step != want[i] {
			t.Errorf("rank %d is job %s, want %s", i, c.step.job.spec.ID, want[i].job.spec.ID)
		}
	}
}
