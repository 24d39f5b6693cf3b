package measure

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/juju/errors"

	"leverstile.dev/claim"
	"leverstile.dev/router"
	"leverstile.dev/shard"
	"leverstile.dev/standin"
)

// routers measures the choice of an endpoint and the state by endpoint.
func routers(r *Report) error {
	for _, n := range []int{65, 250, 1000} {
		before := heap()
		t := router.New(router.Params{Slots: 8, Place: "p0", Queue: 512, Attempts: 3, RetryRatio: 0.1}, 1)
		list := make([]router.Endpoint, 0, n)
		for i := range n {
			list = append(list, router.Endpoint{ID: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), VM: fmt.Sprint("vm-", i), Place: fmt.Sprint("p", i%3)})
		}
		t.SetEndpoints(0, list)
		r.add("router: heap by endpoint", "B", n, (heap()-before)/float64(n))
		const requests = 20_000
		id := uint64(0)
		r.add("router: processor time by request, in and out, half of the slots in use", "ns", n, repeat(runs, func() float64 {
			began := cpuTime()
			for range requests {
				id++
				t.Arrive(time.Duration(id), router.Request{ID: id, Group: "g", Deadline: time.Hour})
				if id > uint64(4*n) {
					t.Finish(time.Duration(id), id-uint64(4*n), router.Outcome{Latency: time.Millisecond})
				}
			}
			return float64((cpuTime() - began).Nanoseconds()) / requests
		})...)
		runtime.KeepAlive(t)
	}
	return nil
}

// claims measures a claim shard.
func claims(r *Report) error {
	const n = 20_000
	now := time.Hour
	base := time.Unix(0, 0)
	store := standin.NewKVStore(func() time.Time { return base.Add(now) })
	sp := shard.Params{
		Name: "claim-0", Self: "entry", CommitEvery: shard.DefaultCommitEvery, RetryEvery: shard.DefaultRetryEvery,
		MaxValueBytes: shard.DefaultMaxValueBytes, SnapshotBytes: 1 << 30,
	}
	before := heap()
	o := claim.NewOwner(claim.DefaultParams("claim-0", "entry", 24*time.Hour), sp)
	o.Core().SetWanted(true)
	id, err := store.Grant(context.Background(), time.Hour)
	if err != nil {
		return errors.Trace(err)
	}
	o.Core().SetLease(id, now+time.Hour)
	round := func() {
		now += 10 * time.Millisecond
		o.Tick(now, base.Add(now))
		ops, _, _ := o.Take()
		for _, op := range ops {
			a := shard.Answer{ID: op.ID}
			if op.Txn != nil {
				a.Txn, a.Err = store.Do(context.Background(), *op.Txn)
			} else {
				a.Pairs, _, a.Err = store.Range(context.Background(), op.Prefix)
			}
			o.StoreAnswer(now, base.Add(now), a)
		}
	}
	for range 50 {
		round()
	}
	calls := store.Calls()
	began := cpuTime()
	for i := range n {
		o.Claim(now, base.Add(now), uint64(i+1), claim.Request{
			Key: fmt.Sprintf("vendline\x00sale-%08d", i), Holder: "entry", RequestID: fmt.Sprintf("request-%020d", i), Timeout: time.Second,
		})
		if i%100 == 0 {
			round()
		}
	}
	for range 50 {
		round()
	}
	used := float64((cpuTime() - began).Microseconds()) / n
	r.add("claims: processor time by claim", "us", n, used)
	r.add("claims: journal by claim", "B", n, float64(store.Calls().Bytes-calls.Bytes)/n)
	r.add("claims: heap by claim, the store's copy included", "B", n, (heap()-before)/n)
	r.add("claims: claims by store write at 10,000 claims a second", "claims", n, n/float64(store.Calls().Writes()-calls.Writes()))
	runtime.KeepAlive(o)
	return nil
}
