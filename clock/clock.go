// Package clock reads the steady clock of a process, which leases are measured by. It
// counts the time for which the VM was suspended, which the operating system's
// monotonic clock omits: a lease that expired meanwhile would be taken to be valid.
package clock

import (
	"sync"
	"time"
)

// Thresholds and intervals of a Clock.
const (
	// suspensionCheckInterval is how often the clock that counts suspensions is read. Each
	// check is a system call, while the monotonic clock and the time of day need none.
	suspensionCheckInterval = 100 * time.Millisecond
	// wallJumpThreshold is the difference between the time of day and the monotonic clock
	// that causes an immediate check: a suspension shows there too.
	wallJumpThreshold = 20 * time.Millisecond
	// minSuspension is the shortest suspension that is counted: the clocks are read one
	// after the other and differ by the time between the reads.
	minSuspension = 5 * time.Millisecond
)

// Sources are the clocks that a Clock reads.
type Sources struct {
	// Monotonic does not count suspensions.
	Monotonic func() time.Duration
	// Boot counts suspensions; ok is false if the system has no such clock.
	Boot func() (reading time.Duration, ok bool)
	// Wall is the time of day, from any starting point.
	Wall func() time.Duration
}

// Clock is a steady clock. Its mutex guards the fields below it.
type Clock struct {
	sources Sources

	mu sync.Mutex
	// bootOffset is the first reading of Boot minus that of Monotonic; hasBoot is set if
	// the system has the clock Boot.
	bootOffset time.Duration
	hasBoot    bool
	// suspended is for how long the VM has been suspended in total.
	suspended time.Duration
	// checkedAt is the reading of the monotonic clock at the newest check, wallOffset the
	// difference of the time of day to it.
	checkedAt, wallOffset time.Duration
}

// New returns the clock of this process, which starts at 0.
func New() *Clock { return NewWithSources(systemSources()) }

// NewWithSources returns a clock that reads these sources.
func NewWithSources(sources Sources) *Clock {
	c := &Clock{sources: sources}
	mono := sources.Monotonic()
	if boot, ok := sources.Boot(); ok {
		c.bootOffset, c.hasBoot = boot-mono, true
	}
	c.checkedAt, c.wallOffset = mono, sources.Wall()-mono
	return c
}

// Now returns the time since the clock started, including suspensions. It never decreases.
func (c *Clock) Now() time.Duration {
	mono, wall := c.sources.Monotonic(), c.sources.Wall()
	c.mu.Lock()
	defer c.mu.Unlock()
	if jumped := (wall - mono - c.wallOffset).Abs() > wallJumpThreshold; jumped || mono-c.checkedAt >= suspensionCheckInterval {
		c.checkSuspension()
		mono = max(mono, c.checkedAt)
	}
	return mono + c.suspended
}

// checkSuspension reads whether the VM was suspended. The monotonic clock is read after Boot:
// a pause between the two makes a suspension look shorter, until the next check.
func (c *Clock) checkSuspension() {
	if c.hasBoot {
		boot, _ := c.sources.Boot()
		if suspended := boot - c.bootOffset - c.sources.Monotonic(); suspended > c.suspended+minSuspension {
			c.suspended = suspended
		}
	}
	c.checkedAt = c.sources.Monotonic()
	c.wallOffset = c.sources.Wall() - c.checkedAt
}

// Suspended returns for how long the VM has been suspended since the clock started.
func (c *Clock) Suspended() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspended
}
