package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	jobsv1 "leverstile.dev/api/gen/leverstile/jobs/v1"
	"leverstile.dev/api/gen/leverstile/jobs/v1/jobsv1connect"
	"leverstile.dev/dial"
	"leverstile.dev/job"
)

// Timeouts of calls between entries, whose network latency is half a millisecond.
const (
	peerDialTimeout = 250 * time.Millisecond
	peerCallTimeout = 400 * time.Millisecond
	// peerWriteTimeout leaves the receiving entry the time for its own tries of a write.
	peerWriteTimeout = writeBudget
	peerIdleTimeout  = 60 * time.Second
	// peerConnections is the maximum number of idle connections kept to an entry.
	peerConnections = 4
)

func newPeerClient() *http.Client {
	return &http.Client{Transport: dial.NewTransport(peerConnections, peerDialTimeout, peerIdleTimeout)}
}

// ownerClient returns a client of the owner, nil if this node is the owner or none is known.
func (n *Node) ownerClient() jobsv1connect.OwnerClient {
	lead := n.lead.Load()
	if lead == nil || lead.Address == "" || lead.Entry == n.opts.Entry {
		return nil
	}
	return jobsv1connect.NewOwnerClient(n.peers, "http://"+lead.Address)
}

// ownerAddress returns where the owner serves other entries, empty if it is unknown.
func (n *Node) ownerAddress() string {
	if lead := n.lead.Load(); lead != nil {
		return lead.Address
	}
	return ""
}

// ownerState asks the owner for a job's state. It reports false if no owner answers, or if
// the owner does not know the job.
func (n *Node) ownerState(ctx context.Context, id string) (job.Status, bool) {
	if o := n.current.Load(); o != nil {
		return o.stateOf(id)
	}
	client := n.ownerClient()
	if client == nil {
		return job.Status{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	resp, err := client.GetJob(ctx, connect.NewRequest(&jobsv1.GetJobRequest{Id: id}))
	if err != nil {
		n.log.Warn().Str("event", "owner_unreached").Str("job", id).Err(err).Msg("")
		return job.Status{}, false
	}
	return job.Status{State: job.State(resp.Msg.GetState()), Reason: resp.Msg.GetReason()}, resp.Msg.GetKnown()
}

// ownerPending asks the owner for the number of a queue's pending jobs. It reports false if
// no owner answers.
func (n *Node) ownerPending(ctx context.Context, queue string) (int, bool) {
	if o := n.current.Load(); o != nil {
		return o.pendingOf(queue), true
	}
	client := n.ownerClient()
	if client == nil {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	resp, err := client.CountPending(ctx, connect.NewRequest(&jobsv1.CountPendingRequest{Queue: queue}))
	if err != nil || !resp.Msg.GetOwner() {
		return 0, false
	}
	return int(resp.Msg.GetPending()), true
}

// submitViaOwner has the owner record a job, for an entry that the store does not
// answer.
func (n *Node) submitViaOwner(ctx context.Context, id string, value []byte) Recorded {
	client := n.ownerClient()
	if client == nil {
		return RecordedNo
	}
	ctx, cancel := context.WithTimeout(ctx, peerWriteTimeout)
	defer cancel()
	resp, err := client.SubmitJob(ctx, connect.NewRequest(&jobsv1.SubmitJobRequest{Id: id, Record: value}))
	if err != nil {
		return failedCallResult(err)
	}
	return recordedFromWire(resp.Msg.GetRecorded())
}

// cancelViaOwner is submitViaOwner for a cancellation.
func (n *Node) cancelViaOwner(ctx context.Context, id string) Recorded {
	client := n.ownerClient()
	if client == nil {
		return RecordedNo
	}
	ctx, cancel := context.WithTimeout(ctx, peerWriteTimeout)
	defer cancel()
	resp, err := client.CancelJob(ctx, connect.NewRequest(&jobsv1.CancelJobRequest{Id: id}))
	if err != nil {
		return failedCallResult(err)
	}
	return recordedFromWire(resp.Msg.GetRecorded())
}

// failedCallResult returns the result of a failed call to the owner: RecordedNo if it was
// never sent, RecordedUnknown if the answer was lost.
func failedCallResult(err error) Recorded {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return RecordedNo
	}
	return RecordedUnknown
}

var recordedWire = map[Recorded]jobsv1.Recorded{
	RecordedYes: jobsv1.Recorded_RECORDED_YES, RecordedNo: jobsv1.Recorded_RECORDED_NO,
	RecordedUnknown: jobsv1.Recorded_RECORDED_UNKNOWN, RecordedNotFound: jobsv1.Recorded_RECORDED_NOT_FOUND,
	RecordedNoCapacity: jobsv1.Recorded_RECORDED_NO_ROOM,
}

func recordedFromWire(r jobsv1.Recorded) Recorded {
	for own, wire := range recordedWire {
		if wire == r {
			return own
		}
	}
	return RecordedUnknown
}

// peerServer serves the calls of other entries.
type peerServer struct{ node *Node }

// PeersHandler returns the handler of calls of other entries and of the product's
// own API.
func (n *Node) PeersHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(jobsv1connect.NewOwnerHandler(&peerServer{n}))
	mux.Handle(jobsv1connect.NewJobsHandler(&jobsServer{n}))
	mux.Handle(jobsv1connect.NewRelayHandler(&relayServer{n}))
	return mux
}

// GetJob implements jobsv1connect.OwnerHandler.
func (p *peerServer) GetJob(_ context.Context, req *connect.Request[jobsv1.GetJobRequest]) (*connect.Response[jobsv1.GetJobResponse], error) {
	o := p.node.current.Load()
	if o == nil {
		return connect.NewResponse(&jobsv1.GetJobResponse{}), nil
	}
	status, known := o.stateOf(req.Msg.GetId())
	return connect.NewResponse(&jobsv1.GetJobResponse{Owner: true, Known: known, State: string(status.State), Reason: status.Reason}), nil
}

// CountPending implements jobsv1connect.OwnerHandler.
func (p *peerServer) CountPending(_ context.Context, req *connect.Request[jobsv1.CountPendingRequest]) (*connect.Response[jobsv1.CountPendingResponse], error) {
	o := p.node.current.Load()
	if o == nil {
		return connect.NewResponse(&jobsv1.CountPendingResponse{}), nil
	}
	return connect.NewResponse(&jobsv1.CountPendingResponse{Owner: true, Pending: int64(o.pendingOf(req.Msg.GetQueue()))}), nil
}

// mayRecord reports whether this entry can record another entry's request itself, because the
// store answers it or because it is the owner. Otherwise the request is refused: requests are
// passed on only once, from an entry to the owner.
func (n *Node) mayRecord() bool { return !n.store.Down() || n.current.Load() != nil }

// SubmitJob implements jobsv1connect.OwnerHandler.
func (p *peerServer) SubmitJob(ctx context.Context, req *connect.Request[jobsv1.SubmitJobRequest]) (*connect.Response[jobsv1.SubmitJobResponse], error) {
	result := RecordedNo
	if p.node.mayRecord() {
		result = p.node.submitForEntry(ctx, req.Msg.GetId(), req.Msg.GetRecord(), req.Header().Get(directHeader) != "")
	}
	p.node.log.Info().Str("event", "job_relayed").Str("job", req.Msg.GetId()).Str("recorded", result.String()).Msg("")
	return connect.NewResponse(&jobsv1.SubmitJobResponse{Recorded: recordedWire[result]}), nil
}

// CancelJob implements jobsv1connect.OwnerHandler.
func (p *peerServer) CancelJob(ctx context.Context, req *connect.Request[jobsv1.CancelJobRequest]) (*connect.Response[jobsv1.CancelJobResponse], error) {
	result := RecordedNo
	if p.node.mayRecord() {
		result = p.node.cancelForEntry(ctx, req.Msg.GetId(), req.Header().Get(directHeader) != "")
	}
	return connect.NewResponse(&jobsv1.CancelJobResponse{Recorded: recordedWire[result]}), nil
}

// ExplainJob implements jobsv1connect.OwnerHandler.
func (p *peerServer) ExplainJob(_ context.Context, req *connect.Request[jobsv1.ExplainJobRequest]) (*connect.Response[jobsv1.ExplainJobResponse], error) {
	o := p.node.current.Load()
	if o == nil {
		return connect.NewResponse(&jobsv1.ExplainJobResponse{}), nil
	}
	text, err := o.explain(req.Msg.GetId())
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&jobsv1.ExplainJobResponse{Owner: true, Text: text}), nil
}
