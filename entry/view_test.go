package entry

import (
	"testing"
	"time"

	peerv1 "leverstile.dev/api/gen/leverstile/peer/v1"
)

// TestLeavingReportsExpire guards against a VM that leaves for ever: two entries
// that report a VM to each other must not renew the report.
func TestLeavingReportsExpire(t *testing.T) {
	a, b := newView(), newView()
	now := time.Hour
	a.markLeaving(now, "vm")
	for end := now + 2*leavingRetention; now < end; now += time.Second {
		b.recordPeerView(now, &peerv1.View{Entry: "a", Leaving: a.leavingReports(now)})
		a.recordPeerView(now, &peerv1.View{Entry: "b", Leaving: b.leavingReports(now)})
		if now < time.Hour+leavingRetention && !b.leavingVMs(now)["vm"] {
			t.Fatal("b has no record of the VM")
		}
	}
	if len(a.leavingVMs(now)) > 0 || len(b.leavingVMs(now)) > 0 {
		t.Error("the VM still counts as leaving after leavingRetention")
	}
}
