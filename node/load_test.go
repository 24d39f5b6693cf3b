package node

import (
	"context"
	"sync"
	"testing"

	"github.com/juju/errors"

	"leverstile.dev/dispatch"
	"leverstile.dev/kv"
)

// failingStore refuses the first reads of each range, as many as refusals says, and counts
// those that it answers.
type failingStore struct {
	Store
	mu       sync.Mutex
	refusals map[string]int
	answered map[string]int
}

func (s *failingStore) Range(_ context.Context, prefix string) ([]kv.Pair, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusals[prefix] > 0 {
		s.refusals[prefix]--
		return nil, 0, errors.Trace(kv.ErrUnavailable)
	}
	s.answered[prefix]++
	return []kv.Pair{{Key: prefix + "a"}}, 7, nil
}

func (*failingStore) ListWorkers(context.Context) (dispatch.WorkerList, error) {
	return dispatch.WorkerList{}, nil
}

// TestLoadKeepsPartsAlreadyRead: parts of the state that a next owner has read are not read
// again when another part fails.
func TestLoadKeepsPartsAlreadyRead(t *testing.T) {
	store := &failingStore{refusals: map[string]int{ownPrefix: 0, progressPrefix: 1, intakePrefix: 3}, answered: map[string]int{}}
	n := &Node{steady: steadyClock(), lister: store}
	n.store = &storeHealth{Store: store, clock: n.clock, changed: func(bool, error) {}}
	s := &storedState{}
	tries := 0
	for err := errors.New("not read"); err != nil; tries++ {
		err = n.readState(context.Background(), s)
	}
	if tries != 4 {
		t.Errorf("%d tries", tries)
	}
	for _, prefix := range []string{ownPrefix, progressPrefix, intakePrefix} {
		if store.answered[prefix] != 1 {
			t.Errorf("%s was read %d times", prefix, store.answered[prefix])
		}
	}
	if len(s.own.pairs) != 1 || len(s.progress.pairs) != 1 || s.intake.revision != 7 {
		t.Errorf("%+v", s)
	}
}
