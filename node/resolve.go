package node

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	jobsv1 "leverstile.dev/api/gen/leverstile/jobs/v1"
	"leverstile.dev/api/gen/leverstile/jobs/v1/jobsv1connect"
	"leverstile.dev/kv"
	"leverstile.dev/node/acceptance"
)

const (
	// maxAccepting bounds the requests of other entries that an entry records at once. The
	// owner may have 0.11 of a core; 16 are 44 a second while the store takes 360 ms.
	maxAccepting = 16
	// directHeader marks a request that the receiver may only write to the store itself.
	// Requests pass through two entries at most: the owner and one that it asks.
	directHeader = "Leverstile-Direct"
	// relayHeader names, in the owner's answers, entries that the store has answered recently,
	// and sharedRelays is how many.
	relayHeader  = "Leverstile-Relay"
	sharedRelays = 3
	// cancelStoreCalls is the number of calls to the store for a cancellation without an
	// owner: two reads that look for the job, and the write.
	cancelStoreCalls = 2
)

// callEndKey is the context key of the end of the caller's time.
type callEndKey struct{}

// WithCallEnd returns a context for Submit and Cancel whose caller waits until the given
// time. Unlike a deadline it does not cancel a write, whose outcome would then be unknown.
func WithCallEnd(ctx context.Context, end time.Time) context.Context {
	return context.WithValue(ctx, callEndKey{}, end)
}

// untilDeadline returns a context for Submit and Cancel that does not end, with the deadline
// of a call as the end of its caller's time.
func untilDeadline(ctx context.Context) context.Context {
	end, ok := ctx.Deadline()
	ctx = context.WithoutCancel(ctx)
	if ok {
		ctx = WithCallEnd(ctx, end)
	}
	return ctx
}

// callerWait returns how long the caller still waits; 0 means unknown.
func callerWait(ctx context.Context) time.Duration {
	end, ok := ctx.Value(callEndKey{}).(time.Time)
	if !ok {
		return 0
	}
	return max(time.Until(end), 1)
}

// request is a write that a caller asked for, with its ways to the store.
type request struct {
	id string
	// write makes this entry's own conditional write, read looks for its record.
	write func(ctx context.Context) Recorded
	read  func(ctx context.Context) Recorded
	// pass has another entry make the write. If direct is set, that entry may only use the
	// store.
	pass func(ctx context.Context, client jobsv1connect.OwnerClient, direct bool) Recorded
	// settled is called if another entry made the write.
	settled    func()
	storeCalls int
}

// scope limits the ways of a request.
type scope uint8

const (
	// fromCaller: all ways.
	fromCaller scope = iota
	// fromEntry: an entry asks the owner.
	fromEntry
	// storeOnly: only this entry's own write.
	storeOnly
)

// maxExtra returns how many calls a request may cause here beyond its first.
func (s scope) maxExtra() int {
	return map[scope]int{fromCaller: acceptance.MaxExtraCalls, fromEntry: 1}[s]
}

// submission returns the request that records a job.
func (n *Node) submission(id string, value []byte) request {
	key := jobPrefix + id
	return request{
		id: id, storeCalls: 1,
		write: func(ctx context.Context) Recorded {
			recorded, stored := n.createOnce(ctx, key, value)
			if len(stored) > 0 { // a hint without a record is a cancellation
				n.hintOwner(id, stored)
			}
			return recorded
		},
		read: func(ctx context.Context) Recorded {
			return n.readRecord(ctx, key, func(stored []byte) { n.hintOwner(id, stored) })
		},
		pass: func(ctx context.Context, client jobsv1connect.OwnerClient, direct bool) Recorded {
			req := connect.NewRequest(&jobsv1.SubmitJobRequest{Id: id, Record: value})
			markDirect(req.Header().Set, direct)
			resp, err := client.SubmitJob(ctx, req)
			if err != nil {
				return failedCallResult(err)
			}
			return recordedFromWire(resp.Msg.GetRecorded())
		},
		settled: func() { n.noteOwn(id, value) },
	}
}

// cancellation returns the request that records a cancellation.
func (n *Node) cancellation(id string) request {
	key := cancelPrefix + id
	return request{
		id: id, storeCalls: cancelStoreCalls,
		write: func(ctx context.Context) Recorded {
			_, known, err := n.State(ctx, id)
			if err != nil {
				return RecordedNo
			}
			// As in cancelOneWay, the cancellation of an unknown job is recorded too.
			recorded, stored := n.createOnce(ctx, key, recordValue(nil))
			if stored != nil {
				n.hintOwner(id, nil)
			}
			if recorded == RecordedYes && !known {
				return RecordedNotFound
			}
			return recorded
		},
		read: func(ctx context.Context) Recorded {
			return n.readRecord(ctx, key, func([]byte) { n.hintOwner(id, nil) })
		},
		pass: func(ctx context.Context, client jobsv1connect.OwnerClient, direct bool) Recorded {
			req := connect.NewRequest(&jobsv1.CancelJobRequest{Id: id})
			markDirect(req.Header().Set, direct)
			resp, err := client.CancelJob(ctx, req)
			if err != nil {
				return failedCallResult(err)
			}
			return recordedFromWire(resp.Msg.GetRecorded())
		},
		settled: func() { n.noteOwn(id, nil) },
	}
}

func markDirect(set func(key, value string), direct bool) {
	if direct {
		set(directHeader, "1")
	}
}

// noteOwn processes a record that another entry wrote while this one owns the cell: its watch
// may be silent.
func (n *Node) noteOwn(id string, value []byte) {
	if o := n.current.Load(); o != nil {
		o.processHint(id, value)
	}
}

// createOnce makes one conditional write of a key that does not exist. It returns the key's
// value, nil if the store did not report it. A record that exists is reported to the owner
// too: if an earlier write of it got no answer, nobody else does.
func (n *Node) createOnce(ctx context.Context, key string, value []byte) (recorded Recorded, stored []byte) {
	res, err := n.store.Do(ctx, kv.Txn{
		If:   []kv.Compare{{Key: key, Missing: true}},
		Then: []kv.Op{kv.Put(key, value, 0)},
	})
	switch {
	case err == nil && res.Succeeded:
		return RecordedYes, value
	case err == nil:
		if len(res.Reads) > 0 && len(res.Reads[0]) > 0 {
			stored = res.Reads[0][0].Value
		}
		return RecordedYes, stored
	case errors.Is(err, kv.ErrNotDone):
		return RecordedNo, nil
	default:
		return RecordedUnknown, nil
	}
}

// readRecord looks for a record, and calls found with its value. That there is none proves
// nothing.
func (n *Node) readRecord(ctx context.Context, key string, found func(value []byte)) Recorded {
	if p, err := n.store.Get(ctx, key); err == nil && p != nil {
		found(p.Value)
		return RecordedYes
	}
	return RecordedNo
}

// outcomeOfRecorded returns what a call's result means for its request.
func outcomeOfRecorded(r Recorded) acceptance.Outcome {
	switch r {
	case RecordedNo:
		return acceptance.Refused
	case RecordedUnknown:
		return acceptance.Unknown
	default:
		return acceptance.Settled
	}
}

// callEnd is the end of one call of a request.
type callEnd struct {
	way      acceptance.Way
	address  string
	recorded Recorded
}

// resolve gets a request recorded by whatever way answers, until end. Calls that another way
// has overtaken go on to their own limits, so that they count for the store's health.
func (n *Node) resolve(ctx context.Context, req request, limits scope, end time.Duration) Recorded {
	began := n.clock()
	r := acceptance.NewRequest(end, req.storeCalls, limits.maxExtra())
	ends := make(chan callEnd, acceptance.MaxExtraCalls+1) // calls that end after the answer don't block
	var tried []string
	answer, way := RecordedUnknown, acceptance.Store
	for {
		entries := n.untriedRelays(limits, tried)
		step := n.nextStep(r, acceptance.Available{
			Store: !n.store.Down(), Entries: len(entries), Owner: limits == fromCaller && n.ownerClient() != nil,
		})
		switch step.Action {
		case acceptance.Call:
			address := ""
			if step.Way == acceptance.Entry {
				address = entries[0]
				tried = append(tried, address)
			}
			go func() {
				cctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), step.Limit)
				defer cancel()
				ends <- callEnd{step.Way, address, n.makeCall(cctx, req, step.Way, address)}
			}()
		case acceptance.Wait:
			if e, ok := awaitEnd(ends, step.Until-n.clock()); ok {
				answer, way = e.recorded, e.way
				r.Ended(e.way, outcomeOfRecorded(e.recorded), n.clock())
			}
		case acceptance.Answer:
			if step.Outcome != acceptance.Settled {
				answer = map[acceptance.Outcome]Recorded{acceptance.Refused: RecordedNo, acceptance.Unknown: RecordedUnknown}[step.Outcome]
			}
			n.recordResolved(req.id, answer, way, r.Extra(), n.clock()-began)
			return answer
		}
	}
}

// awaitEnd waits for the end of a call, for no longer than limit.
func awaitEnd(ends <-chan callEnd, limit time.Duration) (callEnd, bool) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case e := <-ends:
		return e, true
	case <-timer.C:
	}
	select {
	case e := <-ends: // an answer that came just at the end is delivered
		return e, true
	default:
		return callEnd{}, false
	}
}

// nextStep returns the next step of a request, within the budget of this entry.
func (n *Node) nextStep(r *acceptance.Request, can acceptance.Available) acceptance.Step {
	n.acceptance.mu.Lock()
	defer n.acceptance.mu.Unlock()
	return r.Next(n.clock(), can, &n.acceptance.budget)
}

// untriedRelays returns the entries that a request may still be passed on to.
func (n *Node) untriedRelays(limits scope, tried []string) []string {
	if limits == storeOnly {
		return nil
	}
	now := n.clock()
	return n.relays.recent(now, now-n.store.outage(), append(tried, n.opts.PeerAddress, n.ownerAddress())...)
}

// makeCall makes one call of a request.
func (n *Node) makeCall(ctx context.Context, req request, way acceptance.Way, address string) Recorded {
	switch way {
	case acceptance.Store:
		return req.write(ctx)
	case acceptance.Read:
		return req.read(ctx)
	case acceptance.Owner:
		client := n.ownerClient()
		if client == nil {
			return RecordedNo
		}
		return req.pass(ctx, client, false)
	default:
		recorded := req.pass(ctx, jobsv1connect.NewOwnerClient(n.peers, "http://"+address), true)
		switch outcomeOfRecorded(recorded) {
		case acceptance.Settled:
		case acceptance.Refused:
			// It may only be busy. The owner needs such entries for its own writes.
			if n.current.Load() == nil {
				n.relays.drop(address)
			}
			return recorded
		default:
			n.relays.drop(address)
			return recorded
		}
		n.relays.add(address, n.clock())
		req.settled()
		return recorded
	}
}

// recordResolved logs and counts a request that the first call of this entry did not settle.
func (n *Node) recordResolved(id string, recorded Recorded, way acceptance.Way, extra int, took time.Duration) {
	if n.metrics.set == nil || extra == 0 && way == acceptance.Store {
		if recorded == RecordedUnknown && n.metrics.set != nil {
			n.metrics.unknown.Inc()
		}
		return
	}
	n.metrics.extraCalls.Add(extra)
	switch outcomeOfRecorded(recorded) {
	case acceptance.Settled:
		n.metrics.resolved[way].Inc()
	case acceptance.Unknown:
		n.metrics.unknown.Inc()
	default:
	}
	n.log.Info().Str("event", "submission_resolved").Str("job", id).Str("recorded", recorded.String()).
		Str("way", way.String()).Int("extra_calls", extra).Dur("took", took).Msg("")
}

// acceptForEntry records a request of another entry by record. The request is refused while
// too many are under way, or if it may only be written to a store that is down.
func (n *Node) acceptForEntry(direct bool, record func() Recorded) Recorded {
	if n.opts.DisableAcceptance {
		return record()
	}
	defer n.accepting.Add(-1)
	if n.accepting.Add(1) > maxAccepting || direct && n.store.Down() {
		return RecordedNo
	}
	return record()
}

// resolveForEntry resolves a request of another entry. Only the owner passes it on.
func (n *Node) resolveForEntry(ctx context.Context, req request, direct bool) Recorded {
	limits := storeOnly
	if !direct && n.current.Load() != nil {
		limits = fromEntry
	}
	now := n.clock()
	end := acceptance.End(now, 0)
	if deadline, ok := ctx.Deadline(); ok {
		end = now + max(time.Until(deadline)-acceptance.PeerMargin, 0)
	}
	return n.resolve(ctx, req, limits, end)
}

// RetryAfter returns the delay after which a request that was not recorded has a chance: the
// time until the store's expected return; 0 means unknown.
func (n *Node) RetryAfter() time.Duration {
	if n.opts.DisableAcceptance {
		return 0
	}
	n.acceptance.mu.Lock()
	defer n.acceptance.mu.Unlock()
	return n.acceptance.outages.RetryAfter(n.store.outage())
}

// recordOutage records when the store stops and starts answering this entry.
func (n *Node) recordOutage(up bool) {
	n.acceptance.mu.Lock()
	defer n.acceptance.mu.Unlock()
	now := n.clock()
	if up {
		// Reports of two calls may arrive in either order.
		if n.acceptance.outBegan > 0 {
			n.acceptance.outages.Add(now - n.acceptance.outBegan)
		}
		n.acceptance.outBegan = 0
	} else {
		n.acceptance.outBegan = now - n.store.outage()
	}
}
