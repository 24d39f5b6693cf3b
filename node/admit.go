package node

import (
	"context"
	"time"

	"connectrpc.com/connect"

	jobsv1 "leverstile.dev/api/gen/leverstile/jobs/v1"
	"leverstile.dev/dispatch"
	"leverstile.dev/job"
	"leverstile.dev/kv"
)

// Limits of admission: the owner's check, before a job is recorded, whether there will be
// capacity for it.
const (
	// admitTimeout bounds the call to the owner. A job whose answer is late is
	// recorded: only the early refusal is lost.
	admitTimeout = 150 * time.Millisecond
	// crowdedFor is how long an entry asks for the admission of short jobs after the owner
	// reported that some wait. The owner's answer to each recorded job renews that.
	crowdedFor = 3 * time.Second
)

// admit asks the owner whether a job will find capacity, before it is recorded. A job
// that the store holds, or may hold, is never refused: the customer would take the
// refusal to mean that the job will not run.
func (n *Node) admit(ctx context.Context, spec *job.Spec, record []byte) (Submission, bool) {
	if !n.needsAdmission(spec) {
		return Submission{}, false
	}
	a := n.askAdmission(ctx, spec, record)
	if !a.Refused {
		return Submission{}, false
	}
	p, err := n.store.Get(ctx, jobPrefix+spec.ID)
	if err != nil || p != nil {
		return Submission{}, false
	}
	n.metrics.notAdmitted.Inc()
	n.log.Info().Str("event", "job_refused").Str("job", spec.ID).Str("reason", a.Reason).Dur("retry_after", a.RetryAfter).Msg("")
	return Submission{Recorded: RecordedNoCapacity, RetryAfter: a.RetryAfter}, true
}

// needsAdmission reports whether a job needs the owner's admission. Long-running jobs do:
// they are few and occupy their capacity for long. So do those that take much memory. Other jobs do
// only while some wait, or memory is short.
func (n *Node) needsAdmission(spec *job.Spec) bool {
	if n.current.Load() != nil {
		return true // the owner checks without a call
	}
	return spec.LongRunning() || dispatch.IsHeavy(spec) || int64(n.clock()) < n.crowdedUntil.Load()
}

// recordCrowded records whether short jobs wait at the owner.
func (n *Node) recordCrowded(crowded bool) {
	if crowded {
		n.crowdedUntil.Store(int64(n.clock() + crowdedFor))
	}
}

func (n *Node) askAdmission(ctx context.Context, spec *job.Spec, record []byte) dispatch.Admission {
	if o := n.current.Load(); o != nil {
		return o.admit(spec)
	}
	client := n.ownerClient()
	if client == nil {
		return dispatch.Admission{}
	}
	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	resp, err := client.AdmitJob(ctx, connect.NewRequest(&jobsv1.AdmitJobRequest{Id: spec.ID, Record: record}))
	if err != nil {
		n.log.Warn().Str("event", "admission_unanswered").Str("job", spec.ID).Err(err).Msg("")
		return dispatch.Admission{}
	}
	return dispatch.Admission{
		Refused: resp.Msg.GetRefused(), Reason: resp.Msg.GetReason(),
		RetryAfter: time.Duration(resp.Msg.GetRetryAfterMs()) * time.Millisecond,
	}
}

// AdmitJob implements jobsv1connect.OwnerHandler.
func (p *peerServer) AdmitJob(_ context.Context, req *connect.Request[jobsv1.AdmitJobRequest]) (*connect.Response[jobsv1.AdmitJobResponse], error) {
	o := p.node.current.Load()
	if o == nil {
		return connect.NewResponse(&jobsv1.AdmitJobResponse{}), nil
	}
	spec, err := decodeSpec(kv.Pair{Key: jobPrefix + req.Msg.GetId(), Value: req.Msg.GetRecord()})
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	a := o.admit(spec)
	return connect.NewResponse(&jobsv1.AdmitJobResponse{
		Refused: a.Refused, Reason: a.Reason, RetryAfterMs: a.RetryAfter.Milliseconds(),
	}), nil
}

// admit asks the core of this node, which owns the cell.
func (o *owner) admit(spec *job.Spec) (a dispatch.Admission) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.core.Admit(spec, o.now())
}

// crowded reports whether short jobs wait for capacity.
func (o *owner) crowded() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.core.Crowded(o.now())
}
