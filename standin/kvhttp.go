package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"leverstile.dev/kv"
)

// gRPC status numbers used by the gateway's errors.
const (
	statusNotFound    = 5
	statusOutOfRange  = 11
	statusUnavailable = 14
)

// KVHandler serves a KVStore as the etcd v3 JSON gateway.
func KVHandler(s *KVStore) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+kv.PathRange, s.serveRange)
	mux.HandleFunc("POST "+kv.PathTxn, s.serveTxn)
	mux.HandleFunc("POST "+kv.PathGrant, s.serveGrant)
	mux.HandleFunc("POST "+kv.PathKeepAlive, s.serveKeepAlive)
	mux.HandleFunc("POST "+kv.PathRevoke, s.serveRevoke)
	mux.HandleFunc("POST "+kv.PathWatch, s.serveWatch)
	return mux
}

func readJSON(w http.ResponseWriter, r *http.Request, in any) bool {
	if err := json.NewDecoder(r.Body).Decode(in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, out any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

func writeKVError(w http.ResponseWriter, err error) {
	body := kv.WireError{Error: err.Error(), Code: statusUnavailable}
	status := http.StatusServiceUnavailable
	if errors.Is(err, kv.ErrLeaseNotFound) {
		body.Code, status = statusNotFound, http.StatusNotFound
	}
	if errors.Is(err, kv.ErrCompacted) {
		body.Code, status = statusOutOfRange, http.StatusBadRequest
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func wirePairs(in []kv.Pair) []kv.WirePair {
	var out []kv.WirePair
	for _, p := range in {
		out = append(out, wirePair(p))
	}
	return out
}

func wirePair(p kv.Pair) kv.WirePair {
	return kv.WirePair{
		Key: []byte(p.Key), Value: p.Value, Lease: kv.Int64(p.Lease),
		CreateRevision: kv.Int64(p.CreateRevision), ModRevision: kv.Int64(p.ModRevision),
	}
}

func (s *KVStore) serveRange(w http.ResponseWriter, r *http.Request) {
	var in kv.WireRange
	if !readJSON(w, r, &in) {
		return
	}
	pairs, rev, err := s.Range(r.Context(), string(in.Key))
	if err != nil {
		writeKVError(w, err)
		return
	}
	writeJSON(w, kv.WireRangeResponse{Header: kv.WireHeader{Revision: kv.Int64(rev)}, Pairs: wirePairs(pairs)})
}

func (s *KVStore) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in kv.WireTxn
	if !readJSON(w, r, &in) {
		return
	}
	txn := kv.Txn{Then: decodeOps(in.Success), Else: decodeOps(in.Failure)}
	for _, c := range in.Compare {
		cmp := kv.Compare{Key: string(c.Key), Missing: c.Target == kv.TargetCreate}
		if c.ModRevision != nil {
			cmp.ModRevision = int64(*c.ModRevision)
		}
		txn.If = append(txn.If, cmp)
	}
	res, err := s.Do(r.Context(), txn)
	if err != nil {
		writeKVError(w, err)
		return
	}
	writeJSON(w, encodeResult(txn, res))
}

func encodeResult(txn kv.Txn, res kv.TxnResult) kv.WireTxnResponse {
	out := kv.WireTxnResponse{Succeeded: res.Succeeded, Header: kv.WireHeader{Revision: kv.Int64(res.Revision)}}
	ops, reads := txn.Then, 0
	if !res.Succeeded {
		ops = txn.Else
	}
	for _, op := range ops {
		var wr kv.WireOpResponse
		if op.Kind == kv.OpGet {
			wr.Range = &kv.WireRangeResponse{Pairs: wirePairs(res.Reads[reads])}
			reads++
		}
		out.Responses = append(out.Responses, wr)
	}
	return out
}

func decodeOps(in []kv.WireOp) []kv.Op {
	var out []kv.Op
	for _, op := range in {
		switch {
		case op.Put != nil:
			out = append(out, kv.Put(string(op.Put.Key), op.Put.Value, int64(op.Put.Lease)))
		case op.Delete != nil:
			out = append(out, kv.Op{Kind: kv.OpDelete, Key: string(op.Delete.Key), Prefix: len(op.Delete.RangeEnd) > 0})
		case op.Range != nil:
			out = append(out, kv.Op{Kind: kv.OpGet, Key: string(op.Range.Key), Prefix: len(op.Range.RangeEnd) > 0})
		}
	}
	return out
}

func (s *KVStore) serveGrant(w http.ResponseWriter, r *http.Request) {
	var in kv.WireLease
	if !readJSON(w, r, &in) {
		return
	}
	id, err := s.Grant(r.Context(), time.Duration(in.TTL)*time.Second)
	if err != nil {
		writeKVError(w, err)
		return
	}
	writeJSON(w, kv.WireLease{ID: kv.Int64(id), TTL: in.TTL})
}

func (s *KVStore) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	var in kv.WireLease
	if !readJSON(w, r, &in) {
		return
	}
	err := s.KeepAlive(r.Context(), int64(in.ID))
	if err != nil && !errors.Is(err, kv.ErrLeaseNotFound) {
		writeKVError(w, err)
		return
	}
	// The gateway answers a keep-alive of an unknown lease with a TTL of zero.
	out := kv.WireKeepAlive{Result: kv.WireLease{ID: in.ID}}
	if err == nil {
		out.Result.TTL = 1
	}
	writeJSON(w, out)
}

func (s *KVStore) serveRevoke(w http.ResponseWriter, r *http.Request) {
	var in kv.WireLease
	if !readJSON(w, r, &in) {
		return
	}
	if err := s.Revoke(r.Context(), int64(in.ID)); err != nil {
		writeKVError(w, err)
		return
	}
	writeJSON(w, struct{}{})
}

func (s *KVStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	var in kv.WireWatch
	if !readJSON(w, r, &in) {
		return
	}
	flusher, ok := w.(http.Flusher)
	if !ok {
		http.Error(w, "streaming unsupported", http.StatusInternalServerError)
		return
	}
	var created kv.WireWatchResponse
	created.Result.Created = true
	writeJSON(w, created)
	flusher.Flush()
	err := s.Watch(r.Context(), string(in.Create.Key), int64(in.Create.StartRevision)-1, func(rev int64, evs []kv.Event) {
		writeJSON(w, watchMessage(rev, evs))
		flusher.Flush()
	})
	if errors.Is(err, kv.ErrCompacted) {
		var msg kv.WireWatchResponse
		msg.Result.Canceled = true
		msg.Result.CompactRevision = 1
		writeJSON(w, msg)
	}
}

func watchMessage(rev int64, evs []kv.Event) kv.WireWatchResponse {
	var msg kv.WireWatchResponse
	msg.Result.Header.Revision = kv.Int64(rev)
	for _, e := range evs {
		we := kv.WireEvent{Pair: wirePair(e.Pair)}
		if e.Deleted {
			we.Type = kv.EventDelete
		}
		msg.Result.Events = append(msg.Result.Events, we)
	}
	return msg
}
