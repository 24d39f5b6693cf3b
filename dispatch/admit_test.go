package dispatch

import (
	"testing"
	"time"
)

// TestLongRunningJobWithoutCapacityIsRefused: the refusal has the time in which other jobs free as
// much capacity; a job that has capacity, or that is known already, is admitted.
func TestLongRunningJobWithoutCapacityIsRefused(t *testing.T) {
	core, now := reservingCore(t, 40)
	if a := core.Admit(longRunningJob(1, 20), now); a.Refused {
		t.Fatalf("refused in a pool with capacity: %s", a.Reason)
	}
	large := longRunningJob(2, 1000)
	a := core.Admit(large, now)
	if !a.Refused || a.RetryAfter != maxAdmitRetry {
		t.Errorf("a job without capacity, where no task ends: %+v", a)
	}
	core.reservedCapacityOf("svc").freed.mean = 150_000 // thousandths of a core a second
	if b := core.Admit(large, now); !b.Refused || b.RetryAfter >= maxAdmitRetry || b.RetryAfter < minAdmitRetry {
		t.Errorf("where other tasks end, the retry is due after %v", b.RetryAfter)
	}
	core.AddJob(large, nil, false, now)
	if a := core.Admit(large, now); a.Refused {
		t.Error("a job that was accepted before is refused")
	}
}

// TestLateShortJobIsRefused: a short job is refused behind tasks that take longer to start than
// the job is of use, and not otherwise.
func TestLateShortJobIsRefused(t *testing.T) {
	core, now := idleCore(t, 4)
	spec := simpleJob(1, 4)
	k := core.reservedCapacityOf("svc")
	k.starts.mean = 4000 // a second
	for waiting, refused := range map[int64]bool{0: false, 8000: false, 400_000: true} {
		k.waiting = waiting
		if a := core.Admit(spec, now); a.Refused != refused {
			t.Errorf("%d thousandths of a core wait: %+v", waiting, a)
		}
	}
}

// TestCrowdedAfterSustainedWaiting: a burst that is placed within a pass or two does not make
// entries ask.
func TestCrowdedAfterSustainedWaiting(t *testing.T) {
	core, now := idleCore(t, 1)
	spec := simpleJob(1, 40)
	spec.AcceptedMS = now.UnixMS
	core.AddJob(spec, nil, false, now)
	core.Schedule(now)
	if core.Crowded(now) {
		t.Error("crowded at once")
	}
	now.Steady += crowdedAfter + time.Millisecond
	core.Schedule(now)
	if !core.Crowded(now) {
		t.Error("not crowded though tasks have waited")
	}
}

// TestShortJobAfterTakeoverIsAdmitted guards against a new owner that refuses jobs on idle workers,
// since it has not counted any starts yet. Where nothing starts for long, there is no capacity.
func TestShortJobAfterTakeoverIsAdmitted(t *testing.T) {
	for _, c := range []struct {
		observed, waited time.Duration
		refused          bool
	}{
		{300 * time.Millisecond, 300 * time.Millisecond, false},
		{time.Second, time.Second, false},
		{time.Minute, 300 * time.Millisecond, false},
		{time.Minute, time.Minute, true},
	} {
		core, now := idleCore(t, 4)
		now.Steady += time.Hour
		k := core.reservedCapacityOf("svc")
		k.starts, k.waiting, k.waitingSince = average{age: c.observed}, 4000, now.Steady-c.waited
		if a := core.Admit(simpleJob(1, 4), now); a.Refused != c.refused {
			t.Errorf("observed for %v, tasks wait for %v: %+v", c.observed, c.waited, a)
		}
	}
}
