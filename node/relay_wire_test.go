package node

import (
	"flag"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	jobsv1 "leverstile.dev/api/gen/leverstile/jobs/v1"
	"leverstile.dev/dispatch"
	"leverstile.dev/job"
)

// Fixed seeds, so that each run gives the same verdict; -rapid.seed sets others.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// overWire marshals and unmarshals a message.
func overWire[M proto.Message](t *rapid.T, m, into M) M {
	data, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	if err := proto.Unmarshal(data, into); err != nil {
		t.Fatal(err)
	}
	return into
}

// TestListsSurviveTheStream: whatever a worker lists, poll by poll, the owner
// reads the same.
func TestListsSurviveTheStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, d := newListEncoder(), &listDecoder{}
		for range rapid.IntRange(1, 8).Draw(t, "polls") {
			want := dispatch.HoldReply{ClockMS: rapid.Int64Range(0, 1<<40).Draw(t, "clock")}
			seen := map[rowKey]bool{}
			for range rapid.IntRange(0, 6).Draw(t, "rows") {
				key := rowKey{job.TaskID{Job: "00000000000000aa", Index: rapid.IntRange(0, 5).Draw(t, "task")}, rapid.Uint64Range(1, 1<<52).Draw(t, "run")}
				if seen[key] {
					continue
				}
				seen[key] = true
				r := dispatch.RunningTask{Task: key.task, Run: key.run, Percent: rapid.IntRange(0, 100).Draw(t, "percent"),
					Checkpoint: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "checkpoint")}
				if r.HasReading = rapid.Bool().Draw(t, "has"); r.HasReading {
					r.Reading = rapid.Int64Range(0, 1<<40).Draw(t, "reading")
				}
				want.Running = append(want.Running, r)
			}
			if rapid.Bool().Draw(t, "ended") {
				want.Ended = []dispatch.EndedTask{{Number: 7, Task: job.TaskID{Job: "00000000000000aa"}, Run: 9, Kind: dispatch.EndDone, Checkpoint: "c"}}
			}
			got, err := d.decode(want.ClockMS, overWire(t, e.encode(&want), &jobsv1.RelayLists{}))
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Fatal(diff)
			}
		}
	})
}

// TestListsOfAnotherStreamAreRefused: a decoder that did not see what was named
// must not guess.
func TestListsOfAnotherStreamAreRefused(t *testing.T) {
	e := newListEncoder()
	reply := dispatch.HoldReply{Running: []dispatch.RunningTask{{Task: job.TaskID{Job: "00000000000000aa"}, Run: 1}}}
	e.encode(&reply)
	if _, err := (&listDecoder{}).decode(1, e.encode(&reply)); err == nil {
		t.Error("rows that were never named are taken")
	}
}

// FuzzListDecoder: no message makes the owner panic.
func FuzzListDecoder(f *testing.F) {
	e := newListEncoder()
	for _, percent := range []int{1, 2} {
		data, err := proto.Marshal(e.encode(&dispatch.HoldReply{Running: []dispatch.RunningTask{{Task: job.TaskID{Job: "00000000000000aa"}, Run: 1, Percent: percent, Checkpoint: "x"}}}))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, data)
	}
	f.Fuzz(func(_ *testing.T, first, second []byte) {
		d := &listDecoder{}
		for _, data := range [][]byte{first, second} {
			lists := &jobsv1.RelayLists{}
			if proto.Unmarshal(data, lists) == nil {
				_, _ = d.decode(1, lists)
			}
		}
	})
}

func TestCallsSurviveTheStream(t *testing.T) {
	h := dispatch.HoldOrder{Worker: "w", Address: "a", Term: 3, DeadlineMS: 99, Seen: 4, Wait: 450 * time.Millisecond}
	if diff := cmp.Diff(h, holdFromWire(holdToWire(1, h))); diff != "" {
		t.Error(diff)
	}
	for _, kind := range []dispatch.OrderKind{dispatch.OrderStart, dispatch.OrderStop, dispatch.OrderPace} {
		o := dispatch.Order{
			Kind: kind, Worker: "w", Address: "a", Term: 3, Task: job.TaskID{Job: "00000000000000aa", Step: 1, Index: 2}, Run: 5,
			DeadlineMS: 77, Checkpoint: "c", Ticket: "t", Percent: 60,
		}
		got, err := orderFromWire(orderToWire(1, o))
		if diff := cmp.Diff(o, got); diff != "" || err != nil {
			t.Error(diff, err)
		}
	}
	if _, err := orderFromWire(&jobsv1.RelayCall{Task: "nonsense"}); err == nil {
		t.Error("an order without a task is taken")
	}
}
