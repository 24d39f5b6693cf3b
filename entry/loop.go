package entry

import (
	"context"
	"time"

	"leverstile.dev/clock"
)

// Clock reads the process's steady clock, which counts suspensions of its VM.
type Clock func() time.Duration

// newClock returns a clock that starts at an arbitrary reading.
func newClock() Clock {
	steady := clock.New()
	return func() time.Duration { return steady.Now() + time.Hour }
}

// loop runs functions one after the other: the shell round a pure owner, which
// thus needs no lock. After each function and each tick, flush carries out
// what the owner wants done.
type loop struct {
	events chan func()
	every  time.Duration
	tick   func()
	flush  func()
}

// loopQueue is how many events may wait.
const loopQueue = 1024

func newLoop(every time.Duration, tick, flush func()) *loop {
	return &loop{events: make(chan func(), loopQueue), every: every, tick: tick, flush: flush}
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

// post runs fn in the loop, later.
func (l *loop) post(ctx context.Context, fn func()) {
	select {
	case l.events <- fn:
	case <-ctx.Done():
	}
}
