package node

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"
)

// Limits of the delay before an entry stands for election.
const (
	// noHandicapShare is the part of a core from which a VM has no handicap: an owner of
	// 490 workers used 0.51 at its peak, 0.02 on average.
	noHandicapShare = 0.4
	// handicapPerCore is the delay of weaker VMs per core that they lack: 0.3 s at
	// 0.3 of a core, 0.6 s at 0.2. An election takes under 0.1 s.
	handicapPerCore = 3 * time.Second
	// campaignSlot is the time in which the number of entries that stand for election
	// doubles. An election that is won takes three calls to the store, some 20 ms.
	campaignSlot = 10 * time.Millisecond
	// campaignSlots is the number of slots; one entry in 2^campaignSlots stands at once.
	campaignSlots = 12
)

// campaignDelay returns how long an entry waits before it stands for election, counted
// from when nobody owns the cell as of a revision of the store. An entry that learns of
// an owner meanwhile does not stand.
//
// Delays are drawn so that the number of entries whose delay is over doubles with each
// slot. Thus few stand before the first one has won, however many entries there are, and
// with few entries all have stood after campaignSlots.
func campaignDelay(opts Options, revision int64) time.Duration {
	slots := campaignSlots + math.Log2(campaignDraw(opts.Entry, revision))
	return handicap(opts.ProcessorShare) + max(time.Duration(slots*float64(campaignSlot)), time.Nanosecond)
}

// campaignDraw returns a pseudorandom number above 0 and up to 1, the same for each call with
// an entry and a revision.
func campaignDraw(entry string, revision int64) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(entry))
	return 1 - rand.New(rand.NewPCG(h.Sum64(), uint64(revision))).Float64()
}

// handicap is the additional delay of a weak VM: stronger ones stand before it, and it
// takes over if there are none.
func handicap(share float64) time.Duration {
	if share <= 0 || share >= noHandicapShare {
		return 0
	}
	return time.Duration((noHandicapShare - share) * float64(handicapPerCore))
}
