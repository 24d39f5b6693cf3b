package inbound

import "time"

// phase is what a connection is used for.
type phase uint8

const (
	// phaseIdle: no request is being read.
	phaseIdle phase = iota
	// phaseHead: a head is being read.
	phaseHead
	// phaseBody: a body is being read, or the rest of one after the answer.
	phaseBody
	// phaseServing: a request was read as a whole and is not answered yet.
	phaseServing
)

const (
	// minRate, in bytes a second, is the rate below which a client falls behind.
	minRate = 1024
	// writeGrace is the time for which an answer may wait for its client to read before its
	// connection may be closed for others.
	writeGrace = time.Second
	// smallRequest, in bytes, is what a request may hold also beyond largeShare of the memory,
	// so that a few large requests do not keep all small ones out.
	smallRequest = 64 << 10
	largeShare   = 0.75
)

// progress is how far a connection's client has come.
type progress struct {
	phase phase
	// since is when the phase began.
	since time.Time
	// last is when the client's last byte came.
	last time.Time
	// current is the time up to which the client has kept minRate.
	current time.Time
	// blocked is since when a write waits for the client; zero if none does.
	blocked time.Time
	// held is the memory that the request holds, in bytes.
	held int64
}

// enter begins a phase.
func (p *progress) enter(ph phase, now time.Time) {
	p.phase, p.since, p.last, p.current = ph, now, now, now
}

// advance records bytes of the client. A client that is faster than minRate gains nothing for
// later: one that stops falls behind from then on.
func (p *progress) advance(n int, now time.Time) {
	p.last = now
	p.current = p.current.Add(time.Duration(n) * time.Second / minRate)
	if p.current.After(now) {
		p.current = now
	}
}

// behind returns by how much the client has fallen behind, and whether the connection may be
// closed in favour of others. A request that was read as a whole may have an effect, and its
// answer is delivered unless the client does not read it.
func (p *progress) behind(now time.Time) (time.Duration, bool) {
	if !p.blocked.IsZero() {
		waited := now.Sub(p.blocked)
		return waited, waited > writeGrace
	}
	return now.Sub(p.current), p.phase != phaseServing
}

// slowest returns the connection to close in favour of a new one: of those that may be closed,
// the one that is the furthest behind; nil if there is none.
//
// It answers many clients that open connections and send little. A caller whose request arrives
// as a whole is hardly ever behind.
func slowest(conns map[*conn]struct{}, now time.Time) *conn {
	var worst *conn
	var most time.Duration
	for c := range conns {
		if behind, ok := c.progress.behind(now); ok && (worst == nil || behind > most) {
			worst, most = c, behind
		}
	}
	return worst
}

// heaviest returns the connection to close in favour of a request that needs memory: of those
// that may be closed, the one with the largest product of memory and time behind; nil if there
// is none that holds any.
//
// It answers many clients that send large requests slowly, or not to their end. A small request
// outranks all of these.
func heaviest(conns map[*conn]struct{}, now time.Time) *conn {
	var worst *conn
	var most float64
	for c := range conns {
		behind, ok := c.progress.behind(now)
		if !ok || c.progress.held == 0 {
			continue
		}
		weight := float64(c.progress.held) * float64(behind+time.Millisecond)
		if worst == nil || weight > most {
			worst, most = c, weight
		}
	}
	return worst
}

// fits reports whether a request that holds some memory may take more, where all requests
// together hold total of a budget.
func fits(held, more, total, budget int64) bool {
	if held+more > smallRequest {
		budget = int64(largeShare * float64(budget))
	}
	return total+more <= budget
}

// overdue returns which of the limits a connection exceeds, empty if none.
func (p *progress) overdue(l Limits, now time.Time) closeReason {
	over := func(since time.Time, limit time.Duration) bool { return limit > 0 && now.Sub(since) > limit }
	switch {
	case !p.blocked.IsZero():
		if over(p.blocked, l.WriteTimeout) {
			return closedUnread
		}
	case p.phase == phaseHead && over(p.since, l.HeadTimeout):
		return closedSlowHead
	case p.phase == phaseBody && over(p.last, l.IdleTimeout):
		return closedSlowBody
	case p.phase == phaseIdle && over(p.since, l.IdleTimeout):
		return closedIdle
	}
	return ""
}
