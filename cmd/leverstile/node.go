package main

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	oklog "github.com/oklog/run"
	"github.com/phuslu/log"

	"leverstile.dev/api/result"
	"leverstile.dev/dispatch"
	"leverstile.dev/inbound"
	"leverstile.dev/job"
	"leverstile.dev/logging"
	"leverstile.dev/node"
	"leverstile.dev/platform"
)

// nodeCommand runs an entry on the users' platform until SIGTERM, which drains it.
type nodeCommand struct {
	Check bool `long:"check" description:"read the settings, print the first mistake and end"`
	// MetricsPort defaults to the port that the deploy file names.
	MetricsPort uint16 `long:"metrics-port" default:"7721" description:"port of the counters"`
	LogLevel    string `long:"log-level" default:"info" description:"least level of log lines"`
	// Disable names parts that are turned off.
	Disable disabledParts `long:"disable" value-name:"PARTS" description:"parts to turn off, separated by commas: copies, acceptance"`
}

// Timeouts of the process.
const (
	// drainAcceptTime is how long a draining process accepts new connections:
	// the platform stops sending them after two missed readiness checks, which
	// are a second apart.
	drainAcceptTime = 2500 * time.Millisecond
	// shutdownMargin is the part of the time before SIGKILL that stays unused.
	shutdownMargin = 500 * time.Millisecond
	// jobRetentionMargin is how long job records are kept beyond the time that
	// job states must be readable.
	jobRetentionMargin = 30 * time.Second
	// headerTimeout, idleTimeout and unreadTimeout bound connections where the configuration sets
	// no limit. Other entries keep idle connections for a minute.
	headerTimeout = 3 * time.Second
	idleTimeout   = 75 * time.Second
	unreadTimeout = 15 * time.Second
	// defaultHeadBytes bounds heads where the configuration sets no limit.
	defaultHeadBytes = 16 << 10
)

// Execute implements flags.Commander.
func (c *nodeCommand) Execute([]string) error {
	settings, err := platform.LoadSettings()
	if err != nil {
		return result.New(result.BadSettings, "%v", err)
	}
	if c.Check {
		return nil
	}
	set := metrics.NewSet()
	logger, flush := logging.New(os.Stdout, c.LogLevel, settings.Entry, set)
	defer flush()
	return runNode(settings, c.MetricsPort, c.Disable, logger, set)
}

func runNode(s platform.Settings, metricsPort uint16, disabled disabledParts, logger *log.Logger, set *metrics.Set) error {
	budgets := inbound.BudgetsFor(s.Memory, s.Descriptors)
	if budgets.HeapBytes > 0 {
		debug.SetMemoryLimit(budgets.HeapBytes)
	}
	store := platform.NewStore(s.StoreAddress, set)
	ports := node.Ports{
		Store: store, Lister: store, Workers: platform.NewWorkers(set, budgets.WorkerConnections), Advisor: platform.NewAdvisor(s.AdviceAddress),
		VMs: platform.NewVMs(s.CloudAddress, s.Entry),
	}
	n := node.New(nodeOptions(s, budgets, disabled), ports, logger, set)
	logger.Info().Str("event", "start").Str("data_centre", s.DataCentre).Str("disabled", disabled.String()).Msg("")

	var g oklog.Group
	servers, err := listenAll(s, n, budgets, logger, set)
	if err != nil {
		return err
	}
	if metricsServer := listenMetrics(s.IP, metricsPort, budgets.Internal, logger, set); metricsServer != nil {
		servers = append(servers, metricsServer)
	}
	for _, srv := range servers {
		g.Add(srv.serve, srv.interrupt)
		addLoop(&g, srv.guard.Run)
	}
	addLoop(&g, n.RunOperators)
	addLoop(&g, n.RunElection)
	addSignals(&g, s, n, servers, logger)
	err = g.Run()
	logger.Info().Str("event", "stop").Err(err).Msg("")
	return nil
}

func nodeOptions(s platform.Settings, budgets inbound.Budgets, disabled disabledParts) node.Options {
	b := s.Bounds
	return node.Options{
		Entry: s.Entry, PeerAddress: s.Peers, MinLeaseTTL: s.MinLeaseTTL, ProcessorShare: s.ProcessorShare, LinkBytes: s.LinkBytes, DrainNotice: b.Drain, FreezeSlack: b.FreezeSlack,
		RecordReads:       budgets.RecordReads,
		DisableAcceptance: disabled[partAcceptance],
		OperatorPrefix:    platform.OperatorPrefix, ConfigKey: platform.ConfigKey, EvacuationPrefix: platform.EvacuationPrefix, DecodeConfig: platform.DecodeConfig,
		DecodeWave: platform.DecodeWave, WaveStatus: platform.WaveStatus,
		Params: dispatch.Params{
			MaxTaskLease: b.MaxTaskLease, OverTarget: b.OverTarget,
			JobKept: b.JobStateKept + jobRetentionMargin, RemoteFactor: max(b.RemoteFactor, 1), PaceAfter: b.PaceAfter,
			Restore: b.Restore, Maintenance: b.Maintenance, HolderGap: b.HolderGap, MaxWorkerListAge: b.Contact,
			NoCopies: disabled[partCopies], JobMemory: budgets.JobBytes,
		},
	}
}

// server is a listener with the HTTP server that uses it.
type server struct {
	name     string
	listener net.Listener
	guard    *inbound.Guard
	http     *http.Server
}

// newServer listens on an address. All its connections share a budget.
func newServer(name, address string, handler http.Handler, budget inbound.Budget, limits func() inbound.Limits, logger *log.Logger, set *metrics.Set) (*server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	guard := inbound.NewGuard(inbound.Options{Name: name, Budget: budget, Limits: limits}, logger, set)
	return &server{name, guard.Listen(l), guard, guard.Server(handler)}, nil
}

func listenAll(s platform.Settings, n *node.Node, budgets inbound.Budgets, logger *log.Logger, set *metrics.Set) ([]*server, error) {
	ready := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !n.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	calls := platform.NewCallHandler(n, logger, set)
	calls.LimitOnward(budgets.OnwardCalls)
	var servers []*server
	for _, x := range []struct {
		name, address string
		handler       http.Handler
		budget        inbound.Budget
		limits        func() inbound.Limits
	}{
		{"callers", s.Callers, calls, budgets.Callers, func() inbound.Limits { return callerLimits(n.Config()) }},
		{"ready", s.Ready, ready, budgets.Internal, internalLimits},
		{"peers", s.Peers, n.PeersHandler(), budgets.Peers, internalLimits},
	} {
		srv, err := newServer(x.name, x.address, x.handler, x.budget, x.limits, logger, set)
		if err != nil {
			return nil, result.New(result.BadSettings, "%s: %v", x.name, err)
		}
		servers = append(servers, srv)
	}
	return servers, nil
}

// callerLimits returns the limits of customers' requests in a configuration, which is nil before
// the first.
func callerLimits(config *job.Config) inbound.Limits {
	l := internalLimits()
	if config == nil {
		return l
	}
	l.HeadBytes = cmp.Or(config.MaxHeadBytes, l.HeadBytes)
	l.HeadTimeout = cmp.Or(config.HeadTimeout, l.HeadTimeout)
	l.IdleTimeout = cmp.Or(config.IdleTimeout, l.IdleTimeout)
	return l
}

// internalLimits returns the limits of requests that don't come from customers.
func internalLimits() inbound.Limits {
	return inbound.Limits{HeadBytes: defaultHeadBytes, HeadTimeout: headerTimeout, IdleTimeout: idleTimeout, WriteTimeout: unreadTimeout}
}

// listenMetrics returns the server of the metrics, or nil if it can't listen:
// the node then runs without it, as scheduling jobs is more important.
func listenMetrics(ip string, port uint16, budget inbound.Budget, logger *log.Logger, set *metrics.Set) *server {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { set.WritePrometheus(w) })
	srv, err := newServer("metrics", net.JoinHostPort(ip, strconv.Itoa(int(port))), handler, budget, internalLimits, logger, set)
	if err != nil {
		logger.Error().Str("event", "metrics_not_served").Err(err).Msg("")
		return nil
	}
	return srv
}

func (s *server) serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Annotate(err, s.name)
}

func (s *server) interrupt(error) { _ = s.http.Close() }

// addLoop adds a loop to the group; an interrupt cancels the loop's context.
func addLoop(g *oklog.Group, loop func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}

// addSignals drains the process and ends the group on SIGTERM or SIGINT. In the
// drain the node becomes unready, hands over what it owns and answers the
// requests that it has read.
func addSignals(g *oklog.Group, s platform.Settings, n *node.Node, servers []*server, logger *log.Logger) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	stop := make(chan struct{})
	g.Add(func() error {
		for {
			select {
			case sig := <-signals:
				logger.Info().Str("event", "signal").Str("signal", sig.String()).Msg("")
				if sig == syscall.SIGHUP {
					continue // no setting can be changed at run time
				}
				drain(s, n, servers)
				return nil
			case <-stop:
				return nil
			}
		}
	}, func(error) { close(stop) })
}

func drain(s platform.Settings, n *node.Node, servers []*server) {
	end := time.Now().Add(s.Bounds.Grace - shutdownMargin)
	n.Drain()
	for _, srv := range servers {
		if srv.name == "callers" {
			srv.http.SetKeepAlivesEnabled(false)
		}
	}
	time.Sleep(min(drainAcceptTime, time.Until(end)))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	for _, srv := range servers {
		if srv.name == "callers" {
			_ = srv.http.Shutdown(ctx)
		}
	}
}
