package clock

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fakeVM is a VM whose clocks a test advances.
type fakeVM struct {
	mono, suspended, step time.Duration
	// noBoot is set if the system has no clock that counts suspensions.
	noBoot bool
	// pause is added to all clocks when Boot has been read, as if the process was
	// preempted at that point.
	pause time.Duration
}

func (f *fakeVM) sources() Sources {
	return Sources{
		Monotonic: func() time.Duration { return f.mono },
		Boot: func() (time.Duration, bool) {
			reading := f.mono + f.suspended
			f.mono += f.pause
			f.pause = 0
			return reading, !f.noBoot
		},
		Wall: func() time.Duration { return f.mono + f.suspended + f.step },
	}
}

// TestSuspensionIsCounted: the first reading after a suspension counts it. If the time of day
// was set back by the same amount meanwhile, the next periodic check counts it.
func TestSuspensionIsCounted(t *testing.T) {
	for name, x := range map[string]struct{ step, within time.Duration }{
		"time of day goes on":     {0, 0},
		"time of day is set back": {-5 * time.Second, suspensionCheckInterval},
		"time of day is wrong":    {time.Hour, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakeVM{mono: time.Minute}
			c := NewWithSources(f.sources())
			f.mono += 10 * time.Millisecond
			if got := c.Now(); got != f.mono {
				t.Fatalf("%v before the suspension, want %v", got, f.mono)
			}
			f.suspended, f.step = 5*time.Second, x.step
			f.mono += x.within
			if got := c.Now(); got != f.mono+f.suspended {
				t.Errorf("%v after the suspension, want %v", got, f.mono+f.suspended)
			}
			if got := c.Suspended(); got != f.suspended {
				t.Errorf("suspended for %v, want %v", got, f.suspended)
			}
		})
	}
}

// TestWallClockJumpsAreNotCounted: neither jumps of the time of day nor pauses of the process count.
func TestWallClockJumpsAreNotCounted(t *testing.T) {
	f := &fakeVM{mono: time.Minute}
	c := NewWithSources(f.sources())
	for _, step := range []time.Duration{time.Hour, -time.Hour, 30 * time.Millisecond, 0} {
		f.step = step
		f.mono += time.Second
		f.pause = 3 * time.Second
		if got := c.Now(); got != f.mono {
			t.Errorf("step %v: %v, want %v", step, got, f.mono)
		}
	}
}

// TestSystemWithoutBootClock: without Boot only the monotonic clock counts.
func TestSystemWithoutBootClock(t *testing.T) {
	f := &fakeVM{mono: time.Minute, noBoot: true}
	c := NewWithSources(f.sources())
	f.mono += time.Second
	f.suspended = time.Hour
	if got := c.Now(); got != f.mono {
		t.Errorf("%v, want %v", got, f.mono)
	}
}

// TestClockNeverGoesBack: whatever happens to the clocks, the reading never decreases, and is
// never ahead of the time that has passed, suspensions included.
func TestClockNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fakeVM{mono: time.Minute}
		c := NewWithSources(f.sources())
		last := c.Now()
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			d := time.Duration(rapid.Int64Range(0, int64(8*time.Second)).Draw(t, "length"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				f.mono += d
			case 1:
				f.suspended += d
			case 2:
				f.step += d - 4*time.Second
			case 3:
				f.pause = d
			}
			now := c.Now()
			if now < last {
				t.Fatalf("%v after %v", now, last)
			}
			if now > f.mono+f.suspended {
				t.Fatalf("%v when %v have passed", now, f.mono+f.suspended)
			}
			last = now
		}
		f.pause = 0 // a pause between two readings hides a suspension until the next check
		f.mono += suspensionCheckInterval
		if now := c.Now(); f.mono+f.suspended-now > minSuspension {
			t.Fatalf("%v when %v have passed", now, f.mono+f.suspended)
		}
	})
}

// TestSystemClock reads the real clocks.
func TestSystemClock(t *testing.T) {
	c := New()
	a := c.Now()
	time.Sleep(2 * time.Millisecond)
	if b := c.Now(); b-a < 2*time.Millisecond {
		t.Errorf("%v, then %v", a, b)
	}
}

func BenchmarkNow(b *testing.B) {
	c := New()
	for b.Loop() {
		c.Now()
	}
}
