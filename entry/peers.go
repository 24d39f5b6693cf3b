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
)

// peerClients calls peers by address.
type peerClients struct {
	http *http.Client
	mu   sync.Mutex
	byID map[string]peerv1connect.PeerClient
}

func newPeerClients(timeout time.Duration, set *metrics.Set) *peerClients {
	sent := set.NewCounter("leverstile_peer_sent_bytes_total")
	read := set.NewCounter("leverstile_peer_read_bytes_total")
	dialer := &net.Dialer{Timeout: timeout}
	transport := &http.Transport{
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     time.Minute,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countedConn{conn, sent, read}, nil
		},
	}
	return &peerClients{http: &http.Client{Transport: transport}, byID: map[string]peerv1connect.PeerClient{}}
}

// countedConn counts the bytes of control traffic, headers included.
type countedConn struct {
	net.Conn
	sent, read *metrics.Counter
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(n)
	return n, err
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(n)
	return n, err
}

func (p *peerClients) at(address string) peerv1connect.PeerClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.byID[address]
	if c == nil {
		c = peerv1connect.NewPeerClient(p.http, "http://"+address)
		p.byID[address] = c
	}
	return c
}

// exchangeFanOut bounds the peers that one round exchanges with.
const exchangeFanOut = 8

// exchange swaps views with peers, round by round.
func (e *Entry) exchange(ctx context.Context) {
	every := config.Ms(e.settings.Timing.ExchangeEveryMS)
	for {
		var wg sync.WaitGroup
		for _, addr := range e.exchangePartners() {
			wg.Go(func() { e.exchangeWith(ctx, addr, every) })
		}
		wg.Wait()
		now := e.clock()
		e.view.forgetPeers(now)
		e.services.refresh()
		select {
		case <-ctx.Done():
			return
		case <-time.After(every):
		}
	}
}

// exchangePartners returns the addresses to exchange with: all peers, or a
// random choice of them where there are many.
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
		add(m.Address)
	}
	if len(out) == 0 || e.declared.now().number == 0 {
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
	resp, err := e.peers.at(addr).Exchange(ctx, connect.NewRequest(&peerv1.ExchangeRequest{View: e.ownView()}))
	if err != nil {
		return // a peer that doesn't answer ages in the view
	}
	e.heard(resp.Msg.GetView())
	if resp.Msg.GetView().GetDeclarationsRevision() > e.declared.now().number {
		e.fetchDeclarations(ctx, addr)
	}
}

// heard takes over a peer's view.
func (e *Entry) heard(v *peerv1.View) {
	if v.GetEntry() == "" || v.GetEntry() == e.settings.ID {
		return
	}
	e.view.heard(e.clock(), v)
	e.services.peerLoad(v)
}

func (e *Entry) fetchDeclarations(ctx context.Context, addr string) {
	resp, err := e.peers.at(addr).GetDeclarations(ctx, connect.NewRequest(&peerv1.GetDeclarationsRequest{}))
	if err != nil {
		return
	}
	r, err := newRevision(resp.Msg.GetRevision(), resp.Msg.GetDocument())
	if err != nil {
		e.log.Error().Err(err).Str("peer", addr).Msg("declarations of a peer can't be read")
		return
	}
	e.declared.force(r)
}

// ownView is what this entry tells its peers.
func (e *Entry) ownView() *peerv1.View {
	now := e.clock()
	v := &peerv1.View{
		Entry:                e.settings.ID,
		Address:              e.peersLn.Addr().String(),
		Place:                e.settings.Place,
		Draining:             e.draining.Load(),
		DeclarationsRevision: e.declared.now().number,
		Loads:                e.services.loads(),
		LeavingVms:           e.view.toldLeaving(now),
	}
	v.Shards, v.Usage = e.shards.summary()
	return v
}
