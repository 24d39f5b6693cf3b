package acceptance

// Limits of the calls beyond the first of each request, over all requests of an entry.
const (
	// extraShare is the share of extra calls in the long run.
	extraShare = 0.1
	// extraBurst is how many extra calls may be made in a row: those of the three or four
	// requests that pass before an outage is recognised. With 5, 14 of 2,400 submissions in
	// an outage for a third of the entries found the budget empty.
	extraBurst = 8
	// extraKept is the part of extraBurst that only requests with an open outcome may use: a
	// refused caller can submit again.
	extraKept = 2
)

// Budget limits the extra calls of an entry: at most extraBurst, and extraShare of the
// requests. The zero value has all of the burst.
type Budget struct{ spent float64 }

// earn adds the share of one request.
func (b *Budget) earn() { b.spent = max(b.spent-extraShare, 0) }

// take takes one call; open is set if the request's outcome is open.
func (b *Budget) take(open bool) bool {
	limit := float64(extraBurst)
	if !open {
		limit -= extraKept
	}
	if b.spent+1 > limit {
		return false
	}
	b.spent++
	return true
}
