package dispatch

import (
	"fmt"
	"testing"
	"time"

	"leverstile.dev/job"
)

// ownerSequence plays owners of a cell that replace one another, with what they store of queues.
type ownerSequence struct {
	t       *testing.T
	now     Instant
	term    uint64
	config  *job.Config
	core    *Core
	spec    *job.Spec
	stored  *job.Progress
	queues  []byte
	ends    uint64
	started []Order
}

func (o *ownerSequence) takeOver() {
	o.now.Steady += time.Minute // all leases of the previous owner have ended
	o.now.UnixMS += time.Minute.Milliseconds()
	o.term++
	o.core = New(Params{MaxTaskLease: 6 * time.Second, OwnerTTL: time.Hour, OwnerHorizon: 2 * time.Hour}, o.term, nil)
	o.core.Renewed(o.now.Steady)
	if o.queues != nil {
		if err := o.core.RecoverQueues(o.queues); err != nil {
			o.t.Log(err) // a damaged record
		}
	}
	o.core.SetConfig(o.config)
	o.listWorkers()
	if o.spec != nil {
		o.core.AddJob(o.spec, o.stored, true, o.now)
	}
}

// listWorkers lists a worker of each service and polls it, so that it may get tasks.
func (o *ownerSequence) listWorkers() {
	var workers []WorkerInfo
	for _, service := range []string{"svc", "other"} {
		w := testWorkerInfo("at-"+service, "vm-"+service)
		w.Service = service
		workers = append(workers, w)
	}
	o.core.SetWorkers(workers, o.now)
	storeOpen(o.core, workers[0].ID, workers[1].ID)
	for _, w := range workers {
		poll(o.core, w.ID, o.now.Steady, o.now.Steady)
	}
}

// store writes what the owner has to store.
func (o *ownerSequence) store() {
	value, err := o.core.QueueRecords()
	if err != nil {
		o.t.Fatal(err)
	}
	if value != nil {
		o.queues = value
	}
	o.core.QueuesStored(value)
	records, err := o.core.Records(10)
	if err != nil {
		o.t.Fatal(err)
	}
	for _, r := range records {
		if o.stored, err = DecodeProgress(r.Value); err != nil {
			o.t.Fatal(err)
		}
	}
	o.core.Persisted(records)
}

func (o *ownerSequence) configure(version int64, queues ...job.Queue) {
	o.config = &job.Config{Version: version, Queues: queues}
	o.core.SetConfig(o.config)
}

// round starts what is ready and ends it with the given kind. It returns the service of the
// started tasks, if there are any.
func (o *ownerSequence) round(kind EndKind) (service string) {
	o.now.Steady += 2 * maxAvoidPause
	o.now.UnixMS += 2 * maxAvoidPause.Milliseconds()
	o.core.Renewed(o.now.Steady)
	o.listWorkers()
	o.core.Schedule(o.now)
	for _, order := range starts(o.core) {
		service = string(order.Worker)[len("at-"):]
		o.started = append(o.started, order)
		o.ends++
		listEnds(o.core, order.Worker, o.now.Steady.Milliseconds(), o.now, EndedTask{Number: o.ends, Task: order.Task, Run: order.Run, Kind: kind})
	}
	o.store()
	return service
}

// TestAcceptedJobsOutliveTheirQueue guards against jobs that no longer start, or exceed their
// attempts, once their queue is removed and the owner is replaced. Owners are replaced at each
// moment of a sequence of configurations, before or after they have stored what they know.
func TestAcceptedJobsOutliveTheirQueue(t *testing.T) {
	first := job.Queue{Name: "q", Service: "svc", MaxAttempts: 3, Stretch: 2, Priority: 1, CapacityUnchecked: true}
	changed := job.Queue{Name: "q", Service: "other", MaxAttempts: 2, Stretch: 3, Priority: 2}
	stays := job.Queue{Name: "stays", Service: "svc", MaxAttempts: 5}
	const moments = 4
	for _, record := range []string{"both", "job", "owner", "damaged"} {
		for takeovers := range 1 << moments {
			for stored := range 1 << moments {
				t.Run(fmt.Sprintf("%s/takeovers %04b/stored %04b", record, takeovers, stored), func(t *testing.T) {
					o := &ownerSequence{t: t, config: &job.Config{Version: 1, Queues: []job.Queue{first, stays}}}
					newest := first
					at := func(moment int) {
						if stored&(1<<moment) != 0 {
							o.store()
							newest = o.core.queues["q"]
						}
						if record == "damaged" {
							o.queues = []byte(`[{"name":`)
						}
						if takeovers&(1<<moment) != 0 {
							o.takeOver()
						}
					}
					o.takeOver()
					o.store()
					o.spec = simpleJob(1, 1, 1)
					if record != "owner" {
						o.spec.AcceptedQueue = o.config.QueueRecord("q")
					}
					o.core.AddJob(o.spec, nil, false, o.now)
					if o.core.HasUnsentStarts() {
						t.Fatal("starts wait for the store")
					}
					if record == "job" {
						o.queues = nil
					}
					at(0)
					o.configure(2, changed, stays)
					at(1)
					o.configure(3, stays)
					at(2)
					if service := o.round(EndDone); service == "" {
						t.Fatalf("the first step was not started: %+v", o.core.Explain(o.spec.ID, o.now))
					}
					at(3)
					want := o.core.settingsOf(o.spec)
					if lost := takeovers != 0 && (record == "job" || record == "damaged" || newest.Service != changed.Service); !lost && !want.SameSettings(&changed) {
						t.Errorf("settings %+v, want those of version 2", want)
					}
					for attempt := range want.MaxAttempts {
						if state := o.core.jobs[o.spec.ID].progress.State; state.Final() {
							t.Fatalf("%s after %d attempts of %d", state, attempt, want.MaxAttempts)
						}
						if service := o.round(EndFailed); service != want.Service {
							t.Fatalf("attempt %d of the second step at a worker of %q, want %q", attempt+1, service, want.Service)
						}
					}
					if state := o.core.jobs[o.spec.ID].progress.State; state != job.Failed {
						t.Errorf("%s after %d failed attempts", state, want.MaxAttempts)
					}
				})
			}
		}
	}
}

// TestQueueRecordsFollowChanges guards against writes at configurations that change no queue,
// against records of queues without jobs that accumulate, and against an owner that decides by
// an older configuration than the previous owner.
func TestQueueRecordsFollowChanges(t *testing.T) {
	queue := func(name string, priority int) job.Queue {
		return job.Queue{Name: name, Service: "svc", Priority: priority, MaxAttempts: 1, Advice: &job.AdviceTerms{Decision: time.Second}}
	}
	o := &ownerSequence{t: t, config: &job.Config{Version: 1, Queues: []job.Queue{queue("q", 1)}}}
	o.takeOver()
	o.store()
	before := string(o.queues)
	o.configure(2, queue("q", 1))
	if value, err := o.core.QueueRecords(); value != nil || err != nil {
		t.Errorf("a configuration without a change is to be stored: %s, %v", value, err)
	}
	for version := int64(3); version < 50; version++ {
		o.configure(version, queue("q", 1), queue(fmt.Sprint("q", version), 1))
	}
	o.configure(50, queue("q", 1))
	o.store()
	if string(o.queues) != before || len(o.core.queues) != 1 {
		t.Errorf("the record has grown from %s to %s", before, o.queues)
	}
	o.configure(51, queue("q", 7))
	o.store()
	o.config = &job.Config{Version: 50, Queues: []job.Queue{queue("q", 1)}}
	o.takeOver()
	if got := o.core.queues["q"].Priority; got != 7 {
		t.Errorf("priority %d by an older configuration than the previous owner had", got)
	}
}

// TestOlderConfigurationKeepsUncheckedCapacity guards against an owner with an older configuration
// than the previous one that relies on a check which the workers no longer make.
func TestOlderConfigurationKeepsUncheckedCapacity(t *testing.T) {
	config := func(version int64, unchecked bool) *job.Config {
		return &job.Config{Version: version, Queues: []job.Queue{{Name: "q", Service: "svc", CapacityUnchecked: unchecked}}, Services: []job.Service{{Name: "svc", CapacityUnchecked: unchecked}}}
	}
	o := &ownerSequence{t: t, config: config(7, true)}
	o.takeOver()
	o.store()
	o.config = config(5, false)
	o.takeOver()
	if !o.core.unguarded["svc"] {
		t.Error("the owner relies on a check that version 7 has removed")
	}
	o.core.SetConfig(config(8, false))
	if o.core.unguarded["svc"] {
		t.Error("version 8 does not apply")
	}
}

// TestCapacityCheckFollowsTheService guards against starts beyond the capacity of workers that
// stop to check it, when only a removed queue uses their service.
func TestCapacityCheckFollowsTheService(t *testing.T) {
	o := &ownerSequence{t: t, config: &job.Config{Version: 1, Queues: []job.Queue{{Name: "q", Service: "svc"}}}}
	o.takeOver()
	o.spec = simpleJob(1, 1)
	o.core.AddJob(o.spec, nil, false, o.now)
	for _, version := range []int64{2, 4} {
		unchecked := version == 4
		o.config = &job.Config{Version: version, Services: []job.Service{{Name: "svc", CapacityUnchecked: unchecked}}}
		o.core.SetConfig(o.config)
		o.store()
		for _, when := range []string{"same owner", "next owner"} {
			if o.core.unguarded["svc"] != unchecked {
				t.Errorf("version %d, %s: unchecked %v", version, when, !unchecked)
			}
			o.takeOver()
		}
	}
}
