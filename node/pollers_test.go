package node

import (
	"context"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"leverstile.dev/dispatch"
	"leverstile.dev/job"
)

// countedPolls is Workers that count polls and answer none.
type countedPolls struct {
	Workers
	polls atomic.Int32
}

func (w *countedPolls) Poll(context.Context, dispatch.PollRequest) (dispatch.PollReply, dispatch.Outcome) {
	w.polls.Add(1)
	return dispatch.PollReply{}, dispatch.OutcomeUnknown
}

// TestWorkerThatComesBackIsPolled: a worker that the core removes between two reads
// of the list, and that the next one names again, is polled again.
//
// It guards against a worker that gets no tasks until the next takeover: its
// poller had ended, but was still in the list of pollers.
func TestWorkerThatComesBackIsPolled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		workers := &countedPolls{}
		n := &Node{steady: steadyClock(), workers: workers, log: &log.Logger{Level: log.PanicLevel}, opts: Options{FreezeSlack: time.Hour}}
		core := dispatch.New(dispatch.Params{MaxTaskLease: time.Second, OwnerTTL: time.Hour, OwnerHorizon: time.Hour}, 1, nil)
		core.Renewed(0)
		o := &owner{
			node: n, core: core, ctx: ctx, pollers: map[dispatch.WorkerID]context.CancelFunc{}, wake: make(chan struct{}, 1), flushNow: make(chan struct{}, 1),
			firstPolls: newPacer(n.clock, runtime.Gosched), stop: func(error) { stop() },
		}
		list := func(infos ...dispatch.WorkerInfo) {
			o.locked(func(c *dispatch.Core, now dispatch.Instant) { c.SetWorkers(infos, now) })
		}
		info := dispatch.WorkerInfo{ID: "w", Service: "s"}
		core.SetConfig(&job.Config{Version: 1, Queues: []job.Queue{{Name: "q", Service: "s"}}})
		list(info)
		o.syncPollers()
		time.Sleep(time.Second)
		if workers.polls.Load() == 0 {
			t.Fatal("the worker is not polled")
		}
		list()
		o.locked(func(c *dispatch.Core, now dispatch.Instant) { c.Tick(now) }) // the core removes it
		if len(core.Workers()) != 0 {
			t.Fatal("the core still has the worker")
		}
		time.Sleep(time.Second) // its poller ends
		workers.polls.Store(0)
		list(info)
		o.syncPollers()
		time.Sleep(time.Second)
		if workers.polls.Load() == 0 {
			t.Error("the worker that came back is not polled")
		}
		stop()
		o.running.Wait()
	})
}
