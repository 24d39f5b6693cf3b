package entry

import (
	"context"
	"time"

	"leverstile.dev/clock"
)

// Clock reads the process's steady clock, which also counts the time during
// which its VM was suspended.
type Clock func() time.Duration

// newClock returns a clock that starts at an arbitrary reading other than zero.
func newClock() Clock {
	steady := clock.New()
	return func() time.Duration { return steady.Now() + time.Hour }
}

// loop runs functions one after the other on one goroutine, so that the owner
// of a shard, which they call, needs no lock. After each function and each
// tick, flush carries out the owner's commands.
type loop struct {
	events chan func()
	every  time.Duration
	tick   func()
	flush  func()
}

// maxQueuedEvents is the number of events that may wait.
const maxQueuedEvents = 1024

func newLoop(every time.Duration, tick, flush func()) *loop {
	return &loop{events: make(chan func(), maxQueuedEvents), every: every, tick: tick, flush: flush}
}

// run serves events until ctx ends.
func (l *loop) run(ctx context.Context) {
	ticker := time.NewTicker(l.every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case fn := <-l.events:
			fn()
		case <-ticker.C:
			l.tick()
		}
		l.flush()
	}
}

// post queues fn to be run in the loop.
func (l *loop) post(ctx context.Context, fn func()) {
	select {
	case l.events <- fn:
	case <-ctx.Done():
	}
}
