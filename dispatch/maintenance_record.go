package dispatch

import (
	"encoding/json"
	"maps"
	"slices"
)

// waveRecord is the stored part of a wave, by VM.
type waveRecord struct {
	SeenMS    int64               `json:"seen_ms"`
	VMs       map[string]vmRecord `json:"vms,omitempty"`
	Succeeded bool                `json:"succeeded,omitempty"`
}

// vmRecord is the stored state of a VM's maintenance.
type vmRecord struct {
	// Incarnation and Born identify the incarnation of the worker that the maintenance ends.
	Incarnation string `json:"life"`
	Born        int64  `json:"born,omitempty"`
	Started     bool   `json:"begun,omitempty"`
	NotWanted   bool   `json:"void,omitempty"`
}

// WaveRecord is a wave's state as it is to be written to the store.
type WaveRecord struct {
	Number    int64
	Value     []byte
	Succeeded bool
	version   uint64
}

// DirtyWave returns the state of a wave that the store lacks, nil if there is none.
func (c *Core) DirtyWave() (*WaveRecord, error) {
	for _, number := range slices.Sorted(maps.Keys(c.waves)) {
		s := c.waves[number]
		if s.persisted == s.version {
			continue
		}
		value, err := json.Marshal(s.record())
		return &WaveRecord{number, value, s.succeeded, s.version}, err
	}
	return nil, nil
}

func (s *waveState) record() waveRecord {
	r := waveRecord{SeenMS: s.seenMS, VMs: map[string]vmRecord{}, Succeeded: s.succeeded}
	for _, u := range s.vms {
		if u.intended || u.notWanted {
			name, born := u.incarnation.split()
			r.VMs[u.vm] = vmRecord{name, born, u.started, u.notWanted}
		}
	}
	return r
}

// WavePersisted records that the store holds the record.
func (c *Core) WavePersisted(r *WaveRecord) {
	if s := c.waves[r.Number]; s != nil {
		s.persisted = max(s.persisted, r.version)
	}
}
