package standin

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"leverstile.dev/fleet"
)

// TestPlatformContract guards against a client or stand-in that differs from the
// platform's interfaces: a worker refuses outdated requests, and the VM list is
// sent only if it changed.
func TestPlatformContract(t *testing.T) {
	sim, err := NewFleet(FleetSpec{
		Places: []string{"a"}, VMs: 1, Capacity: fleet.Resources{CPUMilli: 2000, MemoryMiB: 2000},
		KVListen: "127.0.0.1:0", ListListen: "127.0.0.1:0",
	})
	if err != nil {
		t.Fatal(err)
	}
	defer sim.Close()
	c := fleet.NewClient("http://"+sim.Address, 10*time.Second, metrics.NewSet())
	defer c.Close()
	ctx := context.Background()
	first, err := c.VMs(ctx)
	if err != nil || len(first) != 1 {
		t.Fatal(first, err)
	}
	again, err := c.VMs(ctx)
	if err != nil || len(again) != 1 || again[0].ID != first[0].ID {
		t.Fatalf("an unchanged list: %v %v", again, err)
	}
	sim.SetState(first[0].ID, fleet.VMLeaving)
	if changed, err := c.VMs(ctx); err != nil || changed[0].State != fleet.VMLeaving {
		t.Fatalf("a changed list: %v %v", changed, err)
	}
	workerContract(t, ctx, c, first[0].Worker)
}

func workerContract(t *testing.T, ctx context.Context, c *fleet.Client, address string) {
	sync := func(req fleet.SyncRequest) *fleet.SyncReply {
		t.Helper()
		req.Cell = "c"
		reply, err := c.Sync(ctx, address, &req)
		if err != nil {
			t.Fatal(err)
		}
		return reply
	}
	hello := sync(fleet.SyncRequest{Term: 2, Seq: 1, Full: true})
	until := hello.ClockMS + time.Hour.Milliseconds()
	ref := fleet.AttemptRef{Task: "t", Attempt: 1}
	start := fleet.Start{AttemptRef: ref, Given: fleet.Resources{CPUMilli: 1000, MemoryMiB: 100}, Payload: []byte(`{"work_ms":3600000}`)}
	cases := []struct {
		name    string
		req     fleet.SyncRequest
		refused fleet.Refusal
		running int
	}{
		{"a former term", fleet.SyncRequest{Term: 1, Seq: 9, Boot: hello.Boot, LeaseUntilMS: until, Starts: []fleet.Start{start}}, fleet.RefusedStale, 0},
		{"a sequence number taken before", fleet.SyncRequest{Term: 2, Seq: 1, Boot: hello.Boot, LeaseUntilMS: until, Starts: []fleet.Start{start}}, fleet.RefusedStale, 0},
		{"another incarnation", fleet.SyncRequest{Term: 2, Seq: 2, Boot: hello.Boot + 1, LeaseUntilMS: until, Starts: []fleet.Start{start}, Full: true}, "", 0},
		{"an expired start", fleet.SyncRequest{Term: 2, Seq: 3, Boot: hello.Boot, LeaseUntilMS: 1, Starts: []fleet.Start{start}, Full: true}, "", 0},
		{"a good start", fleet.SyncRequest{Term: 2, Seq: 4, Boot: hello.Boot, LeaseUntilMS: until, Starts: []fleet.Start{start}, Full: true}, "", 1},
		{"the same start again", fleet.SyncRequest{Term: 2, Seq: 5, Boot: hello.Boot, LeaseUntilMS: until, Starts: []fleet.Start{start}, Full: true}, "", 1},
		{"a stop", fleet.SyncRequest{Term: 2, Seq: 6, Boot: hello.Boot, Stops: []fleet.AttemptRef{ref}, Full: true}, "", 0},
	}
	for _, tc := range cases {
		reply := sync(tc.req)
		if reply.Refused != tc.refused || len(reply.Running) != tc.running {
			t.Errorf("%s: %+v", tc.name, reply)
		}
	}
	if kept := sync(fleet.SyncRequest{Term: 2, Seq: 7}); len(kept.Ended) != 1 || kept.Ended[0].State != fleet.AttemptStopped {
		t.Errorf("an end that has not been acknowledged: %+v", kept)
	}
	if gone := sync(fleet.SyncRequest{Term: 2, Seq: 8, Acks: []fleet.AttemptRef{ref}}); len(gone.Ended) != 0 {
		t.Errorf("an acknowledged end: %+v", gone)
	}
}
