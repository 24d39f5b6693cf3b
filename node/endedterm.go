package node

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	jobsv1 "leverstile.dev/api/gen/leverstile/jobs/v1"
	"leverstile.dev/api/gen/leverstile/jobs/v1/jobsv1connect"
	"leverstile.dev/dispatch"
	"leverstile.dev/kv"
)

// Intervals at which an owner asks its predecessor which leases may last.
const (
	endTermRetryMin = 50 * time.Millisecond
	endTermRetryMax = 400 * time.Millisecond
)

// endedTerm is what this process knows of its newest term that has ended, as of a steady time.
type endedTerm struct {
	leases dispatch.EndedTerm
	at     time.Duration
}

// recordEnded records what the owner knows of leases. It follows end: nothing is sent any more.
func (o *owner) recordEnded() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.core == nil {
		return // it has sent nothing, and does not know what its predecessors did
	}
	now := o.now()
	o.node.ended.Store(&endedTerm{o.core.EndedTerm(now), now.Steady})
}

// endedLeases returns what this process knows of the leases of an ended term; ok is false if it has
// no record of it.
func (n *Node) endedLeases(term uint64) (leases dispatch.EndedTerm, ok bool) {
	e := n.ended.Load()
	if e == nil || e.leases.Term != term {
		return dispatch.EndedTerm{}, false
	}
	return e.leases.After(n.clock() - e.at), true
}

// EndTerm implements jobsv1connect.OwnerHandler.
func (p *peerServer) EndTerm(_ context.Context, req *connect.Request[jobsv1.EndTermRequest]) (*connect.Response[jobsv1.EndTermResponse], error) {
	n, term := p.node, req.Msg.GetTerm()
	resp := &jobsv1.EndTermResponse{Entry: n.opts.Entry, Session: n.session}
	if req.Msg.GetSession() != n.session {
		return connect.NewResponse(resp), nil
	}
	if o := n.owning.Load(); o != nil && o.own.lead.Term == term && req.Msg.GetSuccessorTerm() > term {
		n.log.Warn().Str("event", "succeeded").Uint64("term", term).Uint64("by", req.Msg.GetSuccessorTerm()).Msg("")
		o.stop(errNotOwner)
	}
	leases, ok := n.endedLeases(term)
	if !ok {
		return connect.NewResponse(resp), nil
	}
	var err error
	if resp.Leases, err = json.Marshal(leases); err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(resp), nil
}

// predecessorState is what the previous owner's address tells about it.
type predecessorState uint8

const (
	// predecessorUnknown: it does not answer, or its term is ending.
	predecessorUnknown predecessorState = iota
	// predecessorEnded: its term has ended, and it tells which leases may last.
	predecessorEnded
	// predecessorRestarted: its process has ended, and another one runs at its VM.
	predecessorRestarted
)

// askPredecessor asks the previous owner, until it tells or no worker is awaited, which leases may last.
func (o *owner) askPredecessor() {
	p := o.own.predecessor
	if p == nil {
		return
	}
	wait := backoff{minDelay: endTermRetryMin, maxDelay: endTermRetryMax}
	for o.awaitsWorkers() {
		state, leases, err := o.stateOfPredecessor(p)
		switch state {
		case predecessorEnded:
			o.locked(func(c *dispatch.Core, now dispatch.Instant) { c.PredecessorEnded(leases, now) })
		case predecessorRestarted:
			if o.settledBefore {
				o.locked(func(c *dispatch.Core, now dispatch.Instant) { c.PredecessorRestarted(now) })
			}
		default:
			if !sleep(o.ctx, wait.next()) {
				return
			}
			continue
		}
		o.node.log.Info().Str("event", "predecessor_ended").Str("predecessor", p.Entry).Uint64("predecessor_term", p.Term).
			Bool("restarted", state == predecessorRestarted).Int("workers", len(leases.Workers)).Err(err).Msg("")
		signal(o.wake)
		return
	}
}

// awaitsWorkers reports whether workers of previous owners have not answered yet.
func (o *owner) awaitsWorkers() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.core.Recovering() > 0
}

// stateOfPredecessor asks the previous owner for the leases of its term.
func (o *owner) stateOfPredecessor(p *leadRecord) (predecessorState, dispatch.EndedTerm, error) {
	if p.Session == o.own.lead.Session {
		if leases, ok := o.node.endedLeases(p.Term); ok {
			return predecessorEnded, leases, nil
		}
		return predecessorUnknown, dispatch.EndedTerm{}, nil
	}
	ctx, cancel := context.WithTimeout(o.ctx, peerCallTimeout)
	defer cancel()
	client := jobsv1connect.NewOwnerClient(o.node.peers, "http://"+p.Address)
	resp, err := client.EndTerm(ctx, connect.NewRequest(&jobsv1.EndTermRequest{
		Term: p.Term, Session: p.Session, SuccessorTerm: o.own.lead.Term,
	}))
	switch {
	case err != nil:
		return predecessorUnknown, dispatch.EndedTerm{}, errors.Trace(err)
	case resp.Msg.GetEntry() != p.Entry:
		return predecessorUnknown, dispatch.EndedTerm{}, nil
	case resp.Msg.GetSession() != p.Session:
		return predecessorRestarted, dispatch.EndedTerm{}, nil
	case len(resp.Msg.GetLeases()) == 0:
		return predecessorUnknown, dispatch.EndedTerm{}, nil
	}
	var leases dispatch.EndedTerm
	if err := json.Unmarshal(resp.Msg.GetLeases(), &leases); err != nil || leases.Term != p.Term {
		return predecessorUnknown, dispatch.EndedTerm{}, errors.Annotate(err, "leases of an ended term")
	}
	return predecessorEnded, leases, nil
}

// isSettled reports whether the owner of a term had resolved all workers of the owners before it.
func isSettled(own []kv.Pair, term uint64) bool {
	return term != 0 && slices.ContainsFunc(own, func(p kv.Pair) bool {
		return p.Key == settledKey && string(p.Value) == strconv.FormatUint(term, 10)
	})
}
