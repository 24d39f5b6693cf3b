// Package clock reads the steady clock of a process, on which leases are held. It
// counts the time for which the VM was suspended, which the operating system's
// monotonic clock leaves out: a lease that ended meanwhile would be taken to hold.
package clock

import (
	"sync"
	"time"
)

// Figures of a Clock.
const (
	// lookEvery is how often the clock that counts suspensions is read. Each look is a
	// system call, while the monotonic clock and the time of day need none.
	lookEvery = 100 * time.Millisecond
	// wallJump of the time of day against the monotonic clock is a reason to look at
	// once: a suspension shows there too.
	wallJump = 20 * time.Millisecond
	// leastAsleep is the shortest suspension that is counted: clocks that are read one
	// after the other differ by the time between.
	leastAsleep = 5 * time.Millisecond
)

// Sources are the clocks that a Clock reads.
type Sources struct {
	// Monotonic does not count suspensions.
	Monotonic func() time.Duration
	// Boot counts suspensions; ok is false where there is no such clock.
	Boot func() (reading time.Duration, ok bool)
	// Wall is the time of day, from any beginning.
	Wall func() time.Duration
}

// Clock is a steady clock. Its lock guards the fields below it.
type Clock struct {
	sources Sources

	mu sync.Mutex
	// boot is the first reading of Boot less that of Monotonic; known is set if there is
	// one.
	boot  time.Duration
	known bool
	// asleep is for how long the VM has been suspended.
	asleep time.Duration
	// lookedAt and offset are the monotonic clock at the newest look, and the time of
	// day over it.
	lookedAt, offset time.Duration
}

// New returns the clock of this process, which starts at 0.
func New() *Clock { return NewOf(systemSources()) }

// NewOf returns a clock that reads these sources.
func NewOf(sources Sources) *Clock {
	c := &Clock{sources: sources}
	mono := sources.Monotonic()
	if boot, ok := sources.Boot(); ok {
		c.boot, c.known = boot-mono, true
	}
	c.lookedAt, c.offset = mono, sources.Wall()-mono
	return c
}

// Now returns the reading.
func (c *Clock) Now() time.Duration {
	mono, wall := c.sources.Monotonic(), c.sources.Wall()
	c.mu.Lock()
	defer c.mu.Unlock()
	if jumped := (wall - mono - c.offset).Abs() > wallJump; jumped || mono-c.lookedAt >= lookEvery {
		c.look()
		mono = max(mono, c.lookedAt)
	}
	return mono + c.asleep
}

// look reads whether the VM was suspended. The monotonic clock is read after the other
// one: a pause between them makes a suspension look shorter, until the next look.
func (c *Clock) look() {
	if c.known {
		boot, _ := c.sources.Boot()
		if asleep := boot - c.boot - c.sources.Monotonic(); asleep > c.asleep+leastAsleep {
			c.asleep = asleep
		}
	}
	c.lookedAt = c.sources.Monotonic()
	c.offset = c.sources.Wall() - c.lookedAt
}

// Asleep returns for how long the VM has been suspended since the clock began.
func (c *Clock) Asleep() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.asleep
}
