package dispatch

import (
	"testing"
	"time"
)

// A jump of the time of day by an hour must not remove the states of jobs that just ended, whose
// customers would get the answer that there is no such job.
func TestClockJumpsKeepStates(t *testing.T) {
	for _, jump := range []time.Duration{time.Hour, -time.Hour, 3 * time.Second} {
		now := Instant{Steady: time.Minute, UnixMS: 1_700_000_000_000}
		core := leasedCore(Params{JobKept: 150 * time.Second}, 1, now)
		spec := simpleJob(1, 1)
		spec.AcceptedMS = now.UnixMS
		core.AddJob(spec, nil, false, now)
		core.Cancel(spec.ID, now)
		records, err := core.Records(1)
		if err != nil {
			t.Fatal(err)
		}
		core.Persisted(records)
		tick := func(after time.Duration) bool {
			core.Tick(Instant{Steady: now.Steady + after, UnixMS: now.UnixMS + (after + jump).Milliseconds()})
			_, known := core.Status(spec.ID)
			return known
		}
		if !tick(149 * time.Second) {
			t.Errorf("jump %v: the state is gone after 149 s", jump)
		}
		if tick(151 * time.Second) {
			t.Errorf("jump %v: the state is kept for longer than 150 s", jump)
		}
	}
}

// Jobs from an entry whose clock is off must keep their order: neither hopeless nor the most urgent.
func TestSkewOfAnEntryKeepsTheOrder(t *testing.T) {
	now := Instant{Steady: time.Hour, UnixMS: 1_700_000_000_000}
	core := leasedCore(Params{}, 1, now)
	add := func(n int, skew time.Duration, at Instant) *stepRun {
		spec := simpleJob(n, 1)
		spec.AcceptedMS = at.UnixMS + skew.Milliseconds()
		core.AddJob(spec, nil, false, at)
		return core.jobs[spec.ID].steps[0]
	}
	ahead := add(1, time.Hour, now)
	later := Instant{Steady: now.Steady + 50*time.Millisecond, UnixMS: now.UnixMS + 50}
	sound := add(2, 0, later)
	later.UnixMS += time.Hour.Milliseconds() // and now the owner's own clock jumps
	q := core.queues["q"]
	if a, b := core.rankOf(ahead, q, later), core.rankOf(sound, q, later); a.class != rankOnTime || a.compare(b) >= 0 {
		t.Errorf("%+v of the older job, %+v of the newer", a, b)
	}
	behind := add(3, -time.Hour, now)
	if r := core.rankOf(behind, q, now); r.class == rankExpired {
		t.Errorf("a new job from an entry whose clock is an hour behind is hopeless: %+v", r)
	}
}
