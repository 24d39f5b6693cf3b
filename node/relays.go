package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	jobsv1 "leverstile.dev/api/gen/leverstile/jobs/v1"
	"leverstile.dev/dispatch"
	"leverstile.dev/kv"
)

// Figures of relayed calls.
const (
	// relayHoldSlack and relayOrderWait bound how long the owner waits for what
	// became of a relayed call: the entry's own timeouts of 0.6 and 0.4 s, and
	// both ways.
	relayHoldSlack = 900 * time.Millisecond
	relayOrderWait = 700 * time.Millisecond
	// relayBeat is how often an entry in use shows that it lives; after
	// relaySilence without a sign its calls are made another way, long before
	// leases of 5 s end.
	relayBeat    = 250 * time.Millisecond
	relaySilence = 900 * time.Millisecond
	// relayDetour is how long a worker is called directly after a relayed call to
	// it was lost: the entry may not reach it.
	relayDetour = 10 * time.Second
	// relayBatchPause gathers calls, and answers, into one message. Both pauses
	// together stay under the 10 ms that a start may take longer.
	relayBatchPause = 4 * time.Millisecond
	// mostRelayed calls wait to be sent to an entry; more are taken for lost.
	mostRelayed = 4096
)

// relays makes the owner's calls to workers: directly, or through other entries
// if the owner's VM could not carry them. A relayed call is like one on a slow
// path: it carries a term and absolute deadlines, which the worker checks, so the
// owner's conclusions stay what they are. Mu guards the maps; it is taken after
// owner.mu is released, never together with it.
type relays struct {
	owner  *owner
	direct Workers
	calls  atomic.Int64 // that were to be made since the last adjust

	mu       sync.Mutex
	offers   map[string]*relayConn    // by entry
	assigned map[string]*relayConn    // by worker
	detours  map[string]time.Duration // by worker: until then direct
	load     callLoad
	wanted   bool // the store tells entries to offer themselves
}

func newRelays(o *owner) *relays {
	return &relays{
		owner: o, direct: o.node.workers,
		offers: map[string]*relayConn{}, assigned: map[string]*relayConn{}, detours: map[string]time.Duration{},
	}
}

// relayConn is a stream from an entry that offers to make calls.
type relayConn struct {
	offer relayOffer
	clock func() time.Duration
	wake  chan struct{} // there is something to send
	done  chan struct{} // closed when the stream is over

	mu      sync.Mutex // guards what follows
	over    bool
	next    uint64
	calls   []*jobsv1.RelayCall
	pending map[uint64]chan relayed
	lists   map[string]*listDecoder // by worker
	workers map[uint64]string       // of polls, by call
	heard   time.Duration
	busyAt  time.Duration // when a call was last handed in
}

// relayed is what became of a relayed call.
type relayed struct {
	outcome dispatch.Outcome
	clock   int64
	reply   dispatch.HoldReply
}

// Hold polls a worker.
func (r *relays) Hold(ctx context.Context, h dispatch.HoldOrder) (dispatch.HoldReply, dispatch.Outcome) {
	r.demand()
	conn := r.of(h.Worker)
	if conn == nil {
		return r.direct.Hold(ctx, h)
	}
	x := conn.do(ctx, h.Wait+relayHoldSlack, func(id uint64) *jobsv1.RelayCall { return holdToWire(id, h) })
	r.note(h.Worker, x.outcome)
	return x.reply, x.outcome
}

// Send sends an order.
func (r *relays) Send(ctx context.Context, o dispatch.Order) dispatch.Answer {
	conn := r.of(o.Worker)
	if conn == nil {
		return r.direct.Send(ctx, o)
	}
	x := conn.do(ctx, relayOrderWait, func(id uint64) *jobsv1.RelayCall { return orderToWire(id, o) })
	r.note(o.Worker, x.outcome)
	return dispatch.Answer{Outcome: x.outcome, ClockMS: x.clock}
}

// demand counts a call that is to be made, sent or not.
func (r *relays) demand() { r.calls.Add(1) }

// of returns the stream through which a worker is called, nil for none.
func (r *relays) of(id dispatch.WorkerID) *relayConn {
	now := r.owner.node.clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if until, ok := r.detours[string(id)]; ok {
		if now < until {
			return nil
		}
		delete(r.detours, string(id))
	}
	return r.assigned[string(id)]
}

// note calls a worker directly for a while after a relayed call to it was lost.
func (r *relays) note(id dispatch.WorkerID, outcome dispatch.Outcome) {
	if outcome != dispatch.OutcomeUnknown && outcome != dispatch.OutcomeRelayLost {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.detours[string(id)] = r.owner.node.clock() + relayDetour
}

// adjust decides which entries make calls, and for which workers.
func (r *relays) adjust(workers []dispatch.WorkerInfo) {
	own := carries(r.owner.node.opts.ProcessorShare, r.owner.node.opts.LinkBytes)
	r.mu.Lock()
	load := r.load.take(float64(r.calls.Swap(0)), len(workers), r.owner.node.clock())
	offers := make([]relayOffer, 0, len(r.offers))
	used := map[string]bool{}
	for _, conn := range r.assigned {
		used[conn.offer.entry] = true
	}
	for entry, conn := range r.offers {
		offer := conn.offer
		offer.used = used[entry]
		offers = append(offers, offer)
	}
	chosen := chooseRelays(load, own, offers)
	r.assign(workers, chosen)
	want := !r.wanted && own > 0 && load > own
	r.wanted = r.wanted || want
	r.mu.Unlock()
	if want {
		r.ask(load, own)
	}
}

// assign is called with mu held.
func (r *relays) assign(workers []dispatch.WorkerInfo, chosen []relayOffer) {
	list := make([]relayedWorker, 0, len(workers))
	for i := range workers {
		w := relayedWorker{id: string(workers[i].ID), dataCentre: workers[i].DataCentre}
		if conn := r.assigned[w.id]; conn != nil {
			w.relay = conn.offer.entry
		}
		list = append(list, w)
	}
	before := len(r.assigned)
	r.assigned = map[string]*relayConn{}
	for id, entry := range assignRelays(list, chosen) {
		if conn := r.offers[entry]; conn != nil {
			r.assigned[id] = conn
		}
	}
	if len(r.assigned) != before {
		r.owner.node.log.Info().Str("event", "relays_assigned").Int("workers", len(r.assigned)).Int("entries", len(chosen)).Msg("")
	}
}

// ask tells the entries, by a key that they watch with the owner's, to offer
// themselves.
func (r *relays) ask(load, own float64) {
	o := r.owner
	o.node.log.Info().Str("event", "relays_wanted").Float64("calls_per_second", load).Float64("carries", own).Msg("")
	ctx, cancel := context.WithTimeout(o.ctx, flushTimeout)
	defer cancel()
	_, err := o.node.store.Do(ctx, kv.Txn{
		If:   []kv.Compare{{Key: leadKey, ModRevision: o.own.leadRev}},
		Then: []kv.Op{kv.Put(relaysKey, []byte(o.own.lead.Session), 0)},
	})
	if err != nil {
		o.node.log.Warn().Str("event", "relays_not_asked").Err(err).Msg("")
		r.mu.Lock()
		r.wanted = false // asked again with the next list
		r.mu.Unlock()
	}
}

// join takes in an offer; the stream is the entry's newest.
func (r *relays) join(hello *jobsv1.RelayHello) *relayConn {
	conn := &relayConn{
		offer: relayOffer{entry: hello.GetEntry(), dataCentre: hello.GetDataCentre(), carries: hello.GetCallsPerSecond()},
		clock: r.owner.node.clock, wake: make(chan struct{}, 1), done: make(chan struct{}),
		pending: map[uint64]chan relayed{}, lists: map[string]*listDecoder{}, workers: map[uint64]string{},
		heard: r.owner.node.clock(),
	}
	r.mu.Lock()
	before := r.offers[conn.offer.entry]
	r.offers[conn.offer.entry] = conn
	r.mu.Unlock()
	if before != nil {
		r.leave(before, "another stream of the entry")
	}
	r.owner.node.log.Info().Str("event", "relay_offered").Str("relay", conn.offer.entry).Float64("calls_per_second", conn.offer.carries).Msg("")
	return conn
}

// leave ends a stream: its calls are lost, its workers called another way.
func (r *relays) leave(conn *relayConn, reason string) {
	if !conn.end() {
		return
	}
	r.mu.Lock()
	if r.offers[conn.offer.entry] == conn {
		delete(r.offers, conn.offer.entry)
	}
	for id, c := range r.assigned {
		if c == conn {
			delete(r.assigned, id)
		}
	}
	r.mu.Unlock()
	r.owner.node.log.Info().Str("event", "relay_left").Str("relay", conn.offer.entry).Str("reason", reason).Msg("")
}

// end completes all calls as lost. It reports whether the stream was not over.
func (c *relayConn) end() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over {
		return false
	}
	c.over = true
	close(c.done)
	for _, answered := range c.pending {
		answered <- relayed{outcome: dispatch.OutcomeRelayLost}
	}
	c.pending = nil
	return true
}

// do hands a call in and waits for what became of it.
func (c *relayConn) do(ctx context.Context, wait time.Duration, call func(id uint64) *jobsv1.RelayCall) relayed {
	answered := make(chan relayed, 1)
	id, ok := c.put(call, answered)
	if !ok {
		return relayed{outcome: dispatch.OutcomeRelayLost}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case x := <-answered:
		return x
	case <-timer.C:
	case <-ctx.Done():
	}
	c.mu.Lock()
	delete(c.pending, id)
	c.mu.Unlock()
	return relayed{outcome: dispatch.OutcomeRelayLost}
}

func (c *relayConn) put(call func(id uint64) *jobsv1.RelayCall, answered chan relayed) (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over || len(c.calls) >= mostRelayed {
		return 0, false
	}
	c.next++
	x := call(c.next)
	if x.GetKind() == jobsv1.RelayCallKind_RELAY_CALL_KIND_HOLD {
		c.workers[c.next] = x.GetWorker()
	}
	c.calls = append(c.calls, x)
	c.pending[c.next] = answered
	c.busyAt = c.clock()
	signal(c.wake)
	return c.next, true
}

// take returns what waits to be sent.
func (c *relayConn) take() *jobsv1.RelayBatch {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := &jobsv1.RelayBatch{Calls: c.calls}
	c.calls = nil
	return batch
}

// answer takes in a report. An error ends the stream.
func (c *relayConn) answer(report *jobsv1.RelayReport) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard = c.clock()
	for _, a := range report.GetAnswers() {
		x := relayed{outcome: dispatch.Outcome(a.GetOutcome()), clock: a.GetClockMs()}
		if worker, isHold := c.workers[a.GetId()]; isHold {
			delete(c.workers, a.GetId())
			if x.outcome == dispatch.OutcomeOK {
				d := c.lists[worker]
				if d == nil {
					d = &listDecoder{}
					c.lists[worker] = d
				}
				var err error
				// Also for a poll that nobody waits for any more: the next
				// lists follow from these.
				if x.reply, err = d.decode(a.GetClockMs(), a.GetLists()); err != nil {
					return errors.Annotate(err, worker)
				}
			}
		}
		if answered, ok := c.pending[a.GetId()]; ok {
			delete(c.pending, a.GetId())
			answered <- x
		}
	}
	return nil
}

// silent reports whether an entry in use has shown no sign of life.
func (c *relayConn) silent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	return len(c.pending) > 0 && now-c.busyAt < relaySilence && now-c.heard > relaySilence
}

// relayServer serves the streams of entries that offer to make calls.
type relayServer struct{ node *Node }

// Serve implements jobsv1connect.RelayHandler.
func (s *relayServer) Serve(ctx context.Context, stream *connect.BidiStream[jobsv1.RelayReport, jobsv1.RelayBatch]) error {
	o := s.node.current.Load()
	if o == nil {
		return connect.NewError(connect.CodeFailedPrecondition, errNotOwner)
	}
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	if first.GetHello() == nil {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("no hello"))
	}
	conn := o.relays.join(first.GetHello())
	received := make(chan error, 1)
	go func() { received <- receive(stream, conn) }()
	err = o.serveRelay(ctx, stream, conn, received)
	reason := "stream closed"
	if err != nil {
		reason = err.Error()
	}
	o.relays.leave(conn, reason)
	return nil
}

func receive(stream *connect.BidiStream[jobsv1.RelayReport, jobsv1.RelayBatch], conn *relayConn) error {
	for {
		report, err := stream.Receive()
		if err != nil {
			return err
		}
		if err := conn.answer(report); err != nil {
			return err
		}
	}
}

// serveRelay sends calls until the stream, the ownership or the entry's signs of
// life end.
func (o *owner) serveRelay(ctx context.Context, stream *connect.BidiStream[jobsv1.RelayReport, jobsv1.RelayBatch], conn *relayConn, received chan error) error {
	beat := time.NewTicker(relayBeat)
	defer beat.Stop()
	silences := 0
	for {
		select {
		case err := <-received:
			return err
		case <-conn.done:
			return nil
		case <-o.ctx.Done():
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case <-beat.C:
			// Twice in a row: after a pause of the owner itself, what has
			// arrived meanwhile is read first.
			if !conn.silent() {
				silences = 0
			} else if silences++; silences >= 2 {
				return errors.New("no sign of life")
			}
		case <-conn.wake:
			if !sleep(ctx, relayBatchPause) {
				return ctx.Err()
			}
			if err := stream.Send(conn.take()); err != nil {
				return err
			}
		}
	}
}
