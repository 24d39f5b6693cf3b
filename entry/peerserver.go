package entry

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"k8s.io/apimachinery/pkg/labels"

	journalv1 "leverstile.dev/api/gen/leverstile/journal/v1"
	peerv1 "leverstile.dev/api/gen/leverstile/peer/v1"
	"leverstile.dev/api/gen/leverstile/peer/v1/peerv1connect"
	"leverstile.dev/api/result"
	"leverstile.dev/claim"
)

// peerServer answers the calls of peers.
type peerServer struct{ entry *Entry }

func (e *Entry) peersHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerHandler(&peerServer{e}))
	return mux
}

// Exchange implements peerv1connect.PeerHandler.
func (p *peerServer) Exchange(_ context.Context, req *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeResponse], error) {
	p.entry.recordPeerView(req.Msg.GetView())
	return connect.NewResponse(&peerv1.ExchangeResponse{View: p.entry.ownView()}), nil
}

// GetDeclarations implements peerv1connect.PeerHandler.
func (p *peerServer) GetDeclarations(context.Context, *connect.Request[peerv1.GetDeclarationsRequest]) (*connect.Response[peerv1.GetDeclarationsResponse], error) {
	rev := p.entry.declared.active()
	return connect.NewResponse(&peerv1.GetDeclarationsResponse{Revision: rev.number, Document: rev.document}), nil
}

// SubmitTasks implements peerv1connect.PeerHandler.
func (p *peerServer) SubmitTasks(ctx context.Context, req *connect.Request[peerv1.SubmitTasksRequest]) (*connect.Response[peerv1.SubmitTasksResponse], error) {
	out := &peerv1.SubmitTasksResponse{}
	c := p.entry.shards.cell(req.Msg.GetCell())
	if c == nil || c.status.ownedTerm() == 0 {
		for _, t := range req.Msg.GetTasks() {
			out.Results = append(out.Results, &peerv1.TaskResult{Id: t.GetId(), Code: uint32(result.OwnerUnavailable)})
		}
		return connect.NewResponse(out), nil
	}
	reply := c.submit(ctx, req.Msg.GetTasks())
	if reply.Err != nil {
		for _, t := range req.Msg.GetTasks() {
			out.Results = append(out.Results, &peerv1.TaskResult{Id: t.GetId(), Code: uint32(reply.Err.Code), Detail: reply.Err.Detail})
		}
	}
	for _, r := range reply.Results {
		out.Results = append(out.Results, &peerv1.TaskResult{Id: r.ID, Code: uint32(r.Code), Detail: r.Detail})
	}
	return connect.NewResponse(out), nil
}

// ownedCell returns a cell that this entry owns and the parsed selector, or nil
// and the code for the reason.
func (p *peerServer) ownedCell(name, selector string) (*cellRunner, labels.Selector, result.Code) {
	sel, err := labels.Parse(selector)
	if err != nil {
		return nil, nil, result.BadSelector
	}
	c := p.entry.shards.cell(name)
	if c == nil || c.status.ownedTerm() == 0 {
		return nil, nil, result.OwnerUnavailable
	}
	return c, sel, result.OK
}

// GetTasks implements peerv1connect.PeerHandler.
func (p *peerServer) GetTasks(ctx context.Context, req *connect.Request[peerv1.GetTasksRequest]) (*connect.Response[peerv1.GetTasksResponse], error) {
	c, sel, code := p.ownedCell(req.Msg.GetCell(), req.Msg.GetSelector())
	out := &peerv1.GetTasksResponse{Code: uint32(code)}
	if c == nil {
		return connect.NewResponse(out), nil
	}
	reply := c.get(ctx, req.Msg.GetId(), sel)
	out.Code, out.Tasks = codeOf(reply.Err), reply.Tasks
	if req.Msg.GetExplain() {
		out.Explanation = c.explain(ctx, req.Msg.GetId())
	}
	return connect.NewResponse(out), nil
}

func codeOf(err *result.Error) uint32 {
	if err == nil {
		return uint32(result.OK)
	}
	return uint32(err.Code)
}

// CancelTasks implements peerv1connect.PeerHandler.
func (p *peerServer) CancelTasks(ctx context.Context, req *connect.Request[peerv1.CancelTasksRequest]) (*connect.Response[peerv1.CancelTasksResponse], error) {
	c, sel, code := p.ownedCell(req.Msg.GetCell(), req.Msg.GetSelector())
	out := &peerv1.CancelTasksResponse{Code: uint32(code)}
	if c == nil {
		return connect.NewResponse(out), nil
	}
	reply := c.cancel(ctx, req.Msg.GetId(), sel)
	out.Code = codeOf(reply.Err)
	for _, r := range reply.Results {
		out.Ids = append(out.Ids, r.ID)
	}
	return connect.NewResponse(out), nil
}

func (p *peerServer) claimShard(name string) *claimRunner {
	for _, c := range p.entry.shards.claims {
		if c.name == name {
			return c
		}
	}
	return nil
}

// Claim implements peerv1connect.PeerHandler.
func (p *peerServer) Claim(ctx context.Context, req *connect.Request[peerv1.ClaimRequest]) (*connect.Response[peerv1.ClaimResponse], error) {
	m := req.Msg
	c := p.claimShard(m.GetShard())
	if c == nil || c.status.ownedTerm() == 0 {
		return connect.NewResponse(&peerv1.ClaimResponse{Code: uint32(result.OwnerUnavailable)}), nil
	}
	reply := c.claim(ctx, claim.Request{
		Key: m.GetKey(), Holder: m.GetHolder(), RequestID: m.GetRequestId(), Fingerprint: m.GetFingerprint(),
		Timeout: time.Duration(m.GetTimeoutMs()) * time.Millisecond,
	})
	return connect.NewResponse(&peerv1.ClaimResponse{Code: uint32(reply.Code), Phase: reply.Phase, Outcome: reply.Outcome}), nil
}

// CompleteClaim implements peerv1connect.PeerHandler.
func (p *peerServer) CompleteClaim(ctx context.Context, req *connect.Request[peerv1.CompleteClaimRequest]) (*connect.Response[peerv1.CompleteClaimResponse], error) {
	m := req.Msg
	c := p.claimShard(m.GetShard())
	if c == nil || c.status.ownedTerm() == 0 {
		return connect.NewResponse(&peerv1.CompleteClaimResponse{Code: uint32(result.OwnerUnavailable)}), nil
	}
	reply := c.complete(ctx, m.GetKey(), m.GetRequestId(), journalv1.ClaimPhase(m.GetPhase()), m.GetOutcome())
	return connect.NewResponse(&peerv1.CompleteClaimResponse{Code: uint32(reply.Code)}), nil
}
