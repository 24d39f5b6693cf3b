package node

import (
	"context"
	"encoding/json"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	jobsv1 "leverstile.dev/api/gen/leverstile/jobs/v1"
	"leverstile.dev/job"
)

// jobsServer serves the product's own job API.
type jobsServer struct{ node *Node }

// Submit implements jobsv1connect.JobsHandler.
func (s *jobsServer) Submit(ctx context.Context, req *connect.Request[jobsv1.SubmitRequest]) (*connect.Response[jobsv1.SubmitResponse], error) {
	spec := &job.Spec{}
	if err := json.Unmarshal(req.Msg.GetSpec(), spec); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	spec.AcceptedQueue = nil // only entries set it
	if err := s.node.checkSpec(spec); err != nil {
		return nil, err
	}
	result := s.node.Submit(untilDeadline(ctx), spec)
	return connect.NewResponse(&jobsv1.SubmitResponse{
		Recorded: recordedWire[result.Recorded], RetryAfterMs: result.RetryAfter.Milliseconds(),
	}), nil
}

// checkSpec returns an error for a job that no entry accepts from a customer.
func (n *Node) checkSpec(spec *job.Spec) error {
	if err := spec.Validate(); err != nil {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	config := n.Config()
	if config == nil {
		return connect.NewError(connect.CodeUnavailable, errors.New("no configuration yet"))
	}
	if config.Queue(spec.Queue) == nil {
		return connect.NewError(connect.CodeNotFound, errors.Errorf("no queue %q", spec.Queue))
	}
	return nil
}

// Get implements jobsv1connect.JobsHandler.
func (s *jobsServer) Get(ctx context.Context, req *connect.Request[jobsv1.GetRequest]) (*connect.Response[jobsv1.GetResponse], error) {
	status, known, err := s.node.State(ctx, req.Msg.GetId())
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&jobsv1.GetResponse{Known: known, State: string(status.State), Reason: status.Reason}), nil
}

// Cancel implements jobsv1connect.JobsHandler.
func (s *jobsServer) Cancel(ctx context.Context, req *connect.Request[jobsv1.CancelRequest]) (*connect.Response[jobsv1.CancelResponse], error) {
	recorded := s.node.Cancel(untilDeadline(ctx), req.Msg.GetId())
	return connect.NewResponse(&jobsv1.CancelResponse{Recorded: recordedWire[recorded]}), nil
}

// Pending implements jobsv1connect.JobsHandler.
func (s *jobsServer) Pending(ctx context.Context, req *connect.Request[jobsv1.PendingRequest]) (*connect.Response[jobsv1.PendingResponse], error) {
	n, ok := s.node.Pending(ctx, req.Msg.GetQueue())
	if !ok {
		return nil, connect.NewError(connect.CodeUnavailable, errNoOwner)
	}
	return connect.NewResponse(&jobsv1.PendingResponse{Pending: int64(n)}), nil
}

// errNoOwner means that no entry currently answers as owner of the cell.
const errNoOwner = errors.ConstError("no owner answers")

// Explain implements jobsv1connect.JobsHandler.
func (s *jobsServer) Explain(ctx context.Context, req *connect.Request[jobsv1.ExplainRequest]) (*connect.Response[jobsv1.ExplainResponse], error) {
	if o := s.node.current.Load(); o != nil {
		text, err := o.explain(req.Msg.GetId())
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
		return connect.NewResponse(&jobsv1.ExplainResponse{Text: text}), nil
	}
	client := s.node.ownerClient()
	if client == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errNoOwner)
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	resp, err := client.ExplainJob(ctx, connect.NewRequest(&jobsv1.ExplainJobRequest{Id: req.Msg.GetId()}))
	if err != nil {
		return nil, err
	}
	if !resp.Msg.GetOwner() {
		return nil, connect.NewError(connect.CodeUnavailable, errNoOwner)
	}
	return connect.NewResponse(&jobsv1.ExplainResponse{Text: resp.Msg.GetText()}), nil
}
