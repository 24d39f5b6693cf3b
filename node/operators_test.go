package node

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"leverstile.dev/job"
	"leverstile.dev/kv"
	"leverstile.dev/standin"
)

// TestOperatorsAreFollowedOnAfterAnOutage: an entry whose watches break repeatedly reads the
// configuration once, and has each version in force in time. Reading it after each broken watch
// fills the store's link with 587 entries and 0.4 MB each, and watches break again since their
// answers are late.
func TestOperatorsAreFollowedOnAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, outages = 400_000, 20
		store := &countedStore{KVStore: standin.NewKVStore(time.Now)}
		put := func(version int) {
			value := strconv.Itoa(version) + strings.Repeat(" ", size)
			if _, err := store.KVStore.Do(context.Background(), kv.Txn{Then: []kv.Op{kv.Put("op/config", []byte(value), 0)}}); err != nil {
				t.Fatal(err)
			}
		}
		put(1)
		n := &Node{steady: steadyClock(), log: &log.Logger{Level: log.PanicLevel}, opts: Options{OperatorPrefix: "op/", ConfigKey: "op/config", DecodeConfig: decodeVersion}}
		n.store = &storeHealth{Store: store, clock: n.clock, changed: func(bool, error) {}}
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			_ = n.RunOperators(ctx)
			close(done)
		}()
		time.Sleep(time.Second)
		for i := range outages {
			store.SetFaults(standin.KVFaults{Down: true})
			time.Sleep(time.Second)
			store.SetFaults(standin.KVFaults{})
			if i%5 == 0 {
				put(2 + i)
			}
			time.Sleep(time.Second)
			if want := int64(2 + i - i%5); n.Config().Version != want {
				t.Fatalf("version %d is in force after outage %d, want %d", n.Config().Version, i, want)
			}
		}
		if read := store.bytes.Load(); read > size*3/2 {
			t.Errorf("%d bytes read in %d outages, want one configuration of %d", read, outages, size)
		}
		stop()
		<-done
	})
}

// decodeVersion reads a configuration that consists of its version.
func decodeVersion(value []byte) (*job.Config, error) {
	version, err := strconv.ParseInt(strings.TrimSpace(string(value)), 10, 64)
	return &job.Config{Version: version}, err
}
