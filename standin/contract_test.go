package standin

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"leverstile.dev/kv"
)

// TestStoreContract guards against a stand-in, or a client over the gateway, that
// differs from the contract of kv.Store.
func TestStoreContract(t *testing.T) {
	t.Run("in process", func(t *testing.T) {
		s := NewKVStore(time.Now)
		contract(t, s, s)
	})
	t.Run("over the gateway", func(t *testing.T) {
		s := NewKVStore(time.Now)
		srv := httptest.NewServer(KVHandler(s))
		defer srv.Close()
		c := kv.NewClient([]string{srv.URL}, 10*time.Second, metrics.NewSet())
		defer c.Close()
		contract(t, c, s)
	})
}

func contract(t *testing.T, s kv.Store, faults *KVStore) {
	ctx := context.Background()
	must := func(res kv.TxnResult, err error) kv.TxnResult {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return res
	}
	create := kv.Txn{
		If:   []kv.Compare{{Key: "/a/1", Missing: true}},
		Then: []kv.Op{kv.Put("/a/1", []byte("one"), 0)},
		Else: []kv.Op{kv.Get("/a/1")},
	}
	first := must(s.Do(ctx, create))
	if !first.Succeeded {
		t.Fatal("a missing key can't be created")
	}
	again := must(s.Do(ctx, create))
	if again.Succeeded || len(again.Reads) != 1 || string(again.Reads[0][0].Value) != "one" {
		t.Fatalf("second creation: %+v", again)
	}
	mod := again.Reads[0][0].ModRevision
	swap := kv.Txn{If: []kv.Compare{{Key: "/a/1", ModRevision: mod}}, Then: []kv.Op{kv.Put("/a/1", []byte("two"), 0)}}
	if !must(s.Do(ctx, swap)).Succeeded || must(s.Do(ctx, swap)).Succeeded {
		t.Fatal("compare-and-swap must succeed once")
	}
	if _, err := s.Grant(ctx, time.Minute); err != nil {
		t.Fatal(err)
	}
	contractLease(t, s, faults)
	contractWatch(t, s)
	contractLostAnswer(t, s, faults)
}

func contractLease(t *testing.T, s kv.Store, faults *KVStore) {
	ctx := context.Background()
	id, err := s.Grant(ctx, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Do(ctx, kv.Txn{Then: []kv.Op{kv.Put("/lease/x", nil, id)}}); err != nil {
		t.Fatal(err)
	}
	if err := s.KeepAlive(ctx, id); err != nil {
		t.Fatal(err)
	}
	faults.ExpireLease(id)
	if err := s.KeepAlive(ctx, id); !errors.Is(err, kv.ErrLeaseNotFound) {
		t.Errorf("keep-alive of an expired lease: %v", err)
	}
	if pairs, _, err := s.Range(ctx, "/lease/"); err != nil || len(pairs) != 0 {
		t.Errorf("keys of an expired lease: %v %v", pairs, err)
	}
	if _, err := s.Do(ctx, kv.Txn{Then: []kv.Op{kv.Put("/lease/y", nil, id)}}); !errors.Is(err, kv.ErrLeaseNotFound) {
		t.Errorf("put under an expired lease: %v", err)
	}
}

func contractWatch(t *testing.T, s kv.Store) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	_, rev, err := s.Range(ctx, "/w/")
	if err != nil {
		t.Fatal(err)
	}
	events := make(chan kv.Event, 16)
	go func() {
		_ = s.Watch(ctx, "/w/", rev, func(_ int64, evs []kv.Event) {
			for _, ev := range evs {
				events <- ev
			}
		})
	}()
	for _, op := range []kv.Op{kv.Put("/w/1", []byte("v"), 0), kv.Put("/other", nil, 0), kv.DeletePrefix("/w/")} {
		if _, err := s.Do(ctx, kv.Txn{Then: []kv.Op{op}}); err != nil {
			t.Fatal(err)
		}
	}
	if ev := <-events; ev.Deleted || ev.Pair.Key != "/w/1" || string(ev.Pair.Value) != "v" {
		t.Errorf("first event %+v", ev)
	}
	if ev := <-events; !ev.Deleted || ev.Pair.Key != "/w/1" {
		t.Errorf("second event %+v", ev)
	}
}

func contractLostAnswer(t *testing.T, s kv.Store, faults *KVStore) {
	ctx := context.Background()
	faults.SetFaults(KVFaults{LoseAnswers: 1})
	put := kv.Txn{If: []kv.Compare{{Key: "/l", Missing: true}}, Then: []kv.Op{kv.Put("/l", []byte("x"), 0)}}
	if _, err := s.Do(ctx, put); !errors.Is(err, kv.ErrUnavailable) {
		t.Fatalf("lost answer: %v", err)
	}
	if res, err := s.Do(ctx, put); err != nil || res.Succeeded {
		t.Errorf("the write had taken effect: %+v %v", res, err)
	}
	faults.SetFaults(KVFaults{Down: true})
	if _, _, err := s.Range(ctx, "/"); !errors.Is(err, kv.ErrUnavailable) {
		t.Errorf("down: %v", err)
	}
	faults.SetFaults(KVFaults{})
}
