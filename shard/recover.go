package shard

import (
	"fmt"
	"strings"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	journalv1 "leverstile.dev/api/gen/leverstile/journal/v1"
	"leverstile.dev/kv"
)

// beginLoading enters the loading phase for the term just acquired.
func (c *Core) beginLoading(term *kv.Pair) {
	c.phase = Loading
	c.term = decodeTerm(term).GetTerm()
	c.termRevision = term.ModRevision
	c.machine.Reset()
}

// loadState rebuilds the machine from the shard's keys: snapshot, then journal.
func (c *Core) loadState(pairs []kv.Pair) error {
	byKey := make(map[string]kv.Pair, len(pairs))
	for _, p := range pairs {
		byKey[p.Key] = p
	}
	if byKey[c.termKey()].ModRevision != c.termRevision {
		c.loseOwnership()
		return nil
	}
	c.machine.Reset()
	err := c.restore(byKey)
	if err == nil {
		err = c.replay(pairs)
	}
	if err != nil {
		c.loseOwnership()
		return errors.Annotatef(err, "shard %s", c.params.Name)
	}
	c.phase = Owning
	c.queue, c.chunk, c.snapshot = nil, nil, nil
	c.proposed, c.committed = 0, 0
	return nil
}

func (c *Core) restore(byKey map[string]kv.Pair) error {
	head := &journalv1.SnapshotHead{}
	c.generation, c.headRevision = 0, 0
	if p, ok := byKey[c.headKey()]; ok {
		if err := proto.Unmarshal(p.Value, head); err != nil {
			return errors.Annotate(err, p.Key)
		}
		c.generation, c.headRevision = head.GetGeneration(), p.ModRevision
	}
	for i := range head.GetParts() {
		key := fmt.Sprintf("%s%08x", c.snapshotPrefix(c.generation), i)
		p, ok := byKey[key]
		if !ok {
			return errors.NotFoundf("snapshot part %s", key)
		}
		if err := c.machine.Restore(p.Value); err != nil {
			return errors.Annotate(err, key)
		}
	}
	return nil
}

func (c *Core) replay(pairs []kv.Pair) error {
	c.seq, c.journalBytes = 0, 0
	prefix := c.logPrefix(c.generation)
	for _, p := range pairs {
		if !strings.HasPrefix(p.Key, prefix) {
			continue
		}
		if p.Key != c.logKey() {
			return errors.NotFoundf("journal value %s", c.logKey())
		}
		if err := c.replayChunk(p.Value); err != nil {
			return errors.Annotate(err, p.Key)
		}
		c.seq++
		c.journalBytes += len(p.Value)
	}
	return nil
}

func (c *Core) replayChunk(value []byte) error {
	msg := &journalv1.Chunk{}
	if err := proto.Unmarshal(value, msg); err != nil {
		return errors.Trace(err)
	}
	for _, rec := range msg.GetRecords() {
		if err := c.machine.Apply(rec); err != nil {
			return err
		}
	}
	return nil
}

func decodeTerm(p *kv.Pair) *journalv1.TermRecord {
	rec := &journalv1.TermRecord{}
	if p != nil {
		// A value that can't be read counts as term 0; owners are still ordered
		// by the comparison of the key's revision.
		_ = proto.Unmarshal(p.Value, rec)
	}
	return rec
}
