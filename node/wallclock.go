package node

import (
	"sync"
	"time"
)

// Figures of the guard against jumps of the time of day.
const (
	// jumpLeast tells a jump from the slow corrections of a clock that is kept.
	jumpLeast = 300 * time.Millisecond
	// jumpHold is how long a jump must last before it is believed. Clocks that jump
	// by mistake come back within seconds; one that an operator has set does not.
	jumpHold = 30 * time.Second
)

// wallClock reads the time of day and holds off its jumps: timed jobs would start
// early by a jump ahead, and late by one back. Its lock guards all fields.
//
// A process that starts while its clock is wrong has nothing to compare it with
// and believes it until it comes back.
type wallClock struct {
	mu sync.Mutex
	// offset is the time of day over the steady clock, milliseconds; known is set
	// once it was read.
	offset int64
	known  bool
	// jumpedAt is when the reading began to differ, while it does.
	jumpedAt time.Duration
	jumped   bool
}

// read returns the time of day to go by, for a reading of both clocks, and the
// jump that was believed now, if one was.
func (w *wallClock) read(steady time.Duration, wallMS int64) (ms int64, adopted time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	offset := wallMS - steady.Milliseconds()
	off := time.Duration(offset-w.offset) * time.Millisecond
	switch {
	case !w.known, off.Abs() < jumpLeast:
		w.offset, w.known, w.jumped = offset, true, false
	case !w.jumped:
		w.jumped, w.jumpedAt = true, steady
	case steady-w.jumpedAt >= jumpHold:
		w.offset, w.jumped = offset, false
		adopted = off
	}
	return steady.Milliseconds() + w.offset, adopted
}
