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

// silentStore counts as down for the process.
type silentStore struct{ Store }

func (silentStore) Get(context.Context, string) (*kv.Pair, error) { return nil, kv.ErrNotDone }

// cutOffNode is an entry that the store does not answer, and that knows of an owner.
func cutOffNode(t *testing.T, owner string) *Node {
	t.Helper()
	n := &Node{
		opts: Options{Entry: "entry-0"}, steady: steadyClock(), peers: newPeerClient(), hints: make(chan struct{}, mostHints),
		log: &log.Logger{Writer: log.IOWriter{Writer: t.Output()}},
	}
	n.store = &storeHealth{Store: silentStore{}, clock: func() time.Duration { return time.Minute }, changed: n.storeChanged}
	for range downAfter {
		n.store.note(kv.ErrNotDone)
	}
	n.setOwner(&leadRecord{Entry: "entry-1", Address: owner, Term: 1, Session: "s"})
	return n
}

// TestRelayedWritesWithoutAnAnswer: an owner that was sent a job or a cancellation may have
// recorded it whatever became of its answer; only one that was never reached has not.
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
				t.Errorf("the state of a job that nobody tells: known %v, want an error", known)
			}
			if count, ok := n.Pending(context.Background(), "q"); ok {
				t.Errorf("%d pending jobs, though nobody tells", count)
			}
		})
	}
}

// addressOf returns the address of a server, or one where nobody listens.
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
		"store away":       {func(n *Node) { n.store.note(kv.ErrNotDone); n.store.note(kv.ErrNotDone) }, false},
		"one call lost":    {func(n *Node) { n.store.note(kv.ErrNotDone) }, true},
	} {
		n := &Node{steady: steadyClock(), drained: make(chan struct{}), log: &log.Logger{Writer: log.IOWriter{Writer: t.Output()}}}
		now := time.Minute
		n.store = &storeHealth{clock: func() time.Duration { return now }, changed: n.storeChanged}
		n.store.note(nil)
		n.config.Store(&job.Config{Version: 1})
		now += unreadyQuiet
		c.change(n)
		if got := n.Ready(); got != c.want {
			t.Errorf("%s: ready %v, want %v", name, got, c.want)
		}
	}
}

// TestOldEvacuationsChangeNothing: what is known of a data centre goes by the store's revision,
// in whatever order reads, watches and other entries tell.
func TestOldEvacuationsChangeNothing(t *testing.T) {
	var l evacuationList
	for _, x := range []struct {
		news evacuation
		want int
	}{
		{evacuation{"a", 7, true}, 1},
		{evacuation{"a", 5, false}, 1}, // from before
		{evacuation{"a", 7, true}, 1},  // told again
		{evacuation{"a", 9, false}, 0},
		{evacuation{"a", 8, true}, 0}, // from before it was taken back
		{evacuation{"a", 11, true}, 1},
	} {
		l.note([]evacuation{x.news})
		if got := len(l.evacuated()); got != x.want {
			t.Errorf("after %+v: %d are evacuated, want %d", x.news, got, x.want)
		}
	}
}

// TestConfigurationReachesTheCore: a queue that was added gets its service's workers, and a
// version that is older changes nothing.
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
