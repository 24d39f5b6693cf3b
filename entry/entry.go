// Package entry is the entry process: it takes requests of callers and
// operators, routes them to endpoints, owns cells and claim shards, and
// exchanges its view of the fleet with its peers. The packages router, cell,
// claim, scheduler, membership and config make the decisions; this package
// does the input and output for them.
//
// Lock order: declared.activateMu, then a service's lock, then the view's, then
// that of the declarations or of the lease. No lock is held while a peer, the
// store, a worker or an endpoint is called. Cells and claim shards have no
// lock: one loop drives each of them.
package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/oklog/run"
	"github.com/phuslu/log"

	"leverstile.dev/api/result"
	"leverstile.dev/config"
	"leverstile.dev/fleet"
	"leverstile.dev/kv"
	"leverstile.dev/membership"
)

// Entry is one entry process.
type Entry struct {
	settings *config.Settings
	log      *log.Logger
	set      *metrics.Set
	clock    Clock
	store    kv.Store
	fleet    *fleet.Client
	kvClient *kv.Client
	lease    *lease
	view     *view
	declared *declared
	peers    *peerClients
	services *services
	shards   *shards

	draining         atomic.Bool
	settingsMismatch atomic.Bool // set by handleFleetMismatch
	// pendingOutcomes counts outcomes of claimed requests that are not recorded yet.
	pendingOutcomes sync.WaitGroup
	replanCh        chan struct{}
	callerSrv       *http.Server
	peerSrv         *http.Server
	callersLn       net.Listener
	peersLn         net.Listener
}

// Listen opens the listeners of an entry; port 0 takes any free port.
func Listen(callers, peers string) (net.Listener, net.Listener, error) {
	c, err := net.Listen("tcp", callers)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	p, err := net.Listen("tcp", peers)
	if err != nil {
		_ = c.Close()
		return nil, nil, errors.Trace(err)
	}
	return c, p, nil
}

// AnyPort is an address for Listen: any free port on the loopback interface.
const AnyPort = "127.0.0.1:0"

// New prepares an entry process. The entry closes the listeners when it ends.
func New(s *config.Settings, logger *log.Logger, set *metrics.Set, callers, peers net.Listener) *Entry {
	e := &Entry{
		settings: s, log: logger, set: set, clock: newClock(), view: newView(),
		replanCh: make(chan struct{}, 1), callersLn: callers, peersLn: peers,
	}
	urls := make([]string, 0, len(s.Store.Addresses))
	for _, a := range s.Store.Addresses {
		urls = append(urls, "http://"+a)
	}
	e.kvClient = kv.NewClient(urls, config.Ms(s.Store.TimeoutMS), set)
	e.store = e.kvClient
	e.fleet = fleet.NewClient("http://"+s.Platform.VMList, config.Ms(s.Store.TimeoutMS), set)
	self := membership.Entry{ID: s.ID, Address: peers.Addr().String(), Place: s.Place}
	e.lease = &lease{
		store: e.store, clock: e.clock, ttl: config.Ms(s.Store.LeaseMS), self: self, dirty: true,
		fleet: fleetParams{
			ClaimShards: s.Limits.ClaimShards, TaskLeaseMS: s.Timing.TaskLeaseMS, OutageGraceMS: s.Timing.OutageGraceMS,
		},
		onMismatch: e.handleFleetMismatch,
	}
	e.peers = newPeerClients(config.Ms(s.Store.TimeoutMS), set)
	e.declared = newDeclared(e.store, set, e.onActivate)
	e.services = newServices(e)
	e.shards = newShards(e)
	e.callerSrv = &http.Server{
		Handler:           e.closeWhileDraining(e.callersHandler()),
		ReadHeaderTimeout: config.Ms(s.Timing.CallerIdleMS),
		IdleTimeout:       config.Ms(s.Timing.CallerIdleMS),
		MaxHeaderBytes:    s.Limits.HeaderBytes,
	}
	e.peerSrv = &http.Server{Handler: e.peersHandler(), ReadHeaderTimeout: config.Ms(s.Timing.CallerIdleMS)}
	set.NewGauge("leverstile_declarations_revision", func() float64 { return float64(e.declared.active().number) })
	return e
}

// Run serves until stop is closed and then drains: it turns readiness off,
// waits for the balancer, finishes requests in flight and hands over what it
// owns. Closing abort ends the process at once.
func (e *Entry) Run(stop, abort <-chan struct{}) error {
	var g run.Group
	e.addActor(&g, e.lease.run)
	e.addActor(&g, e.watch)
	e.addActor(&g, e.declared.run)
	e.addActor(&g, e.pollVMs)
	e.addActor(&g, e.exchange)
	e.addActor(&g, e.services.run)
	e.addActor(&g, e.shards.run)
	addServer(&g, e.callerSrv, e.callersLn)
	addServer(&g, e.peerSrv, &fleet.CountListener{
		Listener: e.peersLn, Sent: e.set.GetOrCreateCounter(peerSentMetric), Read: e.set.GetOrCreateCounter(peerReadMetric),
	})
	done := make(chan struct{})
	g.Add(func() error { return e.awaitStop(stop, abort, done) }, func(error) { close(done) })
	e.log.Info().Str("place", e.settings.Place).Str("callers", e.callersLn.Addr().String()).
		Str("peers", e.peersLn.Addr().String()).Msg("serving")
	err := g.Run()
	e.kvClient.Close()
	e.fleet.Close()
	e.services.close()
	return err
}

func (e *Entry) addActor(g *run.Group, fn func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		fn(ctx)
		<-ctx.Done()
		return nil
	}, func(error) { cancel() })
}

func addServer(g *run.Group, s *http.Server, ln net.Listener) {
	g.Add(func() error {
		if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return errors.Trace(err)
		}
		return nil
	}, func(error) { _ = s.Close() })
}

func (e *Entry) awaitStop(stop, abort, done <-chan struct{}) error {
	select {
	case <-done:
		return nil
	case <-abort:
		return nil
	case <-stop:
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer cancel()
		select {
		case <-abort:
		case <-done:
		case <-ctx.Done():
		}
	}()
	e.drain(ctx)
	cancel()
	return nil
}

// drain carries out a planned stop. New requests are still served during the
// drain delay, as the balancer may send some until it has seen readiness off.
func (e *Entry) drain(ctx context.Context) {
	e.log.Info().Msg("draining")
	e.draining.Store(true)
	e.lease.setDraining()
	e.replan()
	select {
	case <-ctx.Done():
		return
	case <-time.After(config.Ms(e.settings.Timing.DrainDelayMS)):
	}
	ctx, cancel := context.WithTimeout(ctx, config.Ms(e.settings.Timing.DrainTimeoutMS))
	defer cancel()
	if err := e.callerSrv.Shutdown(ctx); err != nil {
		e.log.Warn().Int("in_flight", e.services.inFlight()).Msg("drain timed out; requests are cut off")
	}
	waitFor(ctx, &e.pendingOutcomes)
	e.shards.handOver(ctx)
	e.lease.revoke(ctx)
	e.log.Info().Msg("drained")
}

// waitFor waits for a group, or until ctx ends.
func waitFor(ctx context.Context, wg *sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// closeWhileDraining closes each connection after its next answer, so that
// the balancer opens new ones elsewhere. Idle connections stay open until the
// drain delay is over, as a request may be under way on them at any time.
// http.Server.SetKeepAlivesEnabled isn't used because it closes them at once.
func (e *Entry) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// handleFleetMismatch records and logs that this entry can't own cells or claims.
func (e *Entry) handleFleetMismatch(stored fleetParams) {
	e.settingsMismatch.Store(true)
	own := e.lease.fleet
	e.log.Error().Uint32("code", uint32(result.BadSettings)).
		Int("claim_shards", own.ClaimShards).Int("claim_shards_of_fleet", stored.ClaimShards).
		Int("task_lease_ms", own.TaskLeaseMS).Int("task_lease_ms_of_fleet", stored.TaskLeaseMS).
		Int("outage_grace_ms", own.OutageGraceMS).Int("outage_grace_ms_of_fleet", stored.OutageGraceMS).
		Msg("settings differ from the fleet's; this entry routes but owns nothing and claims nothing")
}

// replan triggers a new assignment of shards.
func (e *Entry) replan() {
	select {
	case e.replanCh <- struct{}{}:
	default:
	}
}

// onActivate is called with each revision that comes into force.
func (e *Entry) onActivate(r *revision) {
	e.log.Info().Uint64("revision", r.number).Msg("declarations in force")
	e.services.setDeclared(r)
	e.replan()
}

// pollVMs reads the platform's list of VMs at a fixed interval.
func (e *Entry) pollVMs(ctx context.Context) {
	for {
		vms, err := e.fleet.VMs(ctx)
		if err == nil {
			e.view.setVMs(e.clock(), vms)
			e.services.refresh()
			e.replan()
		} else if ctx.Err() == nil {
			e.log.Warn().Err(err).Msg("reading the VM list failed")
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(config.Ms(e.settings.Platform.PollMS)):
		}
	}
}
