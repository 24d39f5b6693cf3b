package entry

import (
	"testing"
	"time"

	peerv1 "leverstile.dev/api/gen/leverstile/peer/v1"
)

// TestWordOfLeavingEnds: two entries that tell each other of a VM don't keep
// the word alive beyond its time.
func TestWordOfLeavingEnds(t *testing.T) {
	a, b := newView(), newView()
	now := time.Hour
	a.markLeaving(now, "vm")
	for end := now + 2*leavingHold; now < end; now += time.Second {
		b.heard(now, &peerv1.View{Entry: "a", Leaving: a.toldLeaving(now)})
		a.heard(now, &peerv1.View{Entry: "b", Leaving: b.toldLeaving(now)})
		if now < time.Hour+leavingHold && !b.leavingVMs(now)["vm"] {
			t.Fatal("b has not heard of the VM")
		}
	}
	if len(a.leavingVMs(now)) > 0 || len(b.leavingVMs(now)) > 0 {
		t.Error("the VM is leaving for ever")
	}
}
