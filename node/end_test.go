package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// retryingWorkers are Workers where an aborted call is in flight again until it was
// aborted a number of times: it waited for a connection, or was retried
// on a new one.
type retryingWorkers struct {
	Workers
	aborts chan struct{}
}

func (w *retryingWorkers) Abort() {
	select {
	case w.aborts <- struct{}{}:
	default:
	}
}

// TestEndAbortsAllCalls: a call that starts while others are aborted does not
// delay the handover.
//
// It guards against up to 2 s without an owner, the time of a long poll, at each restart
// of an owner that has a worker whose connections are all in use.
func TestEndAbortsAllCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const longPoll = time.Hour
		ctx, stop := context.WithCancelCause(context.Background())
		workers := &retryingWorkers{aborts: make(chan struct{})}
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
