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

// evacuation is what a store's revision says of a data centre.
type evacuation struct {
	dataCentre string
	revision   int64
	evacuated  bool
}

// evacuationList holds what is known of each data centre that was ever
// evacuated. Its lock guards known.
//
// Invariant: what a revision says of a data centre is never replaced by an
// older one. Reads, watches and other entries tell of changes in any order.
type evacuationList struct {
	mu    sync.Mutex
	known map[string]evacuation
}

// mostReturned bounds the data centres that are remembered as taken back, against
// a writer that names things at random: some ten times as many as the largest
// deployment has.
const mostReturned = 340

// note takes in news and returns those that were news indeed.
func (l *evacuationList) note(news []evacuation) []evacuation {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known == nil {
		l.known = map[string]evacuation{}
	}
	var fresh []evacuation
	for _, e := range news {
		before, known := l.known[e.dataCentre]
		if e.revision <= before.revision {
			continue
		}
		if !known && len(l.known) >= mostReturned {
			maps.DeleteFunc(l.known, func(_ string, e evacuation) bool { return !e.evacuated })
		}
		l.known[e.dataCentre] = e
		if e.evacuated != before.evacuated {
			fresh = append(fresh, e)
		}
	}
	return fresh
}

// evacuated returns the data centres that are evacuated, sorted.
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

// takenBack returns what a whole read at a revision says of the data centres
// that it does not name.
func (l *evacuationList) takenBack(named map[string]bool, revision int64) []evacuation {
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

// evacuationsListed returns what a whole read of the operators' keys says.
func (n *Node) evacuationsListed(pairs []kv.Pair, revision int64) []evacuation {
	var list []evacuation
	named := map[string]bool{}
	for _, p := range pairs {
		if dc, ok := n.evacuatedBy(p.Key); ok {
			named[dc] = true
			list = append(list, evacuation{dc, p.ModRevision, true})
		}
	}
	return append(list, n.evacuations.takenBack(named, revision)...)
}

// evacuationsOf returns what changes of the operators' keys say.
func (n *Node) evacuationsOf(events []kv.Event) []evacuation {
	var list []evacuation
	for _, ev := range events {
		if dc, ok := n.evacuatedBy(ev.Pair.Key); ok {
			list = append(list, evacuation{dc, ev.Pair.ModRevision, !ev.Deleted})
		}
	}
	return list
}

// evacuatedBy returns the data centre that a key evacuates while it is there,
// whatever its value: one that can't be read evacuates all the same.
func (n *Node) evacuatedBy(key string) (dataCentre string, ok bool) {
	if n.opts.EvacuationPrefix == "" {
		return "", false
	}
	dc, ok := strings.CutPrefix(key, n.opts.EvacuationPrefix)
	return dc, ok && dc != ""
}

// noteEvacuations takes in what was read or heard of evacuations, and hands what
// is new to the core, or to the owner.
func (n *Node) noteEvacuations(news []evacuation) {
	fresh := n.evacuations.note(news)
	if len(fresh) == 0 {
		return
	}
	for _, e := range fresh {
		n.log.Info().Str("event", "evacuation_seen").Str("data_centre", e.dataCentre).Bool("evacuated", e.evacuated).Int64("revision", e.revision).Msg("")
	}
	if o := n.current.Load(); o != nil {
		o.locked(o.takeEvacuations)
		signal(o.wake)
		return
	}
	n.relayEvacuations(fresh)
}

// takeEvacuations hands the evacuations that are known to the core.
func (o *owner) takeEvacuations(core *dispatch.Core, _ dispatch.Instant) {
	core.SetEvacuated(o.node.evacuations.evacuated())
}

// relayEvacuations tells the owner what this entry has just seen. The store may
// turn away the owner alone, for seconds, while it takes the operators' writes.
func (n *Node) relayEvacuations(news []evacuation) {
	req := &jobsv1.NoteEvacuationsRequest{}
	for _, e := range news {
		req.Evacuations = append(req.Evacuations, &jobsv1.Evacuation{DataCentre: e.dataCentre, Revision: e.revision, Evacuated: e.evacuated})
	}
	n.tellOwner("evacuations", func(ctx context.Context, client jobsv1connect.OwnerClient) error {
		_, err := client.NoteEvacuations(ctx, connect.NewRequest(req))
		return err
	})
}

// NoteEvacuations implements jobsv1connect.OwnerHandler.
func (p *peerServer) NoteEvacuations(_ context.Context, req *connect.Request[jobsv1.NoteEvacuationsRequest]) (*connect.Response[jobsv1.NoteEvacuationsResponse], error) {
	var news []evacuation
	for _, e := range req.Msg.GetEvacuations() {
		news = append(news, evacuation{e.GetDataCentre(), e.GetRevision(), e.GetEvacuated()})
	}
	p.node.takeRelayed(news)
	return connect.NewResponse(&jobsv1.NoteEvacuationsResponse{}), nil
}

// takeRelayed takes in what another entry has seen. It is not relayed further.
func (n *Node) takeRelayed(news []evacuation) {
	if n.current.Load() != nil {
		n.noteEvacuations(news)
	}
}
