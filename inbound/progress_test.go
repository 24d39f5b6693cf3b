package inbound

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// TestStalledClientsFallBehind guards against a client that gains time for a stop by having been
// fast before, and against one that keeps its place with single bytes.
func TestStalledClientsFallBehind(t *testing.T) {
	const wait = 10 * time.Second
	now := start.Add(wait)
	for name, c := range map[string]struct {
		send   func(p *progress)
		behind time.Duration
	}{
		"nothing":             {func(*progress) {}, wait},
		"all but a byte":      {func(p *progress) { p.advance(262_143, start) }, wait},
		"a byte a second":     {func(p *progress) { everySecond(p, 1, wait) }, wait - wait/minRate},
		"a kilobyte a second": {func(p *progress) { everySecond(p, minRate, wait) }, 0},
	} {
		p := progress{}
		p.enter(phaseBody, start)
		c.send(&p)
		if behind, ok := p.behind(now); !ok || behind.Round(time.Millisecond) != c.behind.Round(time.Millisecond) {
			t.Errorf("%s: behind by %v (%v), want %v", name, behind, ok, c.behind)
		}
	}
}

func everySecond(p *progress, n int, length time.Duration) {
	for at := time.Second; at <= length; at += time.Second {
		p.advance(n, start.Add(at))
	}
}

// TestServedRequestsAreKept guards against closing the connection of a request that was read as a
// whole, and may have an effect, while its client reads.
func TestServedRequestsAreKept(t *testing.T) {
	now := start.Add(time.Hour)
	p := progress{held: 1 << 20}
	p.enter(phaseServing, start)
	served := &conn{progress: p}
	conns := map[*conn]struct{}{served: {}}
	if slowest(conns, now) != nil || heaviest(conns, now) != nil {
		t.Error("a connection is closed while its request is served")
	}
	served.progress.blocked = now.Add(-writeGrace)
	if slowest(conns, now) != nil {
		t.Error("a connection is closed when its client has just stopped reading")
	}
	served.progress.blocked = start
	if slowest(conns, now) != served {
		t.Error("the connection of a client that does not read is kept")
	}
}

// TestSmallRequestsOutrankStalledOnes guards against a crowd of stalled requests that keeps
// ordinary ones out.
func TestSmallRequestsOutrankStalledOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start.Add(time.Minute)
		conns := map[*conn]struct{}{}
		for range rapid.IntRange(1, 20).Draw(t, "stalled") {
			c := &conn{}
			c.progress.enter(phaseBody, now.Add(-time.Duration(rapid.IntRange(50, 20_000).Draw(t, "ms"))*time.Millisecond))
			c.progress.held = rapid.Int64Range(64<<10, 1<<20).Draw(t, "held")
			conns[c] = struct{}{}
		}
		ordinary := &conn{}
		ordinary.progress.enter(phaseHead, now.Add(-time.Duration(rapid.IntRange(0, 40).Draw(t, "age"))*time.Millisecond))
		ordinary.progress.held = rapid.Int64Range(1, 16<<10).Draw(t, "small")
		conns[ordinary] = struct{}{}
		if slowest(conns, now) == ordinary || heaviest(conns, now) == ordinary {
			t.Fatal("the ordinary request gives way")
		}
	})
}

// TestLargeRequestsLeaveRoomForSmallOnes guards against large requests that together use the whole
// memory.
func TestLargeRequestsLeaveRoomForSmallOnes(t *testing.T) {
	const budget = 8 << 20
	total := int64(0)
	for fits(0, 1<<20, total, budget) {
		total += 1 << 20
	}
	if total == 0 || !fits(0, smallRequest, total, budget) {
		t.Errorf("after %d bytes of large requests a small one does not fit into %d", total, budget)
	}
}

// TestOverdueConnections checks the timeout of each phase.
func TestOverdueConnections(t *testing.T) {
	l := Limits{HeadTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second, WriteTimeout: 20 * time.Second}
	for ph, c := range map[phase]struct {
		after  time.Duration
		reason closeReason
	}{
		phaseIdle: {l.IdleTimeout, closedIdle}, phaseHead: {l.HeadTimeout, closedSlowHead},
		phaseBody: {l.IdleTimeout, closedSlowBody}, phaseServing: {time.Hour, ""},
	} {
		p := progress{}
		p.enter(ph, start)
		if got := p.overdue(l, start.Add(c.after)); got != "" {
			t.Errorf("phase %d: closed early, %q", ph, got)
		}
		if got := p.overdue(l, start.Add(c.after+1)); got != c.reason {
			t.Errorf("phase %d: %q, want %q", ph, got, c.reason)
		}
		if got := p.overdue(Limits{}, start.Add(24*time.Hour)); got != "" {
			t.Errorf("phase %d: %q without limits", ph, got)
		}
		p.blocked = start
		if got := p.overdue(l, start.Add(l.WriteTimeout+1)); got != closedUnread {
			t.Errorf("phase %d with an unread answer: %q", ph, got)
		}
	}
}
