package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// tenacious are Workers where a call that was broken off is under way again, until
// it was broken off as often as it takes: it waited for a connection, or was tried
// again on a new one.
type tenacious struct {
	Workers
	aborts chan struct{}
}

func (w *tenacious) Abort() {
	select {
	case w.aborts <- struct{}{}:
	default:
	}
}

// TestEndBreaksOffAllCalls: a call that begins while others are broken off does not
// hold up the handover.
//
// Users would see up to 2 s without an owner at each restart of one that has a
// worker whose connections are all in use: as long as a long poll takes.
func TestEndBreaksOffAllCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const longPoll = time.Hour
		ctx, stop := context.WithCancelCause(context.Background())
		workers := &tenacious{aborts: make(chan struct{})}
		o := &owner{node: &Node{steady: steadyClock(), workers: workers}, ctx: ctx, stop: stop}
		o.running.Go(func() {
			for range 3 {
				select {
				case <-workers.aborts:
				case <-time.After(longPoll):
				}
			}
		})
		synctest.Wait()
		began := time.Now()
		o.end()
		if took := time.Since(began); took >= longPoll {
			t.Errorf("the end of the ownership took %v", took)
		}
	})
}
