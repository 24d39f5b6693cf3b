package node

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"

	"leverstile.dev/dispatch"
	"leverstile.dev/job"
	"leverstile.dev/kv"
)

// silentStore refuses each read.
type silentStore struct{ Store }

func (silentStore) Get(context.Context, string) (*kv.Pair, error) { return nil, kv.ErrNotDone }

// cutOffNode returns an entry that the store does not answer and that has the owner's address.
func cutOffNode(t *testing.T, owner string) *Node {
	t.Helper()
	n := &Node{
		opts: Options{Entry: "entry-0"}, steady: steadyClock(), peers: newPeerClient(), hints: make(chan struct{}, maxHints),
		log: &log.Logger{Writer: log.IOWriter{Writer: t.Output()}},
	}
	n.store = &storeHealth{Store: silentStore{}, clock: func() time.Duration { return time.Minute }, changed: n.storeChanged}
	for range downFailures {
		n.store.record(kv.ErrNotDone)
	}
	n.setOwner(&leadRecord{Entry: "entry-1", Address: owner, Term: 1, Session: "s"})
	return n
}

// TestRelayedWritesWithoutAnAnswer: an owner that was sent a job or a cancellation may have
// recorded it whatever happened to its answer; only an owner that was never reached has not.
func TestRelayedWritesWithoutAnAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		serve http.HandlerFunc
		want  Recorded
	}{
		"breaks off": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, RecordedUnknown},
		"fails":      {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, RecordedUnknown},
		"is away":    {nil, RecordedNo},
	} {
		t.Run(name, func(t *testing.T) {
			n := cutOffNode(t, addressOf(t, c.serve))
			if got := n.submitRecord(context.Background(), "5c0e7a21d94b36f8", []byte("{}")); got != c.want {
				t.Errorf("a job: %v, want %v", got, c.want)
			}
			if got := n.cancelRecord(context.Background(), "5c0e7a21d94b36f8"); got != c.want {
				t.Errorf("a cancellation: %v, want %v", got, c.want)
			}
			if _, known, err := n.State(context.Background(), "5c0e7a21d94b36f8"); err == nil {
				t.Errorf("the state of a job that neither the owner nor the store returns: known %v, want an error", known)
			}
			if count, ok := n.Pending(context.Background(), "q"); ok {
				t.Errorf("%d pending jobs, though no owner answers", count)
			}
		})
	}
}

// addressOf returns the address of a server, or one that refuses connections.
func addressOf(t *testing.T, serve http.HandlerFunc) string {
	t.Helper()
	if serve != nil {
		server := httptest.NewServer(serve)
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// TestReadiness: an entry takes new connections only with a configuration and a store, and not
// once it drains.
func TestReadiness(t *testing.T) {
	for name, c := range map[string]struct {
		change func(n *Node)
		want   bool
	}{
		"sound":            {func(*Node) {}, true},
		"no configuration": {func(n *Node) { n.config.Store(nil) }, false},
		"drains":           {func(n *Node) { n.Drain() }, false},
		"store away":       {func(n *Node) { n.store.record(kv.ErrNotDone); n.store.record(kv.ErrNotDone) }, false},
		"one call lost":    {func(n *Node) { n.store.record(kv.ErrNotDone) }, true},
	} {
		n := &Node{steady: steadyClock(), drained: make(chan struct{}), log: &log.Logger{Writer: log.IOWriter{Writer: t.Output()}}}
		now := time.Minute
		n.store = &storeHealth{clock: func() time.Duration { return now }, changed: n.storeChanged}
		n.store.record(nil)
		n.config.Store(&job.Config{Version: 1})
		now += unreadyOutage
		c.change(n)
		if got := n.Ready(); got != c.want {
			t.Errorf("%s: ready %v, want %v", name, got, c.want)
		}
	}
}

// TestOldEvacuationsChangeNothing: the state of a data centre follows the store's revisions, in
// whatever order reads, watches and other entries report them.
func TestOldEvacuationsChangeNothing(t *testing.T) {
	var l evacuationList
	for _, x := range []struct {
		update evacuation
		want   int
	}{
		{evacuation{"a", 7, true}, 1},
		{evacuation{"a", 5, false}, 1}, // older
		{evacuation{"a", 7, true}, 1},  // repeated
		{evacuation{"a", 9, false}, 0},
		{evacuation{"a", 8, true}, 0}, // older than the lifting
		{evacuation{"a", 11, true}, 1},
	} {
		l.update([]evacuation{x.update})
		if got := len(l.evacuated()); got != x.want {
			t.Errorf("after %+v: %d are evacuated, want %d", x.update, got, x.want)
		}
	}
}

// TestConfigurationReachesTheCore: a queue is served by the workers of its service in the newest
// configuration; an older version changes nothing.
func TestConfigurationReachesTheCore(t *testing.T) {
	core := dispatch.New(dispatch.Params{}, 1, nil)
	queue := func(version int64, service string) *job.Config {
		return &job.Config{Version: version, Queues: []job.Queue{{Name: "q", Service: service}}}
	}
	core.SetConfig(queue(2, "new"))
	core.SetConfig(queue(1, "old"))
	now := dispatch.Instant{Steady: time.Second}
	core.SetWorkers([]dispatch.WorkerInfo{{ID: "w", Address: "w", Service: "old"}}, now)
	if plan := core.PlanPoll("w", now); plan.Send {
		t.Error("a worker of an older version's service is polled")
	}
}
