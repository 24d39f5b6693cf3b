package node

import (
	"testing"
	"time"

	"github.com/phuslu/log"
)

// A clock that jumps and comes back is not followed; one that drifts or was set permanently is.
func TestWallClockDelaysJumps(t *testing.T) {
	const start = 1_700_000_000_000
	for _, x := range []struct {
		name string
		// offset is the error of the reading in milliseconds, by second.
		offset func(second int64) int64
		// most is the largest permitted error of the clock, last its error at the end.
		most, last int64
	}{
		{"ahead and back", func(s int64) int64 { return jumpFor(s, 3, 9, 2400) }, 0, 0},
		{"back by an hour and forth", func(s int64) int64 { return jumpFor(s, 3, 20, -3_600_000) }, 0, 0},
		{"one jump after the other", func(s int64) int64 { return jumpFor(s, 3, 25, 5000) + jumpFor(s, 30, 55, -90_000) }, 0, 0},
		{"slow", func(s int64) int64 { return 2 * s }, 240, 238},
		{"set for good", func(s int64) int64 { return jumpFor(s, 10, 1000, 86_400_000) }, 86_400_000, 86_400_000},
	} {
		t.Run(x.name, func(t *testing.T) {
			var w wallClock
			off := int64(0)
			for s := range int64(120) {
				steady := time.Duration(s) * time.Second
				ms, _ := w.read(steady, start+1000*s+x.offset(s))
				off = ms - start - 1000*s
				if max(off, -off) > x.most {
					t.Fatalf("second %d: off by %d ms", s, off)
				}
			}
			if off != x.last {
				t.Errorf("off by %d ms at the end, want %d", off, x.last)
			}
		})
	}
}

func jumpFor(second, from, to, by int64) int64 {
	if second >= from && second < to {
		return by
	}
	return 0
}

// TestDecisionsUseWallClock: the core gets the time of day that wallClock has adopted, not
// the current reading of the operating system.
func TestDecisionsUseWallClock(t *testing.T) {
	n := &Node{steady: steadyClock(), log: &log.Logger{Writer: log.IOWriter{Writer: t.Output()}}}
	const jump = time.Hour
	n.wall.read(n.clock(), time.Now().Add(jump).UnixMilli())
	if got := n.instant().UnixMS - time.Now().UnixMilli(); got < jump.Milliseconds()/2 {
		t.Errorf("a jump back by %v is adopted at once: %d ms ahead", jump, got)
	}
}
