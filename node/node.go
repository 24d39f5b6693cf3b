package node

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"leverstile.dev/clock"
	"leverstile.dev/dispatch"
	"leverstile.dev/job"
)

// Options are the settings of a Node.
type Options struct {
	// Entry names this VM; PeerAddress is where other entries reach it.
	Entry, PeerAddress string
	Params             dispatch.Params
	MinLeaseTTL        time.Duration
	// ProcessorShare is this VM's part of a core; weak VMs stand for election
	// later. 0 is not known.
	ProcessorShare float64
	// LinkBytes is what this VM's link carries a second; 0 is not known.
	LinkBytes float64
	// DrainNotice is the time within which a worker that drains must get no new
	// work.
	DrainNotice time.Duration
	// FreezeSlack is the pause of the process beyond which its lease is
	// checked before it acts.
	FreezeSlack time.Duration
	// OperatorPrefix is where the operators write to the store, ConfigKey the
	// key of their configuration below it.
	OperatorPrefix, ConfigKey string
	// EvacuationPrefix is where the operators name data centres whose workers get
	// no new tasks while the key is there.
	EvacuationPrefix string
	DecodeConfig     func([]byte) (*job.Config, error)
	// DecodeWave reads a wave of upkeep; ok is false for keys of other things.
	// It may be nil where there are none.
	DecodeWave func(key string, value []byte) (wave dispatch.Wave, ok bool, err error)
	// WaveStatus returns the key and value that tell the operators of a wave.
	WaveStatus func(number int64, succeeded bool) (key string, value []byte)
}

// Node is an entry process that schedules jobs.
type Node struct {
	opts    Options
	store   *storeHealth
	lister  Lister
	workers Workers
	advisor Advisor
	vms     VMs
	log     *log.Logger
	metrics nodeMetrics
	steady  *clock.Clock

	config   atomic.Pointer[job.Config]
	current  atomic.Pointer[owner]
	lead     atomic.Pointer[leadRecord]
	draining atomic.Bool
	drained  chan struct{} // closed by Drain
	// sparing is set while the owner lacks processor time: routine decisions
	// are counted, not logged.
	sparing atomic.Bool
	peers   *http.Client
	pending pendingCache
	wall    wallClock
	waves   waveList
	// badEntries are entries of workers, badKeys other keys that can't be read;
	// unusable is the number of the former.
	badEntries, badKeys reportedProblems
	unusable            atomic.Int64
	// evacuations is what is known of evacuated data centres.
	evacuations evacuationList
	hints       chan struct{} // holds one value a hint under way
	// relays are entries that the store has answered of late; relayed is set while one of
	// them makes calls for this one.
	relays  relayList
	relayed atomic.Bool
	// crowdedUntil is until when short jobs are to be admitted by the owner.
	crowdedUntil atomic.Int64
}

// New returns a node. Run starts it.
func New(opts Options, ports Ports, logger *log.Logger, set *metrics.Set) *Node {
	n := &Node{
		opts: opts, lister: ports.Lister, workers: ports.Workers, advisor: ports.Advisor, vms: ports.VMs, log: logger, steady: clock.New(),
		peers: newPeerClient(), hints: make(chan struct{}, maxHints), drained: make(chan struct{}),
	}
	p := &n.opts.Params
	p.OwnerTTL, p.OwnerHorizon = max(ownerTTL, opts.MinLeaseTTL), ownerHorizon
	p.RecoveryWait = dispatch.RecoveryWaitFor(p.OwnerTTL, p.OwnerHorizon)
	n.store = &storeHealth{Store: ports.Store, clock: n.clock, changed: n.storeChanged}
	n.registerMetrics(set)
	return n
}

// clock is the steady clock of the process. It counts the time for which the VM was
// suspended: a lease at the store runs out meanwhile.
func (n *Node) clock() time.Duration { return n.steady.Now() }

func (n *Node) instant() dispatch.Instant {
	steady := n.clock()
	ms, adopted := n.wall.read(steady, time.Now().UnixMilli())
	if adopted != 0 {
		n.log.Warn().Str("event", "clock_jump_adopted").Dur("by", adopted).Msg("")
	}
	return dispatch.Instant{Steady: steady, UnixMS: ms}
}

// RunElection takes part in the election until ctx ends.
func (n *Node) RunElection(ctx context.Context) error {
	return (&election{node: n}).run(ctx)
}

// Drain makes the node not ready and hands over what it owns. Calls are served
// on.
func (n *Node) Drain() {
	if n.draining.CompareAndSwap(false, true) {
		close(n.drained)
	}
}

// Ready reports whether the platform should send new connections here.
func (n *Node) Ready() bool {
	return !n.draining.Load() && n.config.Load() != nil && n.store.outage() < unreadyOutage
}

func (n *Node) setOwner(lead *leadRecord) {
	before := n.lead.Swap(lead)
	if lead == nil || (before != nil && before.Session == lead.Session) {
		return
	}
	n.log.Info().Str("event", "owner_seen").Str("owner", lead.Entry).Uint64("term", lead.Term).Msg("")
}

func (n *Node) storeChanged(up bool, err error) {
	if up {
		n.relayed.Store(false)
		n.log.Info().Str("event", "store_regained").Msg("")
		return
	}
	n.log.Warn().Str("event", "store_lost").Err(err).Msg("")
}

// logDecision writes a line for a decision of the core.
func (n *Node) logDecision(d dispatch.Decision) {
	n.metrics.decisions.Inc()
	if d.Routine() && n.sparing.Load() {
		n.metrics.unlogged.Inc()
		return
	}
	e := n.log.Info().Str("event", d.Event)
	if d.Task.Job != "" {
		e = e.Str("task", d.Task.String())
	}
	if d.Job != "" {
		e = e.Str("job", d.Job)
	}
	if d.Run != 0 {
		e = e.Uint64("run", d.Run)
	}
	if d.Worker != "" {
		e = e.Str("worker", d.Worker.Name())
	}
	if born := d.Worker.Born(); born != 0 {
		e = e.Int64("born", born)
	}
	if d.Reason != "" {
		e = e.Str("reason", d.Reason)
	}
	if d.Detail != "" {
		e = e.Str("detail", d.Detail)
	}
	if d.Age != 0 {
		e = e.Dur("age", d.Age)
	}
	e.Msg("")
}

// endLease gives a lease back; one that can't be reached lapses by itself.
func (n *Node) endLease(lease int64) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := n.store.Revoke(ctx, lease); err != nil {
		n.log.Warn().Str("event", "lease_not_ended").Err(err).Msg("")
	}
}
