package node

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"

	"leverstile.dev/dispatch"
	"leverstile.dev/kv"
)

// sealsRecord is the value of sealsKey. Each owner writes it as it takes over, so that a term of an
// earlier version, which ignores the seals of its predecessors, is noticed.
type sealsRecord struct {
	// Next is the term of the next owner.
	Next uint64 `json:"next"`
	// From is the first term of the unbroken sequence of owners that keep to seals, up to the
	// one that wrote the record.
	From uint64 `json:"from"`
}

// next returns the record of the owner of a term.
func (r sealsRecord) next(term uint64) sealsRecord {
	from := term
	if r.Next == term {
		from = r.From
	}
	return sealsRecord{Next: term + dispatch.TokensPerTerm, From: from}
}

// decodeSeals decodes the value of sealsKey.
func decodeSeals(value []byte) (sealsRecord, error) {
	var r sealsRecord
	err := json.Unmarshal(value, &r)
	return r, errors.Annotate(err, sealsKey)
}

// readSeals reads the record of the previous owner. Without one that can be read, the seals of
// earlier owners don't count.
func (e *election) readSeals(ctx context.Context) (sealsRecord, error) {
	p, err := e.node.store.Get(ctx, sealsKey)
	if err != nil || p == nil {
		return sealsRecord{}, errors.Trace(err)
	}
	r, err := decodeSeals(p.Value)
	if err != nil {
		e.node.logUnreadable("seals_unreadable", p.Key, p.ModRevision, err)
		return sealsRecord{}, nil
	}
	return r, nil
}

// recoverSeals passes the stored elapsed time to the core.
func (o *owner) recoverSeals(core *dispatch.Core, own []kv.Pair, now dispatch.Instant) {
	var elapsed kv.Pair
	for _, p := range own {
		if p.Key == elapsedKey {
			elapsed = p
		}
	}
	if err := core.RecoverSeals(elapsed.Value, o.own.sealsFrom, now); err != nil {
		o.node.logUnreadable("elapsed_unreadable", elapsed.Key, elapsed.ModRevision, err)
	}
}
