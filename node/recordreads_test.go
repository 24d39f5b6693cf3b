package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"leverstile.dev/dispatch"
	"leverstile.dev/kv"
)

// heldStore answers reads once released, and counts those that wait.
type heldStore struct {
	Store
	reading, most atomic.Int32
	release       chan struct{}
}

func (s *heldStore) Get(context.Context, string) (*kv.Pair, error) {
	n := s.reading.Add(1)
	defer s.reading.Add(-1)
	for most := s.most.Load(); n > most && !s.most.CompareAndSwap(most, n); most = s.most.Load() {
	}
	<-s.release
	return nil, nil
}

// TestReadsOfRecordsAreBounded guards against states of large jobs that are read by as many calls as
// customers make while no owner answers.
func TestReadsOfRecordsAreBounded(t *testing.T) {
	const most, calls = 3, 20
	s := &heldStore{release: make(chan struct{})}
	logger := &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}}
	n := New(Options{Entry: "entry-0", RecordReads: most, Params: dispatch.Params{MaxTaskLease: time.Second}}, Ports{Store: s}, logger, metrics.NewSet())
	var running sync.WaitGroup
	for i := range calls {
		running.Go(func() {
			if _, known, err := n.State(context.Background(), fmt.Sprintf("%016x", i)); known || err != nil {
				t.Errorf("known %v, %v", known, err)
			}
		})
	}
	for s.reading.Load() < most {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	if _, _, err := n.State(ctx, "00000000000000aa"); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a call whose time is over: %v", err)
	}
	close(s.release)
	running.Wait()
	if s.most.Load() != most {
		t.Errorf("%d reads at the same time, %d allowed", s.most.Load(), most)
	}
}
