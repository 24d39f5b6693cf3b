package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
)

// TestOrdersWaitForASlotForABoundedTime: without the bound, orders queue up behind calls that
// hang, and are sent long after they are out of date.
func TestOrdersWaitForASlotForABoundedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &owner{node: &Node{steady: steadyClock()}, ctx: context.Background(), slots: make(chan struct{}, 1)}
		if !o.awaitSlot() || o.longestWait.Load() != 0 {
			t.Fatal("waits though a slot is free")
		}
		if o.awaitSlot() {
			t.Fatal("two orders in one slot")
		}
		if got := time.Duration(o.longestWait.Swap(0)); got != slotTimeout {
			t.Errorf("waited %v, want %v", got, slotTimeout)
		}
		time.AfterFunc(slotTimeout/2, func() { <-o.slots })
		if !o.awaitSlot() {
			t.Error("the slot that became free is not used")
		}
		if got := time.Duration(o.longestWait.Load()); got != slotTimeout/2 {
			t.Errorf("waited %v, want %v", got, slotTimeout/2)
		}
	})
}

// TestOrdersUnderWayFitTheLink: on a small link, calls would time out behind each other and be
// sent again.
func TestOrdersUnderWayFitTheLink(t *testing.T) {
	for _, x := range []struct {
		link float64
		want int
	}{{0, maxOrders}, {25e6, maxOrders}, {1.25e6, 46}, {250e3, 9}, {1000, minOrders}} {
		if got := orderLimit(x.link); got != x.want {
			t.Errorf("%.0f bytes a second: %d orders under way, want %d", x.link, got, x.want)
		}
	}
}

// TestListPause: a list of many workers is read less often on a small link, but often
// enough for workers that drain.
func TestListPause(t *testing.T) {
	for _, x := range []struct {
		link    float64
		drain   time.Duration
		workers int
		least   time.Duration
		most    time.Duration
	}{
		{0, 0, 490, minListPause, minListPause},
		{25e6, 3 * time.Second, 490, minListPause, minListPause},
		{1.25e6, 0, 490, 1500 * time.Millisecond, 1600 * time.Millisecond},
		{1.25e6, 3 * time.Second, 490, 1350 * time.Millisecond, 1350 * time.Millisecond},
		{1.25e6, 2 * time.Second, 66, minListPause, minListPause},
	} {
		n := &Node{opts: Options{LinkBytes: x.link, DrainNotice: x.drain}}
		if got := n.listPauseFor(x.workers); got < x.least || got > x.most {
			t.Errorf("%+v: %v", x, got)
		}
	}
}

// TestLongLoadIsNoFreeze: an owner that reads its state for a second was running all the while, and
// sends its first orders at once; one that did not run for as long counts as suspended.
func TestLongLoadIsNoFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		o := &owner{node: &Node{steady: steadyClock(), opts: Options{FreezeSlack: 300 * time.Millisecond}, log: &log.Logger{Level: log.PanicLevel}}, ctx: ctx}
		o.running.Go(o.freezeLoop)
		time.Sleep(time.Second) // the state is read
		if !o.mayAct(ctx) || o.suspended {
			t.Error("counts as suspended after a long read of its state")
		}
		stop()
		o.running.Wait()
		time.Sleep(time.Second) // nothing runs
		o.detectFreeze()
		if !o.suspended {
			t.Error("a pause of a second is not noticed")
		}
	})
}
