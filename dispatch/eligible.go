package dispatch

import (
	"fmt"
	"strings"
)

// barrier is why a worker gets no new tasks. The choice of workers, kept room,
// admission, gangs, moves and explanations ask barrierOf, so that they never
// count on a worker that the others leave out.
type barrier uint8

const (
	barrierNone barrier = iota
	// barrierUnlisted: the platform does not list it, or its entry can't be used.
	barrierUnlisted
	// barrierOver: its life has ended.
	barrierOver
	barrierDraining
	// barrierEvacuated: the operators have evacuated its data centre.
	barrierEvacuated
	// barrierUpkeep: its VM waits for upkeep.
	barrierUpkeep
	// barrierUnread: its lists were not read under this term.
	barrierUnread
	barrierSilent
	// barrierAvoided: its tasks fail one after the other, or it refuses work.
	barrierAvoided
	// barrierEndsDoubted: its ends may be forgotten before they are read; see doubtEnds.
	barrierEndsDoubted
	// barrierLifeDoubted: another owner may be there; see lifeDoubted.
	barrierLifeDoubted
	// barrierStale: its clock was read too long ago for a deadline; see leastAt.
	barrierStale
	// barrierOldRoom: it does not guard its room, which may have shrunk since the list
	// of workers was read.
	barrierOldRoom
	// barrierUnrecorded: the next owner would not know that it may have orders.
	barrierUnrecorded
	barrierKinds
)

// String returns the name, as logged and as told by Explain.
func (b barrier) String() string {
	return [...]string{"none", "unlisted", "over", "draining", "evacuated", "upkeep", "unread", "silent", "avoided", "ends_doubted", "life_doubted", "stale", "old_room", "unrecorded"}[b]
}

// barrierOf returns the first reason why a worker gets no new tasks.
func (c *Core) barrierOf(w *worker, now Instant) barrier {
	switch {
	case !w.listed:
		return barrierUnlisted
	case w.overReason != "":
		return barrierOver
	case w.info.Draining:
		return barrierDraining
	case c.evacuated[w.info.DataCentre]:
		return barrierEvacuated
	case w.cordoned:
		return barrierUpkeep
	case !w.synced:
		return barrierUnread
	case w.unanswered >= suspectAfter:
		return barrierSilent
	case now.Steady < w.avoidUntil:
		return barrierAvoided
	case w.endsDoubted:
		return barrierEndsDoubted
	case c.lifeDoubted(w, now):
		return barrierLifeDoubted
	case w.leastAt(c.validUntil) <= w.clockNow(now):
		return barrierStale
	case c.unguarded[w.info.Service] && c.params.RoomNotice > 0 && now.Steady-c.listedAt > c.params.RoomNotice:
		return barrierOldRoom
	case !w.recorded:
		return barrierUnrecorded
	default:
		return barrierNone
	}
}

// inPool reports whether a service's tasks may be sent to a worker now.
func (c *Core) inPool(w *worker, service string, now Instant) bool {
	return w.info.Service == service && c.barrierOf(w, now) == barrierNone
}

// poolOf returns the workers of a service that take work, in a fixed order.
func (c *Core) poolOf(service string, now Instant) []*worker {
	members := c.members[service]
	pool := make([]*worker, 0, len(members))
	for _, w := range members {
		if c.inPool(w, service, now) {
			pool = append(pool, w)
		}
	}
	return pool
}

// barrierCounts is how many workers there are behind each barrier.
type barrierCounts [barrierKinds]int

func (c *Core) countBarriers(service string, now Instant) (counts barrierCounts) {
	for _, w := range c.members[service] {
		counts[c.barrierOf(w, now)]++
	}
	return counts
}

// String names the barriers with workers behind them, and is empty if all take
// work.
func (n barrierCounts) String() string {
	var parts []string
	for b := barrierNone + 1; b < barrierKinds; b++ {
		if n[b] > 0 {
			parts = append(parts, fmt.Sprintf("%d %v", n[b], b))
		}
	}
	return strings.Join(parts, ", ")
}

// BarrierNames returns the names of the reasons why workers get no new tasks.
func BarrierNames() []string {
	names := make([]string, 0, barrierKinds-1)
	for b := barrierNone + 1; b < barrierKinds; b++ {
		names = append(names, b.String())
	}
	return names
}

// WorkersBarred returns how many workers get no new tasks for a reason.
func (c *Core) WorkersBarred(reason string, now Instant) int {
	n := 0
	for _, w := range c.order {
		if c.barrierOf(w, now).String() == reason {
			n++
		}
	}
	return n
}
