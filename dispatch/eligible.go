package dispatch

import (
	"fmt"
	"strings"
)

// exclusion is the reason why a worker gets no new tasks. The choice of workers,
// reserved capacity, admission, gangs, moves and explanations all use exclusionOf, so
// that none of them counts on a worker that the others leave out.
type barrier uint8

const (
	barrierNone barrier = iota
	// exclusionUnlisted: the platform does not list the worker, or its list entry is unusable.
	barrierUnlisted
	// exclusionEnded: the worker's incarnation has ended.
	barrierOver
	barrierDraining
	// exclusionEvacuated: the operators have evacuated the worker's data centre.
	barrierEvacuated
	// exclusionMaintenance: the worker's VM waits for maintenance.
	barrierUpkeep
	// exclusionUnread: the worker's lists were not read in this owner's term.
	barrierUnread
	barrierSilent
	// exclusionAvoided: the worker's tasks fail one after the other, or it refuses work.
	barrierAvoided
	// exclusionEndsUncertain: the worker may drop the ends of its runs before they are read; see excludeForAcknowledgement.
	barrierEndsDoubted
	// exclusionIncarnationUncertain: another owner may be there; see mayHaveRestarted.
	barrierLifeDoubted
	// exclusionStaleClock: the worker's clock was read too long ago to set a deadline; see minClockAt.
	barrierStale
	// exclusionStaleCapacity: the worker does not check its own capacity, which may have
	// shrunk since the list of workers was read.
	barrierOldRoom
	// exclusionUnrecorded: the next owner would have no record that the worker may have orders.
	barrierUnrecorded
	barrierKinds
)

// String returns the name of the reason, as logged and as shown by Explain.
func (b barrier) String() string {
	return [...]string{"none", "unlisted", "over", "draining", "evacuated", "upkeep", "unread", "silent", "avoided", "ends_doubted", "life_doubted", "stale", "old_room", "unrecorded"}[b]
}

// exclusionOf returns the first reason why a worker gets no new tasks.
func (c *Core) barrierOf(w *worker, now Instant) barrier {
	switch {
	case !w.listed:
		return barrierUnlisted
	case w.endReason != "":
		return barrierOver
	case w.info.Draining:
		return barrierDraining
	case c.evacuated[w.info.DataCentre]:
		return barrierEvacuated
	case w.cordoned:
		return barrierUpkeep
	case !w.synced:
		return barrierUnread
	case w.unansweredCalls >= unreachedAfter:
		return barrierSilent
	case now.Steady < w.avoidUntil:
		return barrierAvoided
	case w.endsUncertain:
		return barrierEndsDoubted
	case c.mayHaveRestarted(w, now):
		return barrierLifeDoubted
	case w.minClockAt(c.validUntil) <= w.clockNow(now):
		return barrierStale
	case c.unguarded[w.info.Service] && c.params.MaxWorkerListAge > 0 && now.Steady-c.listedAt > c.params.MaxWorkerListAge:
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

// poolOf returns the workers of a service that get new tasks, in a fixed order.
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

// exclusionCounts is the number of workers for each exclusion.
type barrierCounts [barrierKinds]int

func (c *Core) countBarriers(service string, now Instant) (counts barrierCounts) {
	for _, w := range c.members[service] {
		counts[c.barrierOf(w, now)]++
	}
	return counts
}

// String lists the exclusions that apply to any worker, and is empty if all workers
// get new tasks.
func (n barrierCounts) String() string {
	var parts []string
	for b := barrierNone + 1; b < barrierKinds; b++ {
		if n[b] > 0 {
			parts = append(parts, fmt.Sprintf("%d %v", n[b], b))
		}
	}
	return strings.Join(parts, ", ")
}

// ExclusionNames returns the names of the reasons why workers get no new tasks.
func BarrierNames() []string {
	names := make([]string, 0, barrierKinds-1)
	for b := barrierNone + 1; b < barrierKinds; b++ {
		names = append(names, b.String())
	}
	return names
}

// WorkersExcluded returns how many workers get no new tasks for a reason.
func (c *Core) WorkersBarred(reason string, now Instant) int {
	n := 0
	for _, w := range c.order {
		if c.barrierOf(w, now).String() == reason {
			n++
		}
	}
	return n
}
