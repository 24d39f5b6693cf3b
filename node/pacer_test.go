package node

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"leverstile.dev/dispatch"
)

// sharedProcessor simulates the processor of a process: work is done in the order in
// which it was started.
type sharedProcessor struct {
	mu   sync.Mutex
	free time.Time // when all work that was started is done
}

// work takes d of the processor, and returns how long it took including the wait.
func (p *sharedProcessor) work(d time.Duration) time.Duration {
	now := time.Now()
	p.mu.Lock()
	if p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(d)
	done := p.free
	p.mu.Unlock()
	time.Sleep(time.Until(done))
	return time.Since(now)
}

// TestFirstPollsDoNotWaitForEachOther: however many workers a takeover reads, each first
// poll takes less than the 300 ms in which a connection must be opened; and the processor is
// idle for less than a third of the time.
//
// It guards against working workers that count as silent at each takeover of a
// large cell: starts wait for them, and leases expire.
func TestFirstPollsDoNotWaitForEachOther(t *testing.T) {
	const dialTimeout = 300 * time.Millisecond
	for _, cost := range []time.Duration{50 * time.Microsecond, 250 * time.Microsecond, 2 * time.Millisecond} {
		for _, workers := range []int{500, 5_000, 50_000} {
			t.Run(fmt.Sprint(cost, "/", workers), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					longest, all := pacedPolls(workers, cost)
					if longest >= dialTimeout {
						t.Errorf("a poll took %s", longest)
					}
					if limit := time.Duration(workers) * cost * 3 / 2; all > limit+dialTimeout {
						t.Errorf("all polls took %s, more than %s", all, limit)
					}
				})
			})
		}
	}
}

// pacerEnds is a time after which the goroutine of a pacer without waiting callers has ended.
const pacerEnds = time.Second

// pacedPolls returns the longest time that a poll took, and the time of all polls together.
func pacedPolls(workers int, cost time.Duration) (longest, all time.Duration) {
	began := time.Now()
	p := &sharedProcessor{}
	pace := newPacer(func() time.Duration { return time.Since(began) }, func() { p.work(0) })
	var mu sync.Mutex
	var polls sync.WaitGroup
	for range workers {
		turn := pace.join()
		polls.Go(func() {
			awaitTurn(context.Background(), turn)
			took := p.work(cost)
			mu.Lock()
			defer mu.Unlock()
			longest = max(longest, took)
		})
	}
	polls.Wait()
	all = time.Since(began)
	time.Sleep(pacerEnds)
	return longest, all
}

// TestPacerServesSingleCallersAtOnce: a single caller does not wait.
func TestPacerServesSingleCallersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		pace := newPacer(func() time.Duration { return time.Since(began) }, func() {})
		for range 10 {
			if awaitTurn(context.Background(), pace.join()); time.Since(began)%time.Second != 0 {
				t.Errorf("a caller waited, at %s", time.Since(began))
			}
			time.Sleep(time.Second - time.Since(began)%time.Second)
		}
	})
}

// TestTurnsEndWithTheirContext: a caller whose context ends stops waiting, and delays no others.
func TestTurnsEndWithTheirContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		began := time.Now()
		pace := newPacer(func() time.Duration { return time.Since(began) }, func() {})
		for range 100 {
			pace.join()
		}
		last, waits := pace.join(), pace.join()
		if awaitTurn(ctx, last) {
			t.Error("a caller went on after its context had ended")
		}
		if !awaitTurn(context.Background(), waits) {
			t.Error("no turn for a caller behind others that have given up")
		}
		time.Sleep(pacerEnds)
	})
}

// TestAwaitedWorkersAreReadFirst: tasks that may have been ordered wait for these workers.
func TestAwaitedWorkersAreReadFirst(t *testing.T) {
	core := dispatch.New(dispatch.Params{MaxTaskLease: time.Second, OwnerTTL: time.Hour, OwnerHorizon: time.Hour}, 2, nil)
	now := dispatch.Instant{}
	core.Recover([]dispatch.RosterEntry{{ID: "w3"}, {ID: "w1"}}, now)
	core.SetWorkers([]dispatch.WorkerInfo{{ID: "w0", Service: "s"}, {ID: "w1", Service: "s"}, {ID: "w2", Service: "s"}, {ID: "w3", Service: "s"}}, now)
	o := &owner{core: core}
	if got, want := fmt.Sprint(o.awaitedFirst(core.Workers())), "[w1 w3 w0 w2]"; got != want {
		t.Errorf("read in the order %s, not %s", got, want)
	}
}
