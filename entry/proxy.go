package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/xid"
	"k8s.io/apimachinery/pkg/labels"

	journalv1 "leverstile.dev/api/gen/leverstile/journal/v1"
	"leverstile.dev/api/result"
	"leverstile.dev/claim"
	"leverstile.dev/config"
	"leverstile.dev/router"
)

// Headers of requests of callers and of the entry's answers to them.
const (
	HeaderRequestID  = "Leverstile-Request-Id"
	HeaderCode       = "Leverstile-Code"
	HeaderDeadlineMS = "Leverstile-Deadline-Ms"
	HeaderLabels     = "Leverstile-Labels"
	HeaderReplayed   = "Leverstile-Replayed"
	HeaderKey        = "Idempotency-Key"
)

// maxKeptBodyBytes bounds the body of a claimed request's answer that is kept
// for repeats; a larger body isn't kept.
const maxKeptBodyBytes = 4 << 10

// maxKeyBytes bounds an Idempotency-Key.
const maxKeyBytes = 256

// proxyRequest is one caller's request to a service, from its arrival to its
// answer.
type proxyRequest struct {
	svc           *service
	w             http.ResponseWriter
	r             *http.Request
	id            uint64
	reqID         string
	group         string
	class         config.Class
	deadline      time.Duration
	key           string // set only for requests that need a claim
	body          []byte
	bodyRemainder io.Reader // the remainder after body, if the whole is too large to keep
	size          int64
	path          string
	rev           uint64
}

// serveService forwards a caller's request to an endpoint of a service.
func (e *Entry) serveService(w http.ResponseWriter, r *http.Request) {
	reqID := xid.New().String()
	w.Header().Set(HeaderRequestID, reqID)
	x, err := e.newProxyRequest(w, r, reqID)
	if err != nil {
		e.refuse(w, err)
		return
	}
	if x.key != "" && !x.claim() {
		return
	}
	x.route()
}

func (e *Entry) newProxyRequest(w http.ResponseWriter, r *http.Request, reqID string) (*proxyRequest, *result.Error) {
	rev := e.declared.active()
	name := r.PathValue("service")
	svc := e.services.get(name)
	if rev.number == 0 {
		return nil, result.New(result.NoDeclarations, "").After(time.Second)
	}
	if svc == nil {
		return nil, result.New(result.UnknownService, "service %q", name)
	}
	if r.Header.Get("Upgrade") != "" {
		return nil, result.New(result.BadRequest, "protocol upgrades are not forwarded")
	}
	x := &proxyRequest{svc: svc, w: w, r: r, reqID: reqID, id: e.services.nextID.Add(1), rev: rev.number}
	prefix := "/v1/services/" + name
	x.path = strings.TrimPrefix(r.URL.EscapedPath(), prefix)
	if x.path == "" {
		x.path = "/"
	}
	if err := x.bindGroup(rev); err != nil {
		return nil, err
	}
	if err := x.readDeadline(); err != nil {
		return nil, err
	}
	if err := x.readKey(rev.services[name]); err != nil {
		return nil, err
	}
	return x, x.readBody()
}

// bindGroup finds the group that the request is accounted to.
func (x *proxyRequest) bindGroup(rev *revision) *result.Error {
	set, err := labels.ConvertSelectorToLabelsMap(x.r.Header.Get(HeaderLabels))
	if err != nil {
		return result.New(result.BadRequest, "%s: %v", HeaderLabels, err)
	}
	x.group = rev.services[x.svc.name].Group
	if sel := rev.binder.Bind(set); sel != nil {
		x.group = sel.Group
	}
	if x.group == "" {
		return result.New(result.UnknownGroup, "labels %q", x.r.Header.Get(HeaderLabels))
	}
	x.class = rev.binder.Class(x.group)
	return nil
}

func (x *proxyRequest) readDeadline() *result.Error {
	timeout := x.svc.timeout()
	if text := x.r.Header.Get(HeaderDeadlineMS); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 {
			return result.New(result.BadRequest, "%s must be a positive number of milliseconds", HeaderDeadlineMS)
		}
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	x.deadline = x.svc.entry.clock() + timeout
	return nil
}

func (x *proxyRequest) readKey(spec *config.Service) *result.Error {
	key := x.r.Header.Get(HeaderKey)
	if len(key) > maxKeyBytes {
		return result.New(result.BadRequest, "%s is longer than %d bytes", HeaderKey, maxKeyBytes)
	}
	if !spec.IsRepeatable(x.r.Method, x.path) {
		x.key = key
	}
	return nil
}

// fingerprint distinguishes a repeated request from another one with the same key.
func (x *proxyRequest) fingerprint() uint64 {
	h := xxhash.New()
	_, _ = fmt.Fprintf(h, "%s\x00%s\x00%s\x00%d\x00", x.r.Method, x.path, x.r.URL.RawQuery, x.size)
	_, _ = h.Write(x.body)
	return h.Sum64()
}

// claim claims the request's key. It returns true if the request may be sent,
// else it has answered the caller.
func (x *proxyRequest) claim() bool {
	e := x.svc.entry
	reply := e.claimFor(x.r.Context(), x.svc.name, claim.Request{
		Key: x.key, Holder: e.settings.ID, RequestID: x.reqID, Fingerprint: x.fingerprint(),
		Timeout: x.deadline - e.clock(),
	})
	x.logDecision("claim", reply.Code, "", 0)
	if reply.Code == result.OK && reply.Phase == journalv1.ClaimPhase_CLAIM_PHASE_GRANTED {
		return true
	}
	if reply.Outcome != nil {
		x.replay(reply.Outcome)
		return false
	}
	if reply.Code == result.OwnerUnavailable {
		// The claim may have been granted although the reply was lost. Nothing
		// was sent and nothing will be.
		x.recordOutcome(journalv1.ClaimPhase_CLAIM_PHASE_RELEASED, nil)
	}
	e.refuse(x.w, result.New(reply.Code, "").After(reply.RetryAfter))
	return false
}

// replay answers a repeated request with the first run's answer.
func (x *proxyRequest) replay(out *journalv1.ClaimOutcome) {
	h := x.w.Header()
	h.Set(HeaderReplayed, "true")
	if out.GetBodyDropped() {
		x.svc.entry.refuse(x.w, result.New(result.AnswerBodyNotKept, "first answer had status %d", out.GetStatus()))
		return
	}
	if out.GetContentType() != "" {
		h.Set("Content-Type", out.GetContentType())
	}
	h.Set(HeaderCode, strconv.Itoa(int(out.GetCode())))
	x.w.WriteHeader(int(out.GetStatus()))
	_, _ = x.w.Write(out.GetBody())
}

// route carries out the router's actions until the request has ended.
func (x *proxyRequest) route() {
	e := x.svc.entry
	actions := x.svc.addRequest(router.Request{
		ID: x.id, Group: x.group, Class: routerClass(x.class), Deadline: x.deadline,
		Repeatable: x.repeatable(), Once: x.singleAttempt(),
	})
	defer x.svc.removeRequest(x.id)
	callerGone := x.r.Context().Done()
	if x.key != "" {
		callerGone = nil // the outcome is recorded even if the caller goes away
	}
	for {
		select {
		case <-callerGone:
			x.logDecision("gone", result.CallerWentAway, "", 0)
			return
		case a := <-actions:
			switch a.Kind {
			case router.Send:
				if x.send(a) {
					return
				}
			case router.Refuse:
				x.logDecision("refuse", a.Code, "", a.Attempt)
				x.recordOutcome(journalv1.ClaimPhase_CLAIM_PHASE_RELEASED, nil)
				e.refuse(x.w, result.New(a.Code, "").After(a.RetryAfter))
				return
			case router.Fail:
				code := a.Code
				if e.clock() >= x.deadline {
					code = result.AttemptTimeout
				}
				x.logDecision("fail", code, "", a.Attempt)
				x.recordOutcome(journalv1.ClaimPhase_CLAIM_PHASE_UNKNOWN, nil)
				e.refuse(x.w, result.New(code, ""))
				return
			}
		}
	}
}

func (x *proxyRequest) repeatable() bool {
	spec := x.svc.entry.declared.active().services[x.svc.name]
	return spec != nil && spec.IsRepeatable(x.r.Method, x.path) && x.bodyRemainder == nil
}

// singleAttempt reports whether the request gets only one attempt: it is not
// repeatable and has no key, or its body can't be sent twice.
func (x *proxyRequest) singleAttempt() bool {
	return x.bodyRemainder != nil || !x.repeatable() && x.key == ""
}

func routerClass(c config.Class) router.Class {
	switch c {
	case config.LatencyCritical:
		return router.LatencyCritical
	case config.Batch:
		return router.Batch
	default:
		return router.Standard
	}
}

// recordOutcome records the outcome of a claimed request in the background. The
// handler must not wait for it, as the connection's next request would wait
// too. A planned stop does wait.
func (x *proxyRequest) recordOutcome(phase journalv1.ClaimPhase, out *journalv1.ClaimOutcome) {
	if x.key == "" {
		return
	}
	e := x.svc.entry
	e.pendingOutcomes.Go(func() { e.completeClaim(x.svc.name, x.key, x.reqID, phase, out) })
}

// send makes one attempt. It returns true if the request has ended with it,
// or false if the router decides on the next action.
func (x *proxyRequest) send(a router.Action) bool {
	x.logDecision("send", result.OK, a.Endpoint.ID, a.Attempt)
	base := x.r.Context()
	if x.key != "" {
		base = context.WithoutCancel(base)
	}
	ctx, cancel := context.WithTimeout(base, x.deadline-x.svc.entry.clock())
	defer cancel()
	started := x.svc.entry.clock()
	res := x.svc.transport.attempt(ctx, x.outgoing(a.Endpoint.ID))
	latency := x.svc.entry.clock() - started
	if res.kind == router.Leaving {
		x.svc.entry.recordLeavingVM(a.Endpoint.VM)
	}
	if res.resp == nil || res.kind == router.Refused || res.kind == router.Leaving {
		if res.resp != nil {
			_, _ = io.Copy(io.Discard, io.LimitReader(res.resp.Body, maxKeptBodyBytes))
			_ = res.resp.Body.Close()
		}
		if x.r.Context().Err() != nil && x.key == "" {
			res.kind = router.Abandoned
		}
		x.svc.finish(x.id, router.Outcome{Kind: res.kind, Latency: latency})
		return res.kind == router.Abandoned
	}
	defer res.resp.Body.Close()
	x.forwardAnswer(res, started)
	return true
}

// outgoing builds the request that is sent to an endpoint.
func (x *proxyRequest) outgoing(address string) *http.Request {
	u := *x.r.URL
	u.Scheme, u.Host = "http", address
	u.Path, u.RawPath = "", ""
	u.Opaque = "//" + address + x.path
	body := io.Reader(bytes.NewReader(x.body))
	if x.bodyRemainder != nil {
		body = io.MultiReader(body, x.bodyRemainder)
	}
	req := &http.Request{
		Method: x.r.Method, URL: &u, Host: x.r.Host, Header: http.Header{},
		Body: unrewindableBody{body}, ContentLength: x.size,
	}
	copyHeaders(req.Header, x.r.Header)
	req.Header.Set(HeaderRequestID, x.reqID)
	return req
}

// forwardAnswer copies an endpoint's answer to the caller. If the answer is cut
// off, it aborts the caller's connection, so that the caller never takes the
// part for the whole.
func (x *proxyRequest) forwardAnswer(res attemptResult, started time.Duration) {
	h := x.w.Header()
	copyHeaders(h, res.resp.Header)
	h.Set(HeaderRequestID, x.reqID)
	h.Set(HeaderCode, "0")
	x.w.WriteHeader(res.resp.StatusCode)
	kept := &bodyCapture{limit: maxKeptBodyBytes}
	out := &flushWriter{w: x.w, c: http.NewResponseController(x.w), streaming: res.resp.ContentLength < 0, claimed: x.key != ""}
	out.idle = config.Ms(x.svc.entry.settings.Timing.CallerIdleMS)
	_, err := io.Copy(io.MultiWriter(out, kept), res.resp.Body)
	_ = out.c.SetWriteDeadline(time.Time{}) // else net/http keeps it for the connection's next answer
	o := router.Outcome{Kind: res.kind, Latency: x.svc.entry.clock() - started, AnswerBegan: true}
	if err != nil && out.err == nil {
		o.Kind = router.Lost
	} else if err != nil {
		o.Kind = router.Abandoned
	}
	x.svc.finish(x.id, o)
	if err != nil {
		x.logDecision("cut", result.AnswerCut, "", 0)
		x.recordOutcome(journalv1.ClaimPhase_CLAIM_PHASE_UNKNOWN, nil)
		panic(http.ErrAbortHandler)
	}
	x.recordOutcome(journalv1.ClaimPhase_CLAIM_PHASE_DONE, &journalv1.ClaimOutcome{
		Status: int32(res.resp.StatusCode), ContentType: res.resp.Header.Get("Content-Type"),
		Body: kept.buf.Bytes(), BodyDropped: kept.dropped,
	})
	if out.err != nil {
		panic(http.ErrAbortHandler)
	}
}

// logDecision logs a routing decision and counts a refusal.
func (x *proxyRequest) logDecision(decision string, code result.Code, endpoint string, attempt int) {
	e := x.svc.entry
	e.log.Info().Str("decision", decision).Str("service", x.svc.name).Str("request", x.reqID).
		Str("group", x.group).Str("class", string(x.class)).Str("endpoint", endpoint).Int("attempt", attempt).
		Uint32("code", uint32(code)).Uint64("revision", x.rev).Msg("routing")
	if code != result.OK {
		e.set.GetOrCreateCounter(fmt.Sprintf(`leverstile_requests_refused_total{service=%q,code="%d"}`, x.svc.name, code)).Inc()
	}
}

// recordLeavingVM records that an endpoint refused a request because its VM leaves.
func (e *Entry) recordLeavingVM(vm string) {
	if e.view.markLeaving(e.clock(), vm) {
		e.log.Info().Str("vm", vm).Msg("endpoint refused a request because it is leaving")
		e.services.refresh()
	}
}

// Refusal is the JSON body of an answer with a code.
type Refusal struct {
	Code         result.Code `json:"code"`
	Name         string      `json:"name"`
	Meaning      string      `json:"meaning"`
	Detail       string      `json:"detail,omitempty"`
	Ran          result.Ran  `json:"ran"`
	Repeat       string      `json:"repeat"`
	RetryAfterMS int64       `json:"retry_after_ms,omitempty"`
	RequestID    string      `json:"request_id,omitempty"`
}

// refuse answers at once with a result code.
func (e *Entry) refuse(w http.ResponseWriter, err *result.Error) {
	info := result.Lookup(err.Code)
	body := Refusal{
		Code: err.Code, Name: info.Name, Meaning: info.Meaning, Detail: err.Detail, Ran: info.Ran,
		Repeat: info.Repeatable, RetryAfterMS: err.RetryAfter.Milliseconds(), RequestID: w.Header().Get(HeaderRequestID),
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderCode, strconv.Itoa(int(err.Code)))
	if err.RetryAfter > 0 {
		seconds := (err.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(info.HTTPStatus)
	_ = json.NewEncoder(w).Encode(body)
}
