package node

import (
	"context"
	"math/rand/v2"
	"time"
)

// backoff yields exponentially growing pauses, with random jitter over their upper half.
type backoff struct {
	minDelay, maxDelay time.Duration
	tries              int
}

func (b *backoff) reset() { b.tries = 0 }

// next returns the pause before the next try.
func (b *backoff) next() time.Duration {
	d := min(b.minDelay<<min(b.tries, 10), b.maxDelay)
	b.tries++
	return d/2 + rand.N(d/2+1)
}

// sleep waits for d or until ctx ends, and reports whether it waited all of d.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
