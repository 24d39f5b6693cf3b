package node

import (
	"context"
	"sync"
	"time"
)

// Limits and intervals of pacer.
const (
	// batchInterval is the time between two batches.
	batchInterval = 5 * time.Millisecond
	// maxLateness is how late a pause may end in a process that keeps up.
	maxLateness = 30 * time.Millisecond
	// minBatch and maxBatch bound a batch; batchGrowth is added after a pause that ended
	// on time. minBatch callers start even while other load makes the process late.
	minBatch    = 16
	maxBatch    = 256
	batchGrowth = 4
)

// pacer starts callers that arrive all at once in batches, as fast as the process keeps up.
// A call that starts earlier waits for the process itself, and counts as unanswered although
// its peer works.
//
// A pacer does not bound the calls in flight, so that silent peers delay no others.
type pacer struct {
	clock func() time.Duration
	// yield returns once everything that was ready to run has had its turn.
	yield func()

	mu      sync.Mutex // guards what follows
	waiting []chan struct{}
	batch   int
	running bool
}

func newPacer(clock func() time.Duration, yield func()) *pacer {
	return &pacer{clock: clock, yield: yield, batch: minBatch}
}

// join queues the caller; the channel is closed once it is the caller's turn.
func (p *pacer) join() <-chan struct{} {
	turn := make(chan struct{})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting = append(p.waiting, turn)
	if !p.running {
		p.running = true
		go p.run()
	}
	return turn
}

// run starts batches until nobody waits.
func (p *pacer) run() {
	for p.begin() {
		began := p.clock()
		time.Sleep(batchInterval)
		// A goroutine that a timer wakes runs before all others that are ready: without
		// yield, a process whose run queue grows still sees its timers on time.
		p.yield()
		p.adapt(p.clock() - began - batchInterval)
	}
}

// begin starts a batch. It reports false if nobody waited.
func (p *pacer) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := min(p.batch, len(p.waiting))
	for _, turn := range p.waiting[:n] {
		close(turn)
	}
	p.waiting = p.waiting[n:]
	p.running = n > 0
	return p.running
}

// adapt sets the size of the next batch from how late a pause ended.
func (p *pacer) adapt(late time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.batch = nextBatch(p.batch, late)
}

// nextBatch returns the size of the next batch: additive increase, multiplicative decrease.
func nextBatch(batch int, late time.Duration) int {
	if late > maxLateness {
		return max(batch/2, minBatch)
	}
	return min(batch+batchGrowth, maxBatch)
}

// awaitTurn waits for a turn of the pacer. It reports false if ctx ended before.
func awaitTurn(ctx context.Context, turn <-chan struct{}) bool {
	select {
	case <-turn:
		return true
	case <-ctx.Done():
		return false
	}
}
