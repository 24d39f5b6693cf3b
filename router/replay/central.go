package replay

import (
	"container/heap"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"leverstile.dev/api/result"
)

// Central replays a trace with one queue that knows the state of all endpoints:
// a request takes a slot of the fastest endpoint that has a free one, at once. No
// policy of several entries has that information; the result is the reference
// for them.
func Central(t *Trace) Outcome {
	c := &central{player: &player{trace: t, all: hdrhistogram.New(1, 100_000_000, 3)}}
	c.out = Outcome{Policy: "all-seeing", Refused: map[result.Code]int{}}
	for range t.Endpoints {
		c.endpoints = append(c.endpoints, &endpoint{slow: 1})
	}
	for _, line := range t.Lines {
		base := time.Duration(line.AtMS) * time.Millisecond
		for _, f := range line.Faults {
			c.schedule(base, func() {
				c.fault(f)
				c.dispatch()
			})
		}
		for _, a := range line.Arrivals {
			c.out.Asked++
			at := base + time.Duration(a[0])*time.Microsecond
			c.schedule(at, func() {
				c.waiting = append(c.waiting, &request{service: time.Duration(a[1]) * time.Microsecond, firstArrival: c.now})
				c.dispatch()
			})
		}
	}
	for len(c.queue) > 0 {
		ev := heap.Pop(&c.queue).(event)
		c.now = ev.at
		ev.fn()
	}
	q := func(at float64) time.Duration { return time.Duration(c.all.ValueAtQuantile(at)) * time.Microsecond }
	c.out.P50, c.out.P99, c.out.P999 = q(50), q(99), q(99.9)
	return c.out
}

type central struct {
	*player
	waiting []*request
}

func (c *central) dispatch() {
	for len(c.waiting) > 0 {
		var best *endpoint
		for _, e := range c.endpoints {
			if !e.down && !e.leaving && e.inUse < c.trace.Slots && (best == nil || e.slow < best.slow) {
				best = e
			}
		}
		if best == nil {
			return
		}
		r := c.waiting[0]
		c.waiting = c.waiting[1:]
		best.inUse++
		c.schedule(c.now+2*networkDelay+time.Duration(float64(r.service)*best.slow), func() {
			best.inUse--
			c.out.Answered++
			_ = c.all.RecordValue((c.now - r.firstArrival).Microseconds())
			c.dispatch()
		})
	}
}
