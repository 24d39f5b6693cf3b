package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"k8s.io/apimachinery/pkg/labels"

	"leverstile.dev/api/result"
	"leverstile.dev/config"
	"leverstile.dev/kv"
	"leverstile.dev/shard"
)

// headKey holds the head of the accepted declarations. The document itself is
// stored in parts below documentPrefix, each under the hash of its content: an
// entry that has the former revision reads only the parts that have changed.
const (
	headKey        = shard.WatchPrefix + "declarations"
	documentPrefix = "/leverstile/declarations/"
	// maxPartBytes bounds a part, so that its base64 stays under the store's 1 MB.
	maxPartBytes = 700_000
	// minPartBytes and partBoundaryMask end parts at lines that depend on the
	// text alone, about every 4 KB, so that a change in one place leaves the
	// other parts as they are (content-defined chunking, Muthitacharoen et al. 2001).
	minPartBytes     = 2048
	partBoundaryMask = 63
)

// head describes the accepted declarations. ID is the hash of the document and
// its revision; Parts are the keys of its parts in order.
type head struct {
	Revision uint64   `json:"revision"`
	ID       string   `json:"id"`
	Parts    []string `json:"parts"`
}

// splitDocument cuts a document into parts.
func splitDocument(doc []byte) [][]byte {
	var parts [][]byte
	from := 0
	for at := 0; at < len(doc); {
		end := bytes.IndexByte(doc[at:], '\n')
		if end < 0 {
			end = len(doc) - at - 1
		}
		line := doc[at : at+end+1]
		at += len(line)
		if size := at - from; size >= minPartBytes && xxhash.Sum64(line)&partBoundaryMask == 0 || size >= maxPartBytes/2 {
			parts = append(parts, doc[from:at])
			from = at
		}
	}
	for ; from < len(doc); from += maxPartBytes {
		parts = append(parts, doc[from:min(from+maxPartBytes, len(doc))])
	}
	return parts
}

func partName(part []byte) string {
	sum := sha256.Sum256(part)
	return hex.EncodeToString(sum[:12])
}

// revision is one accepted set of declarations, ready for use. It is immutable.
type revision struct {
	number   uint64
	document []byte
	decl     *config.Declarations
	binder   *config.Binder
	services map[string]*config.Service
	cells    []cellSelector
}

type cellSelector struct {
	name string
	vms  labels.Selector
}

func newRevision(number uint64, document []byte) (*revision, error) {
	r := &revision{number: number, document: document, decl: &config.Declarations{}, services: map[string]*config.Service{}}
	if err := json.Unmarshal(document, r.decl); err != nil {
		return nil, errors.Annotatef(err, "declarations of revision %d", number)
	}
	var err error
	if r.binder, err = config.NewBinder(r.decl); err != nil {
		return nil, err
	}
	for i := range r.decl.Services {
		s := &r.decl.Services[i]
		r.services[s.Name] = s
	}
	for _, c := range r.decl.Cells {
		sel, err := labels.Parse(c.VMs)
		if err != nil {
			return nil, errors.Annotatef(err, "cell %s", c.Name)
		}
		r.cells = append(r.cells, cellSelector{c.Name, sel})
	}
	return r, nil
}

// declared holds the newest declarations that this entry has, and fetches newer
// ones. Invariant: the number of the active revision never decreases.
type declared struct {
	store      kv.Store
	onActivate func(*revision)
	// fetched counts the bytes of parts read from the store.
	fetched *metrics.Counter

	// activateMu is locked before mu and held while onActivate runs.
	activateMu sync.Mutex
	mu         sync.RWMutex
	current    *revision
	newestHead head // newest head received from the store
	wake       chan struct{}
}

func newDeclared(store kv.Store, set *metrics.Set, onForce func(*revision)) *declared {
	empty, _ := newRevision(0, []byte("{}")) // "{}" always parses
	return &declared{
		store: store, onActivate: onForce, current: empty, wake: make(chan struct{}, 1),
		fetched: set.NewCounter("leverstile_declarations_fetched_bytes_total"),
	}
}

// active returns the revision in force at this entry.
func (d *declared) active() *revision {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.current
}

// activate puts a revision into force if it is newer than the current one.
// Revisions that arrive concurrently are put into force one after the other, so
// that the older one can't be the last to reach the services.
func (d *declared) activate(r *revision) {
	d.activateMu.Lock()
	defer d.activateMu.Unlock()
	d.mu.Lock()
	newer := r.number > d.current.number
	if newer {
		d.current = r
	}
	d.mu.Unlock()
	if newer {
		d.onActivate(r)
	}
}

// recordHead records a head from the store; run fetches its document.
func (d *declared) recordHead(p kv.Pair) {
	var h head
	if json.Unmarshal(p.Value, &h) != nil {
		return
	}
	d.mu.Lock()
	if h.Revision > d.newestHead.Revision {
		d.newestHead = h
	}
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// fetchRetry is the interval of checks for a newer head, and the delay before a
// failed commit is retried.
const fetchRetry = 300 * time.Millisecond

// run fetches the documents of heads that are newer than the revision in force.
func (d *declared) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		case <-time.After(fetchRetry):
		}
		d.mu.RLock()
		h, cur := d.newestHead, d.current.number
		d.mu.RUnlock()
		if h.Revision <= cur {
			continue
		}
		if r, err := d.fetch(ctx, h); err == nil {
			d.activate(r)
		}
	}
}

// fetch reads the parts that the current document doesn't have, in one call.
func (d *declared) fetch(ctx context.Context, h head) (*revision, error) {
	have := map[string][]byte{}
	for _, part := range splitDocument(d.active().document) {
		have[partName(part)] = part
	}
	var missing []string
	var gets []kv.Op
	for _, name := range h.Parts {
		if _, ok := have[name]; !ok {
			missing = append(missing, name)
			gets = append(gets, kv.Get(documentPrefix+name))
		}
	}
	if len(gets) > 0 {
		res, err := d.store.Do(ctx, kv.Txn{Then: gets})
		if err != nil {
			return nil, err
		}
		for i, name := range missing {
			if len(res.Reads[i]) == 0 {
				return nil, errors.NotFoundf("part %s of revision %d", name, h.Revision)
			}
			have[name] = res.Reads[i][0].Value
			d.fetched.Add(len(have[name]))
		}
	}
	var doc []byte
	for _, name := range h.Parts {
		doc = append(doc, have[name]...)
	}
	if documentID(h.Revision, doc) != h.ID {
		return nil, errors.NotValidf("document of revision %d", h.Revision)
	}
	return newRevision(h.Revision, doc)
}

func documentID(rev uint64, doc []byte) string {
	sum := sha256.Sum256(append(fmt.Appendf(nil, "%d\n", rev), doc...))
	return hex.EncodeToString(sum[:16])
}

// accept makes a document the next revision, if base is still the newest. It
// returns the accepted revision, or a result.Error: RevisionConflict, or
// CommitUnknown if the store's answer was lost and the outcome can't be found.
func (d *declared) accept(ctx context.Context, base uint64, doc []byte) (*revision, error) {
	next, err := newRevision(base+1, doc)
	if err != nil {
		return nil, result.New(result.BadDeclarations, "%v", err)
	}
	h := head{Revision: next.number, ID: documentID(next.number, doc)}
	if err := d.writeParts(ctx, &h, doc); err != nil {
		// No head refers to the parts: nothing was accepted.
		return nil, result.New(result.StoreUnavailable, "%v", err).After(time.Second)
	}
	if err := d.commitHead(ctx, base, h); err != nil {
		return nil, err
	}
	d.activate(next)
	return next, nil
}

// writeParts writes the parts that the store doesn't have. A part that exists
// may be deleted right after by the acceptance of another operator's change;
// that change then makes this one's base outdated, so that this one is refused.
func (d *declared) writeParts(ctx context.Context, h *head, doc []byte) error {
	for _, part := range splitDocument(doc) {
		name := partName(part)
		h.Parts = append(h.Parts, name)
		key := documentPrefix + name
		_, err := d.store.Do(ctx, kv.Txn{
			If:   []kv.Compare{{Key: key, Missing: true}},
			Then: []kv.Op{kv.Put(key, part, 0)},
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// staleParts returns the deletions of the parts of cur that h doesn't have.
// Parts of changes that lost a race stay until a later document happens to
// contain them; they are few.
func staleParts(cur, h head) []kv.Op {
	var out []kv.Op
	for _, name := range cur.Parts {
		if !slices.Contains(h.Parts, name) {
			out = append(out, kv.Delete(documentPrefix+name))
		}
	}
	return out
}

// maxCommitAttempts bounds the attempts of a commit, which is repeated if the
// store's answer is lost.
const maxCommitAttempts = 4

func (d *declared) commitHead(ctx context.Context, base uint64, h head) error {
	value, err := json.Marshal(h)
	if err != nil {
		return errors.Trace(err)
	}
	sent := false
	for range maxCommitAttempts {
		var done bool
		done, err = d.tryCommitHead(ctx, base, h, value, &sent)
		if done {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(fetchRetry):
		}
	}
	if !sent {
		return result.New(result.StoreUnavailable, "%v", err).After(time.Second)
	}
	return result.New(result.CommitUnknown, "the store did not confirm: %v", err)
}

// tryCommitHead reads the head and replaces it. If the head already is h, an
// earlier attempt took effect.
func (d *declared) tryCommitHead(ctx context.Context, base uint64, h head, value []byte, sent *bool) (bool, error) {
	res, err := d.store.Do(ctx, kv.Txn{Then: []kv.Op{kv.Get(headKey)}})
	if err != nil {
		return false, err
	}
	var cur head
	cond := kv.Compare{Key: headKey, Missing: true}
	then := []kv.Op{kv.Put(headKey, value, 0)}
	if len(res.Reads[0]) > 0 {
		p := res.Reads[0][0]
		if err := json.Unmarshal(p.Value, &cur); err != nil {
			return true, errors.Annotate(err, headKey)
		}
		cond = kv.Compare{Key: headKey, ModRevision: p.ModRevision}
		d.recordHead(p)
	}
	if cur.ID == h.ID {
		return true, nil
	}
	if cur.Revision != base {
		return true, d.conflictError(cur.Revision, base, h, *sent)
	}
	then = append(then, staleParts(cur, h)...)
	*sent = true
	got, err := d.store.Do(ctx, kv.Txn{If: []kv.Compare{cond}, Then: then})
	if err != nil {
		return false, err
	}
	return got.Succeeded, nil
}

// conflictError reports a lost race. If an earlier attempt of this change may
// have been accepted and replaced since, the outcome is unknown.
func (d *declared) conflictError(current, base uint64, h head, sent bool) error {
	if sent && current > h.Revision {
		return result.New(result.CommitUnknown, "revision %d may have been accepted; revision %d is in force now", h.Revision, current)
	}
	return result.New(result.RevisionConflict, "revision %d is in force, the change is based on %d", current, base)
}
