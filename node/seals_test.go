package node

import (
	"testing"

	"leverstile.dev/dispatch"
)

// TestSealsOfEarlierOwnersNeedAnUnbrokenSequence guards against seals that an owner of an earlier
// version has ignored.
func TestSealsOfEarlierOwnersNeedAnUnbrokenSequence(t *testing.T) {
	const n = dispatch.TokensPerTerm
	first := sealsRecord{}.next(1)
	second := first.next(1 + n)
	if first.From != 1 || second != (sealsRecord{Next: 1 + 2*n, From: 1}) {
		t.Errorf("two owners in turn: %+v, %+v", first, second)
	}
	for name, term := range map[string]uint64{"an owner that stored no record": 1 + 3*n, "one that took a single token": 2 + 2*n} {
		if after := second.next(term); after.From != term {
			t.Errorf("%s came between: %+v", name, after)
		}
	}
}
