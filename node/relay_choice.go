package node

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Figures of what a VM can carry of calls to workers. They answer the load of
// 490 workers at 850 starts a second: 3,200 calls a second in all.
const (
	// callCost is the processor time of a call to a worker, in core-seconds:
	// 58 microseconds all in all, measured as the owner's use on such a day.
	callCost = 58e-6
	// callBytes is the size of a call on the link, the larger direction: a poll
	// takes 1.2 KB, a start with its payload 2.7 KB.
	callBytes = 1600
	// relayShare is the part of its processor and of its link that a VM gives to
	// calls; the rest is for customers' calls, peaks and decisions.
	relayShare = 0.35
	// callsPerWorker is the least load to expect of a worker, in calls a second:
	// two polls and a start. Workers of 64 cores had 5.8 at the peak.
	callsPerWorker = 3
	// loadMargin is added to the load measured, loadFading is what is left of an
	// earlier peak after a second: load swings within 10 to 20 s.
	loadMargin = 1.15
	loadFading = 0.97
	// sparesBelow keeps relays that are in use until the owner could carry that
	// much more than the load: it does not go to and fro.
	sparesBelow = 0.7
)

// carries returns how many calls to workers a second a VM can carry beside its
// other work; 0 for a figure that is not known leaves the other to decide.
func carries(processorShare, linkBytes float64) float64 {
	calls := 0.0
	if processorShare > 0 {
		calls = relayShare * processorShare / callCost
	}
	if byLink := relayShare * linkBytes / callBytes; linkBytes > 0 && (calls == 0 || byLink < calls) {
		calls = byLink
	}
	return calls
}

// callLoad follows how many calls to workers a second the owner makes.
type callLoad struct {
	peak float64
	at   time.Duration
}

// take takes in the calls made since the last time, and returns the load to
// provide for.
func (l *callLoad) take(calls float64, workers int, now time.Duration) float64 {
	if seconds := (now - l.at).Seconds(); l.at > 0 && seconds > 0 {
		l.peak = max(calls/seconds, l.peak*math.Pow(loadFading, seconds))
	}
	l.at = now
	return max(loadMargin*l.peak, float64(callsPerWorker*workers))
}

// relayOffer is an entry that offers to make calls.
type relayOffer struct {
	entry, dataCentre string
	carries           float64
	// used is set while the entry makes calls.
	used bool
}

// chooseRelays returns the entries that make the owner's calls, strongest first:
// none if the owner carries the load itself, else as few as carry it together.
// Entries in use are kept, so that workers keep theirs.
func chooseRelays(load, own float64, offers []relayOffer) []relayOffer {
	inUse := slices.ContainsFunc(offers, func(o relayOffer) bool { return o.used })
	if own == 0 || load <= own && (!inUse || load <= sparesBelow*own) {
		return nil
	}
	offers = slices.Clone(offers)
	slices.SortFunc(offers, func(a, b relayOffer) int {
		if a.used != b.used {
			return cmp.Compare(boolRank(b.used), boolRank(a.used))
		}
		return cmp.Or(cmp.Compare(b.carries, a.carries), cmp.Compare(a.entry, b.entry))
	})
	carried := 0.0
	for i, o := range offers {
		if carried >= load {
			return offers[:i]
		}
		carried += o.carries
	}
	return offers
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// relayedWorker is a worker whose calls may be relayed, with the entry that makes
// them now, if any.
type relayedWorker struct {
	id, dataCentre, relay string
}

// assignRelays returns the entry that makes each worker's calls. A worker keeps
// its entry while that has room; others get one of their data centre where there
// is room, since bytes between data centres have a price, else the one with the
// most room.
func assignRelays(workers []relayedWorker, relays []relayOffer) map[string]string {
	total := 0.0
	for _, r := range relays {
		total += r.carries
	}
	if total == 0 {
		return nil
	}
	room := make(map[string]int, len(relays))
	for _, r := range relays {
		room[r.entry] = int(float64(len(workers))*r.carries/total) + 1
	}
	assigned := make(map[string]string, len(workers))
	for _, w := range workers {
		if w.relay != "" && room[w.relay] > 0 {
			assigned[w.id] = w.relay
			room[w.relay]--
		}
	}
	for _, near := range []bool{true, false} {
		for _, w := range workers {
			if assigned[w.id] != "" {
				continue
			}
			if entry := mostRoom(relays, room, w.dataCentre, near); entry != "" {
				assigned[w.id] = entry
				room[entry]--
			}
		}
	}
	return assigned
}

// mostRoom returns the entry with the most room, of a data centre only if near.
func mostRoom(relays []relayOffer, room map[string]int, dataCentre string, near bool) string {
	best := ""
	for _, r := range relays {
		if room[r.entry] <= 0 || near && r.dataCentre != dataCentre {
			continue
		}
		if best == "" || room[r.entry] > room[best] {
			best = r.entry
		}
	}
	return best
}
