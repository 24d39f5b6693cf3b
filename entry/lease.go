package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"

	"leverstile.dev/kv"
	"leverstile.dev/membership"
	"leverstile.dev/shard"
)

// entryPrefix is the prefix of the entries' keys.
const entryPrefix = shard.WatchPrefix + "entry/"

// leaseMargin is taken off a lease's time by the entry's own clock.
const leaseMargin = 500 * time.Millisecond

// lease keeps this entry's store lease and its entry key. One lease serves all
// that the entry owns, so that keeping it costs the store the same whatever
// the number of shards.
type lease struct {
	store kv.Store
	clock Clock
	ttl   time.Duration

	// fleet are the parameters that all entries must share; onMismatch is told
	// of an entry's that differ from those in the store.
	fleet      fleetParams
	onMismatch func(stored fleetParams)

	mu    sync.Mutex
	self  membership.Entry
	id    int64
	until time.Duration // clock reading up to which the lease surely holds
	dirty bool          // the entry key has to be written
	// agreed: the fleet's parameters are this entry's. Until then it owns nothing.
	agreed bool
}

// fleetKey holds the parameters that all entries must share. The first entry
// writes them; an operator may delete the key while none is running.
const fleetKey = "/leverstile/fleet"

// fleetParams must be the same on all entries: a new owner waits for what a
// former one may have granted, and a key must fall into one claim shard.
type fleetParams struct {
	ClaimShards   int `json:"claim_shards"`
	TaskLeaseMS   int `json:"task_lease_ms"`
	OutageGraceMS int `json:"outage_grace_ms"`
}

// current returns the lease and until when it surely holds.
func (l *lease) current() (int64, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id, l.until
}

// forShards returns the lease under which shards may be owned: none while this
// entry's parameters differ from the fleet's.
func (l *lease) forShards() (int64, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.agreed {
		return 0, 0
	}
	return l.id, l.until
}

// holds reports whether the lease surely holds now.
func (l *lease) holds() bool {
	id, until := l.current()
	return id != 0 && l.clock() < until
}

func (l *lease) setDraining() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.self.Draining = true
	l.dirty = true
}

// run keeps the lease until ctx ends.
func (l *lease) run(ctx context.Context) {
	for {
		wait := l.ttl / 4
		if err := l.keep(ctx); err != nil {
			wait = min(wait, 500*time.Millisecond)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

func (l *lease) keep(ctx context.Context) error {
	id, _ := l.current()
	sent := l.clock()
	var err error
	if id == 0 {
		id, err = l.store.Grant(ctx, l.ttl)
	} else {
		err = l.store.KeepAlive(ctx, id)
	}
	if errors.Is(err, kv.ErrLeaseNotFound) {
		l.set(0, 0)
		return err
	}
	if err != nil {
		return err
	}
	// The lease was extended after the call was sent, so it holds at least
	// this long.
	l.set(id, sent+l.ttl-leaseMargin)
	return l.register(ctx, id)
}

func (l *lease) set(id int64, until time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if id != l.id {
		l.dirty = true
	}
	l.id, l.until = id, until
}

// register writes the entry key under the lease where it has changed.
func (l *lease) register(ctx context.Context, id int64) error {
	l.mu.Lock()
	dirty, self := l.dirty, l.self
	l.dirty = false
	l.mu.Unlock()
	if !dirty {
		return nil
	}
	err := l.write(ctx, self, id)
	if err != nil {
		l.mu.Lock()
		l.dirty = true
		l.mu.Unlock()
	}
	return err
}

// write writes the entry key, and the fleet's parameters if there are none.
func (l *lease) write(ctx context.Context, self membership.Entry, id int64) error {
	value, err := json.Marshal(self)
	if err != nil {
		return errors.Trace(err)
	}
	fleet, err := json.Marshal(l.fleet)
	if err != nil {
		return errors.Trace(err)
	}
	put := kv.Put(entryPrefix+self.ID, value, id)
	res, err := l.store.Do(ctx, kv.Txn{
		If:   []kv.Compare{{Key: fleetKey, Missing: true}},
		Then: []kv.Op{put, kv.Put(fleetKey, fleet, 0)},
		Else: []kv.Op{put, kv.Get(fleetKey)},
	})
	if err != nil {
		return err
	}
	stored := l.fleet
	if !res.Succeeded && len(res.Reads[0]) > 0 {
		if err := json.Unmarshal(res.Reads[0][0].Value, &stored); err != nil {
			return errors.Annotate(err, fleetKey)
		}
	}
	l.mu.Lock()
	l.agreed = stored == l.fleet
	l.mu.Unlock()
	if stored != l.fleet {
		l.onMismatch(stored)
	}
	return nil
}

// revoke ends the lease at a planned stop, so that nobody waits for its end.
func (l *lease) revoke(ctx context.Context) {
	if id, _ := l.current(); id != 0 {
		_ = l.store.Revoke(ctx, id)
	}
}
