package node

import (
	"context"
	"testing"

	"github.com/phuslu/log"

	"leverstile.dev/job"
	"leverstile.dev/kv"
)

// recordStore holds one job's records.
type recordStore struct {
	Store
	values map[string]string
}

func (s recordStore) Get(_ context.Context, key string) (*kv.Pair, error) {
	if v, ok := s.values[key]; ok {
		return &kv.Pair{Key: key, Value: []byte(v)}, nil
	}
	return nil, nil
}

// TestStatesWithoutAnOwner: while there is no owner, states come from the store's records.
func TestStatesWithoutAnOwner(t *testing.T) {
	const id = "5c0e7a21d94b36f8"
	for name, c := range map[string]struct {
		values map[string]string
		known  bool
		want   job.State
	}{
		"no record": {nil, false, ""},
		"submitted": {map[string]string{jobPrefix + id: "{}"}, true, job.Queued},
		"under way": {map[string]string{jobPrefix + id: "{}", progressPrefix + id: `{"state":"running"}`}, true, job.Running},
		"ended":     {map[string]string{jobPrefix + id: "{}", progressPrefix + id: `{"state":"succeeded"}`}, true, job.Succeeded},
	} {
		n := &Node{steady: steadyClock(), peers: newPeerClient(), log: &log.Logger{Writer: log.IOWriter{Writer: t.Output()}}}
		n.store = &storeHealth{Store: recordStore{values: c.values}, clock: n.clock, changed: n.storeChanged}
		status, known, err := n.State(context.Background(), id)
		if err != nil || known != c.known || status.State != c.want {
			t.Errorf("%s: %q, known %v, %v; want %q, known %v", name, status.State, known, err, c.want, c.known)
		}
	}
}
