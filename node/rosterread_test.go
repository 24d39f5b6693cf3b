package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"leverstile.dev/dispatch"
	"leverstile.dev/kv"
)

// TestReadRoster: a roster in parts names the workers to wait for. One in a single value, or
// with a part that can't be read, means that any worker may have to be waited for, beside
// those that can be read. Other keys are ignored.
func TestReadRoster(t *testing.T) {
	part := func(key, ids string) kv.Pair { return kv.Pair{Key: key, Value: []byte(ids)} }
	first, second := part("ls/own/roster/00000", `[{"id":"w1"},{"id":"w2"}]`), part("ls/own/roster/00007", `[{"id":"w3"}]`)
	marker := part("ls/own/roster", "parts")
	for name, x := range map[string]struct {
		own     []kv.Pair
		inParts bool
		waits   int // for how many workers; one more represents those that no roster names
	}{
		"nothing":             {nil, false, 0},
		"parts":               {[]kv.Pair{marker, first, second}, true, 3},
		"a single value":      {[]kv.Pair{part("ls/own/roster", `[{"id":"w1"}]`)}, false, 1},
		"a value and parts":   {[]kv.Pair{part("ls/own/roster", `[{"id":"w9"}]`), first}, false, 3},
		"a part is damaged":   {[]kv.Pair{marker, first, part(second.Key, `[{`)}, true, 3},
		"keys of others":      {[]kv.Pair{marker, second, part("ls/own/roster/7", `[{"id":"w4"}]`), part("ls/own/roster/x", "x"), part("ls/own/roster/99999", "x")}, true, 1},
		"one worker in parts": {[]kv.Pair{marker, first, part("ls/own/roster/00001", `[{"id":"w2"}]`)}, true, 2},
	} {
		n := &Node{log: &log.Logger{Level: log.PanicLevel}}
		n.registerMetrics(metrics.NewSet())
		core := dispatch.New(dispatch.Params{MaxTaskLease: time.Second, OwnerTTL: time.Hour, OwnerHorizon: time.Hour}, 2, nil)
		inParts := n.readRoster(core, x.own, dispatch.Instant{})
		if got, want := fmt.Sprint(inParts, core.Recovering()), fmt.Sprint(x.inParts, x.waits); got != want {
			t.Errorf("%s: in parts and waited for: %s, want %s", name, got, want)
		}
	}
}
