package node

import (
	"testing"
	"time"

	"github.com/phuslu/log"

	"leverstile.dev/clock"
	"leverstile.dev/dispatch"
)

// steadyClock is a clock that does not detect suspensions, for tests on simulated time.
func steadyClock() *clock.Clock {
	start := time.Now()
	return clock.NewWithSources(clock.Sources{
		Monotonic: func() time.Duration { return time.Since(start) },
		Boot:      func() (time.Duration, bool) { return 0, false },
		Wall:      func() time.Duration { return time.Since(start) },
	})
}

// suspendedVM is a VM whose clocks a test advances: the monotonic one stands still while the
// VM is suspended.
type suspendedVM struct{ mono, suspended time.Duration }

func (v *suspendedVM) clock() *clock.Clock {
	all := func() time.Duration { return v.mono + v.suspended }
	return clock.NewWithSources(clock.Sources{
		Monotonic: func() time.Duration { return v.mono },
		Boot:      func() (time.Duration, bool) { return all(), true },
		Wall:      all,
	})
}

// TestSuspendedOwnerSendsNothing: a VM that is suspended for longer than the owner's lease
// resumes while the next owner is active. By the monotonic clock no time has passed: an owner
// that uses it continues to give orders, and two owners start the same job.
func TestSuspendedOwnerSendsNothing(t *testing.T) {
	vm := &suspendedVM{mono: time.Minute}
	n := &Node{steady: vm.clock(), log: &log.Logger{Writer: log.IOWriter{Writer: t.Output()}}}
	n.opts.FreezeSlack = 300 * time.Millisecond
	params := dispatch.Params{OwnerTTL: ownerTTL, OwnerHorizon: ownerHorizon, MaxTaskLease: 6 * time.Second}
	o := &owner{node: n, own: &ownership{}, core: dispatch.New(params, 1, nil), lastAlive: n.clock()}
	o.recordRenewal(n.clock())
	o.detectFreeze()
	if o.suspended {
		t.Fatal("suspended before the VM was")
	}
	vm.suspended = ownerTTL + time.Second
	o.detectFreeze()
	if !o.suspended {
		t.Error("the owner continues as if no time had passed")
	}
	if now := o.now().Steady; now-o.own.lastRenewal < ownerTTL {
		t.Errorf("its lease counts as %v old, want %v or more", now-o.own.lastRenewal, ownerTTL)
	}
	o.recordRenewal(n.clock())
	if o.suspended {
		t.Error("still suspended after its lease was renewed")
	}
}

// TestTimeOfDayAfterASuspension: timed jobs are due by the time of day, and a suspension is no
// jump of it. If its adoption were delayed as for a jump, they would start late by the length
// of the suspension for half a minute.
func TestTimeOfDayAfterASuspension(t *testing.T) {
	const began = 1_700_000_000_000
	vm := &suspendedVM{mono: time.Minute}
	steady := vm.clock()
	var w wallClock
	wall := func() int64 { return began + (vm.mono + vm.suspended).Milliseconds() }
	w.read(steady.Now(), wall())
	vm.suspended = 7 * time.Second
	vm.mono += 10 * time.Millisecond
	if ms, _ := w.read(steady.Now(), wall()); ms != wall() {
		t.Errorf("off by %d ms after a suspension", ms-wall())
	}
}
