package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"
	"golang.org/x/sync/singleflight"

	jobsv1 "leverstile.dev/api/gen/leverstile/jobs/v1"
	"leverstile.dev/api/gen/leverstile/jobs/v1/jobsv1connect"
	"leverstile.dev/dial"
	"leverstile.dev/dispatch"
)

// Figures of offers.
const (
	relayRetryMin = 200 * time.Millisecond
	relayRetryMax = 2 * time.Second
	// relayIdle is how long after the last call an entry shows signs of life.
	relayIdle = 2 * time.Second
	// payloadRead bounds the read of a job's payload; a start may arrive 1.4 s
	// after it was decided.
	payloadRead = 400 * time.Millisecond
	// payloadKept is for how long an entry keeps a payload: 40 jobs a second of
	// 2.4 KB take 4 MB.
	payloadKept = 40 * time.Second
)

// RunRelay offers calls to the owner while it asks for that, until ctx ends.
func (n *Node) RunRelay(ctx context.Context) error {
	client := newStreamClient()
	wait := backoff{least: relayRetryMin, most: relayRetryMax}
	for ctx.Err() == nil {
		lead := n.relayFor()
		if lead == nil {
			sleep(ctx, relayRetryMax/4)
			wait.reset()
			continue
		}
		began := n.clock()
		err := n.relay(ctx, client, lead)
		if n.clock()-began > relayIdle {
			wait.reset()
		}
		if ctx.Err() == nil {
			n.log.Info().Str("event", "relay_ended").Str("owner", lead.Entry).Err(err).Msg("")
			sleep(ctx, wait.next())
		}
	}
	return nil
}

// newStreamClient returns a client of streams: HTTP/2 without TLS, on connections
// that notice when their peer falls silent.
func newStreamClient() *http.Client {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		DialContext: dial.Dialer(peerDialTimeout).DialContext, Protocols: protocols, DisableCompression: true,
	}}
}

// relayFor returns the owner that asks for relays, nil if none does or this entry
// can't help.
func (n *Node) relayFor() *leadRecord {
	lead := n.lead.Load()
	if lead == nil || lead.Entry == n.opts.Entry || n.draining.Load() {
		return nil
	}
	if asked := n.relaysAsked.Load(); asked == nil || *asked != lead.Session {
		return nil
	}
	return lead
}

// relay makes the owner's calls until its stream ends.
func (n *Node) relay(ctx context.Context, client *http.Client, lead *leadRecord) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream := jobsv1connect.NewRelayClient(client, "http://"+lead.Address).Serve(ctx)
	defer func() { _ = stream.CloseRequest() }()
	err := stream.Send(&jobsv1.RelayReport{Hello: &jobsv1.RelayHello{
		Entry: n.opts.Entry, DataCentre: n.opts.DataCentre,
		CallsPerSecond: carries(n.opts.ProcessorShare, n.opts.LinkBytes),
	}})
	if err != nil {
		return err
	}
	r := &relayer{node: n, wake: make(chan struct{}, 1), lists: map[string]*listEncoder{}, payloads: map[string]keptPayload{}, forgotten: n.clock()}
	received := make(chan error, 1)
	go func() { received <- r.receive(ctx, stream) }()
	return r.report(ctx, stream, lead, received)
}

type relayStream = connect.BidiStreamForClient[jobsv1.RelayReport, jobsv1.RelayBatch]

// relayer makes the calls of one stream. Mu guards what stands below it.
type relayer struct {
	node *Node
	wake chan struct{}

	mu       sync.Mutex
	answers  []*jobsv1.RelayAnswer
	lists    map[string]*listEncoder // by worker
	payloads map[string]keptPayload  // by job
	// forgotten is when old payloads were last forgotten.
	forgotten time.Duration
	busyAt    time.Duration

	reading singleflight.Group // reads of payloads, by job
}

type keptPayload struct {
	text string
	at   time.Duration
}

func (r *relayer) receive(ctx context.Context, stream *relayStream) error {
	for {
		batch, err := stream.Receive()
		if err != nil {
			return err
		}
		r.noteBusy()
		for _, call := range batch.GetCalls() {
			go r.make(ctx, call)
		}
	}
}

func (r *relayer) noteBusy() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busyAt = r.node.clock()
}

// payload returns a job's payload, from the store the first time. It does not
// come with the calls: an owner would send each payload to every entry, more than
// its link carries.
func (r *relayer) payload(ctx context.Context, id string) (string, error) {
	r.mu.Lock()
	p, ok := r.payloads[id]
	r.mu.Unlock()
	if ok {
		return p.text, nil
	}
	text, err, _ := r.reading.Do(id, func() (any, error) {
		ctx, cancel := context.WithTimeout(ctx, payloadRead)
		defer cancel()
		pair, err := r.node.store.Get(ctx, jobPrefix+id)
		if err != nil {
			return "", err
		}
		if pair == nil {
			return "", errors.NotFoundf("job %s", id)
		}
		spec, err := decodeSpec(*pair)
		if err != nil {
			return "", err
		}
		r.keep(id, spec.Payload)
		return spec.Payload, nil
	})
	return text.(string), err
}

// keep keeps a payload and, now and then, forgets old ones.
func (r *relayer) keep(id, text string) {
	now := r.node.clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.payloads[id] = keptPayload{text, now}
	if now-r.forgotten < payloadKept/4 {
		return
	}
	r.forgotten = now
	for id, p := range r.payloads {
		if now-p.at > payloadKept {
			delete(r.payloads, id)
		}
	}
}

// make makes one call and puts its answer in line.
func (r *relayer) make(ctx context.Context, call *jobsv1.RelayCall) {
	answer := &jobsv1.RelayAnswer{Id: call.GetId()}
	if call.GetKind() == jobsv1.RelayCallKind_RELAY_CALL_KIND_HOLD {
		reply, outcome := r.node.workers.Hold(ctx, holdFromWire(call))
		answer.Outcome, answer.ClockMs = uint32(outcome), reply.ClockMS
		r.put(answer, call.GetWorker(), &reply)
		return
	}
	a := r.send(ctx, call)
	answer.Outcome, answer.ClockMs = uint32(a.Outcome), a.ClockMS
	r.put(answer, "", nil)
}

func (r *relayer) send(ctx context.Context, call *jobsv1.RelayCall) dispatch.Answer {
	order, err := orderFromWire(call)
	if err != nil {
		r.node.log.Error().Str("event", "relayed_call_unreadable").Str("task", call.GetTask()).Err(err).Msg("")
		return dispatch.Answer{Outcome: dispatch.OutcomeInvalid}
	}
	if order.Kind == dispatch.OrderStart {
		order.Payload, err = r.payload(ctx, order.Task.Job)
		if err != nil {
			// Nothing was sent; the owner makes the call itself.
			r.node.log.Warn().Str("event", "relayed_payload_missing").Str("job", order.Task.Job).Err(err).Msg("")
			return dispatch.Answer{Outcome: dispatch.OutcomeRelayLost}
		}
	}
	return r.node.workers.Send(ctx, order)
}

// put puts an answer in line. Lists are encoded in the order in which they go out.
func (r *relayer) put(answer *jobsv1.RelayAnswer, worker string, reply *dispatch.HoldReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reply != nil && answer.GetOutcome() == uint32(dispatch.OutcomeOK) {
		e := r.lists[worker]
		if e == nil {
			e = newListEncoder()
			r.lists[worker] = e
		}
		answer.Lists = e.encode(reply)
	}
	r.answers = append(r.answers, answer)
	signal(r.wake)
}

func (r *relayer) take() *jobsv1.RelayReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := &jobsv1.RelayReport{Answers: r.answers}
	r.answers = nil
	return report
}

func (r *relayer) busy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.clock()-r.busyAt < relayIdle
}

// errOwnerChanged ends a stream to an owner that is no longer one, or no longer
// asks.
var errOwnerChanged = errors.New("another owner, or this entry drains")

// report sends answers and signs of life.
func (r *relayer) report(ctx context.Context, stream *relayStream, lead *leadRecord, received chan error) error {
	beat := time.NewTicker(relayBeat)
	defer beat.Stop()
	for {
		select {
		case err := <-received:
			return err
		case <-ctx.Done():
			return ctx.Err()
		case <-beat.C:
			if now := r.node.relayFor(); now == nil || now.Session != lead.Session {
				return errOwnerChanged
			}
			if !r.busy() {
				continue
			}
		case <-r.wake:
			if !sleep(ctx, relayBatchPause) {
				return ctx.Err()
			}
		}
		if err := stream.Send(r.take()); err != nil {
			return err
		}
	}
}
