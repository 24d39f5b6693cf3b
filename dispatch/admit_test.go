package dispatch

import (
	"testing"
	"time"
)

// TestLastingJobWithoutRoomIsRefused, with the time in which others leave that much, while one
// that finds room, and one that is known already, are taken.
func TestLastingJobWithoutRoomIsRefused(t *testing.T) {
	core, now := keptCore(t, 40)
	if a := core.Admit(lastingJob(1, 20), now); a.Refused {
		t.Fatalf("refused in a pool with room: %s", a.Reason)
	}
	large := lastingJob(2, 1000)
	a := core.Admit(large, now)
	if !a.Refused || a.RetryAfter != retryMost {
		t.Errorf("a job that does not fit, where nothing leaves: %+v", a)
	}
	core.keptOf("svc").left.mean = 150_000 // thousandths of a core a second
	if b := core.Admit(large, now); !b.Refused || b.RetryAfter >= retryMost || b.RetryAfter < retryLeast {
		t.Errorf("where others leave, it is asked back after %v", b.RetryAfter)
	}
	core.AddJob(large, nil, false, now)
	if a := core.Admit(large, now); a.Refused {
		t.Error("a job that was accepted before is refused")
	}
}

// TestShortJobIsRefusedWhenItCannotBeOfUse: behind a line that takes longer to start than the job
// is worth anything, and not before.
func TestShortJobIsRefusedWhenItCannotBeOfUse(t *testing.T) {
	core, now := idleCore(t, 4)
	spec := simpleJob(1, 4)
	k := core.keptOf("svc")
	k.starts.mean = 4000 // a second
	for waiting, refused := range map[int64]bool{0: false, 8000: false, 400_000: true} {
		k.waiting = waiting
		if a := core.Admit(spec, now); a.Refused != refused {
			t.Errorf("%d thousandths of a core wait: %+v", waiting, a)
		}
	}
}

// TestCrowdedAfterAWhile: a burst that is placed within a pass or two asks nothing of entries.
func TestCrowdedAfterAWhile(t *testing.T) {
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
