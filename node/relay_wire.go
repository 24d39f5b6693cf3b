package node

import (
	"time"

	"github.com/juju/errors"

	jobsv1 "leverstile.dev/api/gen/leverstile/jobs/v1"
	"leverstile.dev/dispatch"
	"leverstile.dev/job"
)

// holdToWire returns a poll as it is relayed.
func holdToWire(id uint64, h dispatch.HoldOrder) *jobsv1.RelayCall {
	return &jobsv1.RelayCall{
		Id: id, Kind: jobsv1.RelayCallKind_RELAY_CALL_KIND_HOLD, Worker: string(h.Worker), Address: h.Address,
		Term: h.Term, DeadlineMs: h.DeadlineMS, Seen: h.Seen, WaitMs: h.Wait.Milliseconds(),
	}
}

func holdFromWire(c *jobsv1.RelayCall) dispatch.HoldOrder {
	return dispatch.HoldOrder{
		Worker: dispatch.WorkerID(c.GetWorker()), Address: c.GetAddress(), Term: c.GetTerm(),
		DeadlineMS: c.GetDeadlineMs(), Seen: c.GetSeen(), Wait: time.Duration(c.GetWaitMs()) * time.Millisecond,
	}
}

var orderKinds = map[dispatch.OrderKind]jobsv1.RelayCallKind{
	dispatch.OrderStart: jobsv1.RelayCallKind_RELAY_CALL_KIND_START,
	dispatch.OrderStop:  jobsv1.RelayCallKind_RELAY_CALL_KIND_STOP,
	dispatch.OrderPace:  jobsv1.RelayCallKind_RELAY_CALL_KIND_PACE,
}

// orderToWire returns an order as it is relayed, without the payload.
func orderToWire(id uint64, o dispatch.Order) *jobsv1.RelayCall {
	return &jobsv1.RelayCall{
		Id: id, Kind: orderKinds[o.Kind], Worker: string(o.Worker), Address: o.Address, Term: o.Term,
		DeadlineMs: o.DeadlineMS, Task: o.Task.String(), Run: o.Run, Checkpoint: o.Checkpoint, Ticket: o.Ticket,
		Percent: uint32(max(o.Percent, 0)),
	}
}

func orderFromWire(c *jobsv1.RelayCall) (dispatch.Order, error) {
	task, err := job.ParseTaskID(c.GetTask())
	if err != nil {
		return dispatch.Order{}, err
	}
	o := dispatch.Order{
		Worker: dispatch.WorkerID(c.GetWorker()), Address: c.GetAddress(), Term: c.GetTerm(), Task: task, Run: c.GetRun(),
		DeadlineMS: c.GetDeadlineMs(), Checkpoint: c.GetCheckpoint(), Ticket: c.GetTicket(), Percent: int(c.GetPercent()),
	}
	for own, wire := range orderKinds {
		if wire == c.GetKind() {
			o.Kind = own
			return o, nil
		}
	}
	return o, errors.Errorf("order of kind %v", c.GetKind())
}

// rowKey names a running row of a worker.
type rowKey struct {
	task job.TaskID
	run  uint64
}

// listEncoder turns a worker's lists into their form on a stream. A row costs 4
// bytes there instead of 60 once it was named.
type listEncoder struct {
	next  uint32
	rows  map[rowKey]uint32
	saved map[uint32]string // checkpoints that were sent
}

func newListEncoder() *listEncoder {
	return &listEncoder{rows: map[rowKey]uint32{}, saved: map[uint32]string{}}
}

func (e *listEncoder) encode(reply *dispatch.HoldReply) *jobsv1.RelayLists {
	lists := &jobsv1.RelayLists{}
	rows := make(map[rowKey]uint32, len(reply.Running))
	saved := make(map[uint32]string, len(reply.Running))
	for i := range reply.Running {
		r := &reply.Running[i]
		key := rowKey{r.Task, r.Run}
		handle, known := e.rows[key]
		if !known {
			e.next++
			handle = e.next
			lists.Named = append(lists.Named, &jobsv1.RelayRow{Handle: handle, Task: r.Task.String(), Run: r.Run})
		}
		rows[key] = handle
		lists.Handles = append(lists.Handles, handle)
		lists.Percents = append(lists.Percents, uint32(max(r.Percent, 0)))
		lists.Readings = append(lists.Readings, readingToWire(r))
		if r.Checkpoint != e.saved[handle] {
			lists.Checkpoints = append(lists.Checkpoints, &jobsv1.RelayCheckpoint{Place: uint32(i), Checkpoint: r.Checkpoint})
		}
		saved[handle] = r.Checkpoint
	}
	e.rows, e.saved = rows, saved // both sides forget what is no longer listed
	for i := range reply.Ended {
		x := &reply.Ended[i]
		lists.Ended = append(lists.Ended, &jobsv1.RelayEnd{
			Number: x.Number, Task: x.Task.String(), Run: x.Run, Kind: string(x.Kind), Checkpoint: x.Checkpoint,
		})
	}
	return lists
}

func readingToWire(r *dispatch.RunningTask) uint64 {
	if !r.HasReading {
		return 0
	}
	return uint64(max(r.Reading, 0)) + 1
}

// listDecoder is the other side of a listEncoder. Both see the same lists in the
// same order, or the stream has ended.
type listDecoder struct {
	rows map[uint32]decodedRow
}

type decodedRow struct {
	key        rowKey
	checkpoint string
}

// errRow marks lists that name a row that the stream has not told of.
const errRow = errors.ConstError("lists do not follow from those before")

func (d *listDecoder) decode(clock int64, lists *jobsv1.RelayLists) (dispatch.HoldReply, error) {
	reply := dispatch.HoldReply{ClockMS: clock}
	for _, n := range lists.GetNamed() {
		task, err := job.ParseTaskID(n.GetTask())
		if err != nil {
			return reply, err
		}
		if d.rows == nil {
			d.rows = map[uint32]decodedRow{}
		}
		d.rows[n.GetHandle()] = decodedRow{key: rowKey{task, n.GetRun()}}
	}
	handles := lists.GetHandles()
	if len(lists.GetPercents()) != len(handles) || len(lists.GetReadings()) != len(handles) {
		return reply, errRow
	}
	for _, c := range lists.GetCheckpoints() {
		if int(c.GetPlace()) >= len(handles) {
			return reply, errRow
		}
		row, known := d.rows[handles[c.GetPlace()]]
		if !known {
			return reply, errRow
		}
		row.checkpoint = c.GetCheckpoint()
		d.rows[handles[c.GetPlace()]] = row
	}
	rows := make(map[uint32]decodedRow, len(handles))
	for i, handle := range handles {
		row, known := d.rows[handle]
		if !known {
			return reply, errRow
		}
		rows[handle] = row
		r := dispatch.RunningTask{Task: row.key.task, Run: row.key.run, Checkpoint: row.checkpoint, Percent: int(lists.GetPercents()[i])}
		if reading := lists.GetReadings()[i]; reading > 0 {
			r.Reading, r.HasReading = int64(reading-1), true
		}
		reply.Running = append(reply.Running, r)
	}
	d.rows = rows
	for _, x := range lists.GetEnded() {
		task, err := job.ParseTaskID(x.GetTask())
		if err != nil {
			return reply, err
		}
		reply.Ended = append(reply.Ended, dispatch.EndedTask{
			Number: x.GetNumber(), Task: task, Run: x.GetRun(), Kind: dispatch.EndKind(x.GetKind()), Checkpoint: x.GetCheckpoint(),
		})
	}
	return reply, nil
}
