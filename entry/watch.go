package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"leverstile.dev/kv"
	"leverstile.dev/membership"
	"leverstile.dev/shard"
)

// drainPrefix is the prefix of the keys of VMs that operators drain.
const drainPrefix = shard.WatchPrefix + "drain/"

// watchRetry is the delay before a broken watch is started again; a random
// time up to as long is added.
const watchRetry = 500 * time.Millisecond

// watch follows the store's keys below shard.WatchPrefix: entries, owners,
// drained VMs and the head of the declarations. It is the only watch that
// this entry keeps open.
func (e *Entry) watch(ctx context.Context) {
	for ctx.Err() == nil {
		pairs, rev, err := e.store.Range(ctx, shard.WatchPrefix)
		if err == nil {
			e.applySnapshot(pairs)
			err = e.store.Watch(ctx, shard.WatchPrefix, rev, func(_ int64, events []kv.Event) {
				for _, ev := range events {
					e.applyEvent(ev)
				}
				e.replan()
			})
		}
		if ctx.Err() == nil {
			e.log.Warn().Err(err).Msg("watch of the store failed; retrying")
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchRetry + rand.N(watchRetry)):
		}
	}
}

// applySnapshot replaces the data from the store by the result of a full read.
func (e *Entry) applySnapshot(pairs []kv.Pair) {
	e.view.mu.Lock()
	e.view.registered = map[string]membership.Entry{}
	e.view.owners = map[string]string{}
	e.view.drained = map[string]bool{}
	e.view.mu.Unlock()
	for _, p := range pairs {
		e.applyEvent(kv.Event{Pair: p})
	}
	e.replan()
}

// applyEvent applies one change of a key.
func (e *Entry) applyEvent(ev kv.Event) {
	key := ev.Pair.Key
	if key == headKey {
		e.declared.recordHead(ev.Pair)
		return
	}
	e.view.mu.Lock()
	defer e.view.mu.Unlock()
	if id, ok := strings.CutPrefix(key, entryPrefix); ok {
		applyEntryEvent(e.view.registered, id, ev)
	}
	if name, ok := strings.CutPrefix(key, shard.OwnerPrefix); ok {
		if delete(e.view.owners, name); !ev.Deleted {
			e.view.owners[name] = string(ev.Pair.Value)
		}
	}
	if vm, ok := strings.CutPrefix(key, drainPrefix); ok {
		if delete(e.view.drained, vm); !ev.Deleted {
			e.view.drained[vm] = true
		}
	}
}

func applyEntryEvent(entries map[string]membership.Entry, id string, ev kv.Event) {
	delete(entries, id)
	var m membership.Entry
	if !ev.Deleted && json.Unmarshal(ev.Pair.Value, &m) == nil {
		entries[id] = m
	}
}
