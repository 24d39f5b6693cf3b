package node

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/rs/xid"
	"golang.org/x/sync/semaphore"

	"leverstile.dev/clock"
	"leverstile.dev/dispatch"
	"leverstile.dev/job"
	"leverstile.dev/node/acceptance"
)

// Options are the settings of a Node.
type Options struct {
	// Entry names this VM; PeerAddress is where other entries reach it.
	Entry, PeerAddress string
	Params             dispatch.Params
	// MinLeaseTTL is the shortest lease that the store grants.
	MinLeaseTTL time.Duration
	// ProcessorShare is this VM's part of a core; weak VMs stand for election
	// later. 0 means unknown.
	ProcessorShare float64
	// LinkBytes is the capacity of this VM's link in bytes per second; 0 means unknown.
	LinkBytes float64
	// DrainNotice is the time within which a draining worker must stop getting new
	// work.
	DrainNotice time.Duration
	// FreezeSlack is the pause of the process beyond which its lease is
	// checked before it acts.
	FreezeSlack time.Duration
	// OperatorPrefix is where the operators write to the store, ConfigKey the
	// key of their configuration below it.
	OperatorPrefix, ConfigKey string
	// EvacuationPrefix is where the operators name data centres whose workers get
	// no new tasks while the key exists.
	EvacuationPrefix string
	DecodeConfig     func([]byte) (*job.Config, error)
	// DecodeWave reads a maintenance wave; ok is false for keys that hold anything
	// else. It may be nil where there are no waves.
	DecodeWave func(key string, value []byte) (wave dispatch.Wave, ok bool, err error)
	// WaveStatus returns the key and value that report a wave's result to the operators.
	WaveStatus func(number int64, succeeded bool) (key string, value []byte)
	// RecordReads bounds how many states are read from the store at the same time, while no owner
	// answers: an answer may be as large as the store's largest value. 0 means no limit.
	RecordReads int
	// DisableAcceptance turns off the recovery of acceptance (docs/design/acceptance.md): a
	// submission or cancellation then keeps to the way that it began with.
	DisableAcceptance bool
}

// Node is an entry process: it accepts jobs and takes part in the election, and it
// schedules the cell's jobs while it is the owner.
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

	config atomic.Pointer[job.Config]
	// current is this entry's ownership, nil while another entry or none owns the cell; lead
	// is the cell's owner as this entry knows it.
	current atomic.Pointer[owner]
	lead    atomic.Pointer[leadRecord]
	// session distinguishes this process from others that run as the same entry. owning is the
	// ownership from its start to its end, ended what is known of the newest one that has ended.
	session  string
	owning   atomic.Pointer[owner]
	ended    atomic.Pointer[endedTerm]
	draining atomic.Bool
	drained  chan struct{} // closed by Drain
	// skipRoutineLogs is set while the owner lacks processor time: routine decisions
	// are counted, not logged.
	skipRoutineLogs atomic.Bool
	peers           *http.Client
	pending         pendingCache
	wall            wallClock
	waves           waveList
	// badWorkerEntries are the workers' entries in the list of workers that can't be used,
	// badKeys other keys that can't be read; unusable is the number of the former.
	badWorkerEntries, badKeys reportedProblems
	unusable                  atomic.Int64
	// evacuations are the states of data centres that this entry has read or received.
	evacuations evacuationList
	hints       chan struct{} // holds one value per hint in progress
	// recordReads bounds the reads of Options.RecordReads; nil means no limit.
	recordReads *semaphore.Weighted
	// relays are entries that the store has answered recently; relayed is set while one of
	// them makes store calls for this one.
	relays  relayList
	relayed atomic.Bool
	// crowdedUntil is the time until which short jobs need admission by the owner.
	crowdedUntil atomic.Int64
	// acceptance is the state of the recovery of acceptance; accepting is the number of other
	// entries' requests under way.
	acceptance acceptanceState
	accepting  atomic.Int32
}

// acceptanceState is what requests share. Its lock guards all fields.
type acceptanceState struct {
	mu       sync.Mutex
	budget   acceptance.Budget
	outages  acceptance.Outages
	outBegan time.Duration
}

// New returns a node. Run starts it.
func New(opts Options, ports Ports, logger *log.Logger, set *metrics.Set) *Node {
	n := &Node{
		opts: opts, lister: ports.Lister, workers: ports.Workers, advisor: ports.Advisor, vms: ports.VMs, log: logger, steady: clock.New(),
		session: xid.New().String(), peers: newPeerClient(), hints: make(chan struct{}, maxHints), drained: make(chan struct{}),
	}
	if opts.RecordReads > 0 {
		n.recordReads = semaphore.NewWeighted(int64(opts.RecordReads))
	}
	p := &n.opts.Params
	p.OwnerTTL, p.OwnerHorizon = max(ownerTTL, opts.MinLeaseTTL), ownerHorizon
	p.RecoveryWait = dispatch.RecoveryWaitFor(p.OwnerTTL, p.OwnerHorizon)
	n.store = &storeHealth{Store: ports.Store, clock: n.clock, changed: n.storeChanged}
	n.registerMetrics(set)
	return n
}

// clock is the steady clock of the process. It includes time for which the VM was
// suspended, since a lease at the store expires meanwhile.
func (n *Node) clock() time.Duration { return n.steady.Now() }

// instant returns the steady clock and the time of day that decisions use.
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

// Drain makes the node not ready and, if it is the owner, hands the cell over. The node
// keeps serving calls.
func (n *Node) Drain() {
	if n.draining.CompareAndSwap(false, true) {
		close(n.drained)
	}
}

// Ready reports whether the platform should send new connections here.
func (n *Node) Ready() bool {
	return !n.draining.Load() && n.config.Load() != nil && n.store.outage() < unreadyOutage
}

// setOwner records the owner of the cell, nil if there is none, and logs a new one.
func (n *Node) setOwner(lead *leadRecord) {
	before := n.lead.Swap(lead)
	if lead == nil || (before != nil && before.Session == lead.Session) {
		return
	}
	n.log.Info().Str("event", "owner_seen").Str("owner", lead.Entry).Uint64("term", lead.Term).Msg("")
}

// storeChanged logs that the store has started or stopped answering this entry.
func (n *Node) storeChanged(up bool, err error) {
	n.recordOutage(up)
	if up {
		n.relayed.Store(false)
		n.log.Info().Str("event", "store_regained").Msg("")
		return
	}
	n.log.Warn().Str("event", "store_lost").Err(err).Msg("")
}

// logDecision logs a decision of the core.
func (n *Node) logDecision(d dispatch.Decision) {
	n.metrics.decisions.Inc()
	if d.Routine() && n.skipRoutineLogs.Load() {
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

// revokeLease revokes a lease; one that can't be revoked expires by itself.
func (n *Node) revokeLease(lease int64) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := n.store.Revoke(ctx, lease); err != nil {
		n.log.Warn().Str("event", "lease_not_ended").Err(err).Msg("")
	}
}
