package acceptance

import (
	"slices"
	"time"
)

// Limits of the Retry-After of a refused request.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
	// maxOutages is how many outages are remembered.
	maxOutages = 16
)

// Outages predicts the end of an outage of the store from earlier ones.
type Outages struct{ lengths []time.Duration }

// Add records an outage that has ended.
func (o *Outages) Add(length time.Duration) {
	o.lengths = append(o.lengths, length)
	o.lengths = o.lengths[max(len(o.lengths)-maxOutages, 0):]
}

// RetryAfter returns the delay after which a request that was refused has a chance, given
// for how long the store has been out: the median rest of the earlier outages that lasted
// longer. If none did, the outage is expected to last as long again.
func (o *Outages) RetryAfter(elapsed time.Duration) time.Duration {
	rest := elapsed
	var longer []time.Duration
	for _, length := range o.lengths {
		if length > elapsed {
			longer = append(longer, length)
		}
	}
	if len(longer) > 0 {
		slices.Sort(longer)
		rest = longer[len(longer)/2] - elapsed
	}
	if elapsed == 0 {
		// The store answers this entry, and refused only this request.
		rest = 0
	}
	return min(max(rest, minRetryAfter), maxRetryAfter)
}
