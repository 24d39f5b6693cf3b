package node

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"connectrpc.com/connect"

	jobsv1 "leverstile.dev/api/gen/leverstile/jobs/v1"
	"leverstile.dev/api/gen/leverstile/jobs/v1/jobsv1connect"
	"leverstile.dev/dispatch"
	"leverstile.dev/kv"
)

// evacuation is the state of a data centre as of a revision of the store. While a data
// centre is evacuated, its workers get no new tasks.
type evacuation struct {
	dataCentre string
	revision   int64
	evacuated  bool
}

// evacuationList holds the newest state of each data centre that was ever
// evacuated. Its lock guards known.
//
// Invariant: the state of a data centre is never replaced by one of an older
// revision. Reads, watches and other entries report changes in any order.
type evacuationList struct {
	mu    sync.Mutex
	known map[string]evacuation
}

// maxLifted bounds the data centres that are remembered after their evacuation was
// lifted, in case a writer uses random names: some ten times as many as the largest
// deployment has.
const maxLifted = 340

// update applies updates and returns those that changed whether a data centre is evacuated.
func (l *evacuationList) update(updates []evacuation) []evacuation {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known == nil {
		l.known = map[string]evacuation{}
	}
	var fresh []evacuation
	for _, e := range updates {
		before, known := l.known[e.dataCentre]
		if e.revision <= before.revision {
			continue
		}
		if !known && len(l.known) >= maxLifted {
			maps.DeleteFunc(l.known, func(_ string, e evacuation) bool { return !e.evacuated })
		}
		l.known[e.dataCentre] = e
		if e.evacuated != before.evacuated {
			fresh = append(fresh, e)
		}
	}
	return fresh
}

// evacuated returns the evacuated data centres, sorted.
func (l *evacuationList) evacuated() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []string
	for dc, e := range l.known {
		if e.evacuated {
			list = append(list, dc)
		}
	}
	slices.Sort(list)
	return list
}

// lifted returns the evacuations that are lifted according to a full read at a revision:
// those of the data centres that it does not name.
func (l *evacuationList) lifted(named map[string]bool, revision int64) []evacuation {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []evacuation
	for dc, e := range l.known {
		if e.evacuated && !named[dc] {
			list = append(list, evacuation{dataCentre: dc, revision: revision})
		}
	}
	return list
}

// evacuationsListed returns the updates of a full read of the operators' keys or of the
// evacuation keys alone.
func (n *Node) evacuationsListed(pairs []kv.Pair, revision int64) []evacuation {
	var list []evacuation
	named := map[string]bool{}
	for _, p := range pairs {
		if dc, ok := n.evacuatedBy(p.Key); ok {
			named[dc] = true
			list = append(list, evacuation{dc, p.ModRevision, true})
		}
	}
	return append(list, n.evacuations.lifted(named, revision)...)
}

// evacuationsOf returns the updates in changes of the operators' keys.
func (n *Node) evacuationsOf(events []kv.Event) []evacuation {
	var list []evacuation
	for _, ev := range events {
		if dc, ok := n.evacuatedBy(ev.Pair.Key); ok {
			list = append(list, evacuation{dc, ev.Pair.ModRevision, !ev.Deleted})
		}
	}
	return list
}

// evacuatedBy returns the data centre that a key evacuates while the key exists,
// whatever its value: a value that can't be read evacuates too.
func (n *Node) evacuatedBy(key string) (dataCentre string, ok bool) {
	if n.opts.EvacuationPrefix == "" {
		return "", false
	}
	dc, ok := strings.CutPrefix(key, n.opts.EvacuationPrefix)
	return dc, ok && dc != ""
}

// updateEvacuations applies updates that were read or received, and passes the changes
// to the core, or to the owner.
func (n *Node) updateEvacuations(updates []evacuation) {
	fresh := n.evacuations.update(updates)
	if len(fresh) == 0 {
		return
	}
	for _, e := range fresh {
		n.log.Info().Str("event", "evacuation_seen").Str("data_centre", e.dataCentre).Bool("evacuated", e.evacuated).Int64("revision", e.revision).Msg("")
	}
	if o := n.current.Load(); o != nil {
		o.locked(o.applyEvacuations)
		signal(o.wake)
		return
	}
	n.reportEvacuations(fresh)
}

// applyEvacuations passes the evacuated data centres to the core.
func (o *owner) applyEvacuations(core *dispatch.Core, _ dispatch.Instant) {
	core.SetEvacuated(o.node.evacuations.evacuated())
}

// reportEvacuations reports changes that this entry has read to the owner. The store may
// refuse the owner alone, for seconds, while it accepts the operators' writes.
func (n *Node) reportEvacuations(updates []evacuation) {
	req := &jobsv1.NoteEvacuationsRequest{}
	for _, e := range updates {
		req.Evacuations = append(req.Evacuations, &jobsv1.Evacuation{DataCentre: e.dataCentre, Revision: e.revision, Evacuated: e.evacuated})
	}
	n.notifyOwner("evacuations", func(ctx context.Context, client jobsv1connect.OwnerClient) error {
		_, err := client.NoteEvacuations(ctx, connect.NewRequest(req))
		return err
	})
}

// NoteEvacuations implements jobsv1connect.OwnerHandler.
func (p *peerServer) NoteEvacuations(_ context.Context, req *connect.Request[jobsv1.NoteEvacuationsRequest]) (*connect.Response[jobsv1.NoteEvacuationsResponse], error) {
	var updates []evacuation
	for _, e := range req.Msg.GetEvacuations() {
		updates = append(updates, evacuation{e.GetDataCentre(), e.GetRevision(), e.GetEvacuated()})
	}
	p.node.applyReportedEvacuations(updates)
	return connect.NewResponse(&jobsv1.NoteEvacuationsResponse{}), nil
}

// applyReportedEvacuations applies updates of another entry if this entry is the owner; any
// other entry ignores them.
func (n *Node) applyReportedEvacuations(updates []evacuation) {
	if n.current.Load() != nil {
		n.updateEvacuations(updates)
	}
}
