package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"

	journalv1 "leverstile.dev/api/gen/leverstile/journal/v1"
	peerv1 "leverstile.dev/api/gen/leverstile/peer/v1"
	"leverstile.dev/api/result"
	"leverstile.dev/claim"
	"leverstile.dev/config"
	"leverstile.dev/membership"
)

// claimRunner runs the owner of one claim shard in this entry. A claim reserves
// an idempotency key for one request, so that its repeats aren't run again.
type claimRunner struct {
	entry        *Entry
	name         string
	loop         *loop
	owner        *claim.Owner
	status       status
	ctx          context.Context
	lastTicket   uint64
	pendingCalls map[uint64]chan claim.Reply
}

func newClaimRunner(e *Entry, name string) *claimRunner {
	params := claim.DefaultParams(name, e.settings.ID, config.Ms(e.settings.Timing.ClaimRetainMS))
	c := &claimRunner{
		entry: e, name: name, pendingCalls: map[uint64]chan claim.Reply{}, ctx: context.Background(),
		owner: claim.NewOwner(params, e.shardParams(name, config.Ms(e.settings.Timing.ClaimCommitEveryMS))),
	}
	c.loop = newLoop(shardTickInterval, func() { c.owner.Tick(e.clock(), time.Now()) }, c.flush)
	return c
}

func (c *claimRunner) update(ctx context.Context, wanted bool) {
	c.loop.post(ctx, func() {
		c.ctx = ctx
		c.owner.Core().SetWanted(wanted)
		c.owner.Tick(c.entry.clock(), time.Now())
	})
}

func (c *claimRunner) flush() {
	core := c.owner.Core()
	core.SetLease(c.entry.lease.forShards())
	ops, replies, errs := c.owner.Take()
	c.status.set(core)
	ctx := c.ctx
	for _, op := range ops {
		go func() {
			a := c.entry.storeOp(ctx, op)
			c.loop.post(ctx, func() { c.owner.StoreAnswer(c.entry.clock(), time.Now(), a) })
		}()
	}
	for _, r := range replies {
		if ch := c.pendingCalls[r.Ticket]; ch != nil {
			delete(c.pendingCalls, r.Ticket)
			ch <- r // buffered for one
		}
	}
	for _, err := range errs {
		c.entry.log.Error().Err(err).Str("shard", c.name).Msg("claim shard")
	}
}

func (c *claimRunner) call(ctx context.Context, fn func(ticket uint64)) claim.Reply {
	ch := make(chan claim.Reply, 1)
	c.loop.post(ctx, func() {
		c.lastTicket++
		c.pendingCalls[c.lastTicket] = ch
		fn(c.lastTicket)
	})
	select {
	case r := <-ch:
		return r
	case <-ctx.Done():
		return claim.Reply{Code: result.OwnerUnavailable}
	}
}

func (c *claimRunner) claim(ctx context.Context, r claim.Request) claim.Reply {
	return c.call(ctx, func(ticket uint64) {
		c.owner.Claim(c.entry.clock(), time.Now(), ticket, r)
	})
}

func (c *claimRunner) complete(ctx context.Context, key, requestID string, phase journalv1.ClaimPhase, out *journalv1.ClaimOutcome) claim.Reply {
	return c.call(ctx, func(ticket uint64) {
		c.owner.Complete(c.entry.clock(), time.Now(), ticket, key, requestID, phase, out)
	})
}

// claimTimeout bounds the time for a claim; after that the answer to the caller
// is that its request was not run.
const claimTimeout = 3 * time.Second

// claimFor asks the owner of a key's shard for the claim. The request may only
// be sent after a reply with result.OK; without one it was not run.
func (e *Entry) claimFor(ctx context.Context, service string, r claim.Request) claim.Reply {
	if e.settingsMismatch.Load() {
		return claim.Reply{Code: result.OwnerUnavailable, RetryAfter: claimTimeout}
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	n := membership.ClaimShard(service, r.Key, len(e.shards.claims))
	key := service + "\x00" + r.Key
	r.Key = key
	reply := claim.Reply{Code: result.OwnerUnavailable, RetryAfter: time.Second}
	for ctx.Err() == nil {
		reply = e.claimOnce(ctx, n, r)
		if reply.Code != result.OwnerUnavailable {
			return reply
		}
		sleep(ctx, ownerRetry)
	}
	return claim.Reply{Code: result.OwnerUnavailable, RetryAfter: time.Second}
}

// ownerRetry is the delay before a call to a shard's owner is retried.
const ownerRetry = 50 * time.Millisecond

func (e *Entry) claimOnce(ctx context.Context, n int, r claim.Request) claim.Reply {
	c := e.shards.claims[n]
	if c.status.ownedTerm() > 0 {
		return c.claim(ctx, r)
	}
	addr := e.ownerAddress(c.name)
	if addr == "" {
		return claim.Reply{Code: result.OwnerUnavailable}
	}
	resp, err := e.peers.clientFor(addr).Claim(ctx, connect.NewRequest(&peerv1.ClaimRequest{
		Shard: c.name, Key: r.Key, Holder: r.Holder, RequestId: r.RequestID,
		Fingerprint: r.Fingerprint, TimeoutMs: r.Timeout.Milliseconds(),
	}))
	if err != nil {
		return claim.Reply{Code: result.OwnerUnavailable}
	}
	return claim.Reply{
		Code: result.Code(resp.Msg.GetCode()), Phase: resp.Msg.GetPhase(), Outcome: resp.Msg.GetOutcome(),
		RetryAfter: time.Second,
	}
}

// ownerAddress returns the address at which a shard's owner takes calls, or ""
// if no other entry is known to own the shard.
func (e *Entry) ownerAddress(shardName string) string {
	id := e.view.owner(shardName, e.clock())
	if id == "" || id == e.settings.ID {
		return ""
	}
	return e.view.address(id)
}

// completeTimeout bounds the recording of an outcome.
const completeTimeout = 30 * time.Second

// completeClaim records how a claimed request ended. It retries until
// completeTimeout if the owner can't be reached; if that fails too, the claim's
// outcome becomes unknown by the claim's own timeout.
func (e *Entry) completeClaim(service, key, requestID string, phase journalv1.ClaimPhase, out *journalv1.ClaimOutcome) {
	ctx, cancel := context.WithTimeout(context.Background(), completeTimeout)
	defer cancel()
	n := membership.ClaimShard(service, key, len(e.shards.claims))
	full := service + "\x00" + key
	for ctx.Err() == nil {
		if e.completeOnce(ctx, n, full, requestID, phase, out) {
			return
		}
		sleep(ctx, 4*ownerRetry)
	}
	e.log.Warn().Str("request", requestID).Msg("the outcome of a claimed request could not be recorded")
}

func (e *Entry) completeOnce(ctx context.Context, n int, key, requestID string, phase journalv1.ClaimPhase, out *journalv1.ClaimOutcome) bool {
	c := e.shards.claims[n]
	if c.status.ownedTerm() > 0 {
		return c.complete(ctx, key, requestID, phase, out).Code == result.OK
	}
	addr := e.ownerAddress(c.name)
	if addr == "" {
		return false
	}
	resp, err := e.peers.clientFor(addr).CompleteClaim(ctx, connect.NewRequest(&peerv1.CompleteClaimRequest{
		Shard: c.name, Key: key, RequestId: requestID, Phase: phase, Outcome: out,
	}))
	return err == nil && resp.Msg.GetCode() == 0
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
