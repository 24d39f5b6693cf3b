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

// leaseMargin is subtracted from a lease's duration by the entry's own clock.
const leaseMargin = 500 * time.Millisecond

// lease keeps this entry's store lease and its entry key. One lease serves
// everything that the entry owns, so that the store's cost of renewing it
// doesn't depend on the number of shards.
type lease struct {
	store kv.Store
	clock Clock
	ttl   time.Duration

	// fleet are the parameters that all entries must share; onMismatch is called
	// with the stored ones if they differ from this entry's.
	fleet      fleetParams
	onMismatch func(stored fleetParams)

	mu        sync.Mutex
	self      membership.Entry
	id        int64
	heldUntil time.Duration // clock reading up to which the lease is held for certain
	dirty     bool          // the entry key has to be written
	// settingsAgreed is set when the fleet's parameters equal this entry's. Until then
	// the entry owns nothing.
	settingsAgreed bool
}

// fleetKey holds the parameters that all entries must share. The first entry
// writes them; an operator may delete the key while none is running.
const fleetKey = "/leverstile/fleet"

// fleetParams must be the same on all entries: a new owner waits for the end of
// what a former one may have granted, and a key must fall into one claim shard.
type fleetParams struct {
	ClaimShards   int `json:"claim_shards"`
	TaskLeaseMS   int `json:"task_lease_ms"`
	OutageGraceMS int `json:"outage_grace_ms"`
}

// current returns the lease and the time until which it is held for certain.
func (l *lease) current() (int64, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id, l.heldUntil
}

// forShards returns the lease under which shards may be owned, or none while this
// entry's parameters differ from the fleet's.
func (l *lease) forShards() (int64, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.settingsAgreed {
		return 0, 0
	}
	return l.id, l.heldUntil
}

// isHeld reports whether the lease is held for certain now.
func (l *lease) isHeld() bool {
	id, until := l.current()
	return id != 0 && l.clock() < until
}

func (l *lease) setDraining() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.self.Draining = true
	l.dirty = true
}

// run renews the lease until ctx ends.
func (l *lease) run(ctx context.Context) {
	for {
		wait := l.ttl / 4
		if err := l.renew(ctx); err != nil {
			wait = min(wait, 500*time.Millisecond)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

func (l *lease) renew(ctx context.Context) error {
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
	// The store extended the lease after the call was sent, so it is held at
	// least for its duration from then on.
	l.set(id, sent+l.ttl-leaseMargin)
	return l.register(ctx, id)
}

func (l *lease) set(id int64, until time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if id != l.id {
		l.dirty = true
	}
	l.id, l.heldUntil = id, until
}

// register writes the entry key under the lease if it has changed.
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

// write writes the entry key, and the fleet's parameters if none are stored.
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
	l.settingsAgreed = stored == l.fleet
	l.mu.Unlock()
	if stored != l.fleet {
		l.onMismatch(stored)
	}
	return nil
}

// revoke ends the lease at a planned stop, so that no entry waits for its expiry.
func (l *lease) revoke(ctx context.Context) {
	if id, _ := l.current(); id != 0 {
		_ = l.store.Revoke(ctx, id)
	}
}
