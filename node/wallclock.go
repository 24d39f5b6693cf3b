package node

import (
	"sync"
	"time"
)

// Limits of the guard against jumps of the time of day.
const (
	// minJump is the least difference that counts as a jump; less is a slow correction
	// of a synchronized clock.
	minJump = 300 * time.Millisecond
	// jumpConfirmation is how long a jump must last before it is adopted. Clocks that jump
	// by mistake come back within seconds; one that an operator has set does not.
	jumpConfirmation = 30 * time.Second
)

// wallClock reads the time of day and delays the adoption of its jumps: timed jobs would
// start early after a jump forward, and late after one back. Its lock guards all fields.
//
// A process that starts while its clock is wrong has nothing to compare it with
// and uses it until it is corrected.
type wallClock struct {
	mu sync.Mutex
	// offset is the time of day minus the steady clock in milliseconds; known is set
	// once it was read.
	offset int64
	known  bool
	// jumpedAt is when the reading began to differ; it is valid while jumped is set.
	jumpedAt time.Duration
	jumped   bool
}

// read returns the time of day to use for a reading of both clocks, and the jump that
// this call adopted, 0 if none.
func (w *wallClock) read(steady time.Duration, wallMS int64) (ms int64, adopted time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	offset := wallMS - steady.Milliseconds()
	off := time.Duration(offset-w.offset) * time.Millisecond
	switch {
	case !w.known, off.Abs() < minJump:
		w.offset, w.known, w.jumped = offset, true, false
	case !w.jumped:
		w.jumped, w.jumpedAt = true, steady
	case steady-w.jumpedAt >= jumpConfirmation:
		w.offset, w.jumped = offset, false
		adopted = off
	}
	return steady.Milliseconds() + w.offset, adopted
}
