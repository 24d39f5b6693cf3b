package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"

	peerv1 "leverstile.dev/api/gen/leverstile/peer/v1"
	"leverstile.dev/api/gen/leverstile/peer/v1/peerv1connect"
	"leverstile.dev/config"
	"leverstile.dev/fleet"
	"leverstile.dev/membership"
)

// Counters of the bytes exchanged with peers, as client and as server.
const (
	peerSentMetric = "leverstile_peer_sent_bytes_total"
	peerReadMetric = "leverstile_peer_read_bytes_total"
)

// peerClients holds the clients that call peers, by address.
type peerClients struct {
	http      *http.Client
	mu        sync.Mutex
	byAddress map[string]peerv1connect.PeerClient
}

func newPeerClients(timeout time.Duration, set *metrics.Set) *peerClients {
	sent := set.GetOrCreateCounter(peerSentMetric)
	read := set.GetOrCreateCounter(peerReadMetric)
	dialer := &net.Dialer{Timeout: timeout}
	transport := &http.Transport{
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     time.Minute,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			return fleet.CountConn(conn, sent, read), err
		},
	}
	return &peerClients{http: &http.Client{Transport: transport}, byAddress: map[string]peerv1connect.PeerClient{}}
}

func (p *peerClients) clientFor(address string) peerv1connect.PeerClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.byAddress[address]
	if c == nil {
		c = peerv1connect.NewPeerClient(p.http, "http://"+address)
		p.byAddress[address] = c
	}
	return c
}

// exchangeFanOut bounds the number of peers in one round of exchanges.
const exchangeFanOut = 4

// exchange exchanges views with peers at a fixed interval.
func (e *Entry) exchange(ctx context.Context) {
	every := config.Ms(e.settings.Timing.ExchangeEveryMS)
	for {
		var wg sync.WaitGroup
		for _, addr := range e.exchangePartners() {
			wg.Go(func() { e.exchangeWith(ctx, addr, every) })
		}
		wg.Wait()
		now := e.clock()
		e.view.removeOldPeers(now)
		e.services.refresh()
		select {
		case <-ctx.Done():
			return
		case <-time.After(every):
		}
	}
}

// exchangePartners returns the addresses to exchange with. Of each pair of
// entries only one calls the other, as an exchange informs both sides. If there
// are more than exchangeFanOut, the choice is random.
func (e *Entry) exchangePartners() []string {
	self := e.peersLn.Addr().String()
	seen := map[string]bool{self: true}
	var out []string
	add := func(addr string) {
		if addr != "" && !seen[addr] {
			seen[addr] = true
			out = append(out, addr)
		}
	}
	for _, m := range e.view.entries(e.clock(), true) {
		if membership.Calls(e.settings.ID, m.ID) {
			add(m.Address)
		}
	}
	if e.view.hasNoPeers(e.clock()) || e.declared.active().number == 0 {
		for _, addr := range e.settings.Peers {
			add(addr)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), exchangeFanOut)]
}

func (e *Entry) exchangeWith(ctx context.Context, addr string, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout+time.Second)
	defer cancel()
	resp, err := e.peers.clientFor(addr).Exchange(ctx, connect.NewRequest(&peerv1.ExchangeRequest{View: e.ownView()}))
	if err != nil {
		return // the view of a peer that doesn't answer becomes stale
	}
	e.recordPeerView(resp.Msg.GetView())
	if resp.Msg.GetView().GetDeclarationsRevision() > e.declared.active().number {
		e.fetchDeclarations(ctx, addr)
	}
}

// recordPeerView stores a peer's view.
func (e *Entry) recordPeerView(v *peerv1.View) {
	if v.GetEntry() == "" || v.GetEntry() == e.settings.ID {
		return
	}
	if e.view.recordPeerView(e.clock(), v) {
		e.services.refresh()
	}
}

func (e *Entry) fetchDeclarations(ctx context.Context, addr string) {
	resp, err := e.peers.clientFor(addr).GetDeclarations(ctx, connect.NewRequest(&peerv1.GetDeclarationsRequest{}))
	if err != nil {
		return
	}
	r, err := newRevision(resp.Msg.GetRevision(), resp.Msg.GetDocument())
	if err != nil {
		e.log.Error().Err(err).Str("peer", addr).Msg("parsing the declarations of a peer failed")
		return
	}
	e.declared.activate(r)
}

// ownView returns the view that this entry sends to its peers.
func (e *Entry) ownView() *peerv1.View {
	now := e.clock()
	v := &peerv1.View{
		Entry:                e.settings.ID,
		Address:              e.peersLn.Addr().String(),
		Place:                e.settings.Place,
		Draining:             e.draining.Load(),
		DeclarationsRevision: e.declared.active().number,
		Leaving:              e.view.leavingReports(now),
	}
	v.Shards, v.Usage = e.shards.summary()
	return v
}
