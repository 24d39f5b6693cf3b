package node

import (
	"context"
	"time"

	"connectrpc.com/connect"

	jobsv1 "leverstile.dev/api/gen/leverstile/jobs/v1"
	"leverstile.dev/api/gen/leverstile/jobs/v1/jobsv1connect"
	"leverstile.dev/dispatch"
	"leverstile.dev/job"
	"leverstile.dev/kv"
)

// Limits of hints: calls by which an entry reports a new job, cancellation or evacuation to
// the owner, which also watches the store for them.
const (
	// maxHintAge is how old a job may be for its hint to count: far less than the time for
	// which records are kept, so that no job that ended long ago is taken for a new one.
	// The clocks of two VMs may be some seconds apart.
	maxHintAge = 20 * time.Second
	// maxHints bounds the hints under way; further ones are dropped.
	maxHints = 64
)

// hintOwner reports a new record of this entry to the owner. The owner's watch reports
// it too, but can be silent for seconds while the store serves others. If a hint is lost,
// the record is processed when the watch reports it.
func (n *Node) hintOwner(id string, record []byte) {
	if o := n.current.Load(); o != nil {
		o.processHint(id, record)
		return
	}
	n.notifyOwner(id, func(ctx context.Context, client jobsv1connect.OwnerClient) error {
		resp, err := client.NoteIntake(ctx, connect.NewRequest(&jobsv1.NoteIntakeRequest{Id: id, Record: record, Address: n.opts.PeerAddress}))
		if err == nil {
			n.relays.learn(resp.Header().Values(relayHeader), n.clock())
			n.recordCrowded(resp.Msg.GetCrowded())
		}
		return err
	})
}

// notifyOwner sends the owner a hint in the background, if an owner is known and fewer than
// maxHints calls are under way.
func (n *Node) notifyOwner(what string, call func(context.Context, jobsv1connect.OwnerClient) error) {
	client := n.ownerClient()
	if client == nil {
		return
	}
	select {
	case n.hints <- struct{}{}:
	default:
		n.log.Warn().Str("event", "hint_dropped").Str("job", what).Int("under_way", maxHints).Msg("")
		return
	}
	go func() {
		defer func() { <-n.hints }()
		ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
		defer cancel()
		if err := call(ctx, client); err != nil {
			n.log.Warn().Str("event", "hint_unanswered").Str("job", what).Err(err).Msg("")
		}
	}()
}

// NoteIntake implements jobsv1connect.OwnerHandler.
func (p *peerServer) NoteIntake(_ context.Context, req *connect.Request[jobsv1.NoteIntakeRequest]) (*connect.Response[jobsv1.NoteIntakeResponse], error) {
	o := p.node.current.Load()
	if o == nil {
		return connect.NewResponse(&jobsv1.NoteIntakeResponse{}), nil
	}
	p.node.relays.add(req.Msg.GetAddress(), p.node.clock())
	o.processHint(req.Msg.GetId(), req.Msg.GetRecord())
	resp := connect.NewResponse(&jobsv1.NoteIntakeResponse{Crowded: o.crowded()})
	for _, relay := range p.node.relays.share(p.node.clock(), req.Msg.GetAddress()) {
		resp.Header().Add(relayHeader, relay)
	}
	return resp, nil
}

// processHint processes a hint of a job, or of a cancellation if there is no record.
func (o *owner) processHint(id string, record []byte) {
	if len(record) == 0 {
		o.processIntake([]kv.Event{{Pair: kv.Pair{Key: cancelPrefix + id}}})
		return
	}
	spec, err := decodeSpec(kv.Pair{Key: jobPrefix + id, Value: record})
	if err != nil {
		o.node.log.Error().Str("event", "hint_unreadable").Str("job", id).Err(err).Msg("")
		return
	}
	if !freshHint(spec, o.now()) {
		o.node.log.Warn().Str("event", "hint_too_old").Str("job", id).Int64("accepted_ms", spec.AcceptedMS).Msg("")
		return
	}
	o.processIntake([]kv.Event{{Pair: kv.Pair{Key: jobPrefix + id, Value: record}}})
}

// freshHint reports whether a job is recent enough for its hint to count.
func freshHint(spec *job.Spec, now dispatch.Instant) bool {
	return now.UnixMS-spec.AcceptedMS < maxHintAge.Milliseconds()
}
