package dispatch

import (
	"fmt"
	"strings"
)

// exclusion is the reason why a worker gets no new tasks. The choice of workers,
// reserved capacity, admission, gangs, moves and explanations all use exclusionOf, so
// that none of them counts on a worker that the others leave out.
type exclusion uint8

const (
	exclusionNone exclusion = iota
	// exclusionUnlisted: the platform does not list the worker, or its list entry is unusable.
	exclusionUnlisted
	// exclusionEnded: the worker's incarnation has ended.
	exclusionEnded
	exclusionDraining
	// exclusionEvacuated: the operators have evacuated the worker's data centre.
	exclusionEvacuated
	// exclusionMaintenance: the worker's VM waits for maintenance.
	exclusionMaintenance
	// exclusionUnread: the worker's lists have not been read in this owner's term.
	exclusionUnread
	exclusionSilent
	// exclusionAvoided: the worker's tasks fail one after the other, or it refuses work.
	exclusionAvoided
	// exclusionEndsUncertain: the worker may drop the ends of its runs before they are
	// read; see excludeForAcknowledgement.
	exclusionEndsUncertain
	// exclusionIncarnationUncertain: the worker may have restarted under its id while
	// another owner may be active; see mayHaveRestarted.
	exclusionIncarnationUncertain
	// exclusionStaleClock: the worker's clock was read too long ago to set a deadline; see minClockAt.
	exclusionStaleClock
	// exclusionStaleCapacity: the worker does not check its own capacity, which may have
	// shrunk since the list of workers was read.
	exclusionStaleCapacity
	// exclusionUnrecorded: the next owner would have no record that the worker may have orders.
	exclusionUnrecorded
	exclusionKinds
)

// String returns the name of the reason, as logged and as shown by Explain.
func (b exclusion) String() string {
	return [...]string{"none", "unlisted", "over", "draining", "evacuated", "upkeep", "unread", "silent", "avoided", "ends_doubted", "life_doubted", "stale", "old_room", "unrecorded"}[b]
}

// exclusionOf returns the first reason why a worker gets no new tasks.
func (c *Core) exclusionOf(w *worker, now Instant) exclusion {
	switch {
	case !w.listed:
		return exclusionUnlisted
	case w.endReason != "":
		return exclusionEnded
	case w.info.Draining:
		return exclusionDraining
	case c.evacuated[w.info.DataCentre]:
		return exclusionEvacuated
	case w.cordoned:
		return exclusionMaintenance
	case !w.synced:
		return exclusionUnread
	case w.unansweredCalls >= unreachedAfter:
		return exclusionSilent
	case now.Steady < w.avoidUntil:
		return exclusionAvoided
	case w.endsUncertain:
		return exclusionEndsUncertain
	case c.mayHaveRestarted(w, now):
		return exclusionIncarnationUncertain
	case w.minClockAt(c.validUntil) <= w.clockNow(now):
		return exclusionStaleClock
	case c.unguarded[w.info.Service] && c.params.MaxWorkerListAge > 0 && now.Steady-c.listedAt > c.params.MaxWorkerListAge:
		return exclusionStaleCapacity
	case !w.recorded || w.sealed:
		return exclusionUnrecorded
	default:
		return exclusionNone
	}
}

// inPool reports whether a service's tasks may be sent to a worker now.
func (c *Core) inPool(w *worker, service string, now Instant) bool {
	return w.info.Service == service && c.exclusionOf(w, now) == exclusionNone
}

// poolOf returns the workers of a service that get new tasks, in a fixed order.
func (c *Core) poolOf(service string, now Instant) []*worker {
	members := c.workersByService[service]
	pool := make([]*worker, 0, len(members))
	for _, w := range members {
		if c.inPool(w, service, now) {
			pool = append(pool, w)
		}
	}
	return pool
}

// exclusionCounts is the number of workers for each exclusion.
type exclusionCounts [exclusionKinds]int

func (c *Core) countExclusions(service string, now Instant) (counts exclusionCounts) {
	for _, w := range c.workersByService[service] {
		counts[c.exclusionOf(w, now)]++
	}
	return counts
}

// String lists the exclusions that apply to any worker, and is empty if all workers
// get new tasks.
func (n exclusionCounts) String() string {
	var parts []string
	for b := exclusionNone + 1; b < exclusionKinds; b++ {
		if n[b] > 0 {
			parts = append(parts, fmt.Sprintf("%d %v", n[b], b))
		}
	}
	return strings.Join(parts, ", ")
}

// ExclusionNames returns the names of the reasons why workers get no new tasks.
func ExclusionNames() []string {
	names := make([]string, 0, exclusionKinds-1)
	for b := exclusionNone + 1; b < exclusionKinds; b++ {
		names = append(names, b.String())
	}
	return names
}

// WorkersExcluded returns how many workers get no new tasks for a reason.
func (c *Core) WorkersExcluded(reason string, now Instant) int {
	n := 0
	for _, w := range c.sortedWorkers {
		if c.exclusionOf(w, now).String() == reason {
			n++
		}
	}
	return n
}
