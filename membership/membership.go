// Package membership determines which entries may own shards and which of them
// is preferred for each shard. It does no I/O; package entry supplies it with the
// store's watch events and the reports of peers.
package membership

import (
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Entry is an entry process.
type Entry struct {
	ID       string `json:"id"`
	Address  string `json:"address"` // at which peers call it
	Place    string `json:"place"`
	Draining bool   `json:"draining,omitempty"`
}

// weight is the rendezvous weight of an entry for a shard (Thaler and
// Ravishankar 1998): each shard prefers the entry with the highest weight, so
// that the end of an entry moves only the shards that it owned.
func weight(shard, entry string) uint64 {
	return xxhash.Sum64String(shard + "\x00" + entry)
}

// Assign gives each shard a preferred owner among the entries that aren't
// draining, or among all if all are. No entry gets more than the average number
// of shards, rounded up; further shards go to their next preference. The result
// depends only on the arguments, so that entries with the same view agree.
// Disagreement is harmless: the store decides ownership.
func Assign(shards []string, entries []Entry) map[string]string {
	live := candidates(entries)
	out := make(map[string]string, len(shards))
	if len(live) == 0 {
		return out
	}
	sorted := append([]string(nil), shards...)
	sort.Strings(sorted)
	limit := (len(sorted) + len(live) - 1) / len(live)
	load := map[string]int{}
	for _, s := range sorted {
		for _, e := range Rank(s, live) {
			if load[e] < limit {
				load[e]++
				out[s] = e
				break
			}
		}
	}
	return out
}

func candidates(entries []Entry) []Entry {
	var live []Entry
	for _, e := range entries {
		if !e.Draining {
			live = append(live, e)
		}
	}
	if len(live) == 0 {
		return entries
	}
	return live
}

// Rank returns the ids of entries in a shard's order of preference. Entries
// whose place the name of a cell's shard begins with, after "cell-", come first,
// because the shard's workers are there.
func Rank(shard string, entries []Entry) []string {
	type ranked struct {
		id   string
		near bool
		w    uint64
	}
	all := make([]ranked, 0, len(entries))
	for _, e := range entries {
		all = append(all, ranked{e.ID, near(shard, e.Place), weight(shard, e.ID)})
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].near != all[j].near {
			return all[i].near
		}
		if all[i].w != all[j].w {
			return all[i].w > all[j].w
		}
		return all[i].id < all[j].id
	})
	ids := make([]string, 0, len(all))
	for _, r := range all {
		ids = append(ids, r.id)
	}
	return ids
}

func near(shard, place string) bool {
	return place != "" && strings.HasPrefix(shard, "cell-"+place)
}

// HomeCell returns the cell that keeps a task, chosen by the task's id among the
// cells in which it may run. Each entry computes the same cell, so that a repeated
// submission through any entry reaches the same task.
func HomeCell(task string, cells []string) string {
	best, bestWeight := "", uint64(0)
	for _, c := range cells {
		if w := weight(task, c); best == "" || w > bestWeight || w == bestWeight && c < best {
			best, bestWeight = c, w
		}
	}
	return best
}

// ClaimShard returns the number, below n, of the claim shard of a key.
func ClaimShard(service, key string, n int) int {
	return int(xxhash.Sum64String(service+"\x00"+key) % uint64(n))
}

// Calls reports whether entry a calls b, and not b a, to exchange their views.
// Each entry calls about half of the others.
func Calls(a, b string) bool {
	x, y := weight(a, b), weight(b, a)
	if x == y {
		return a < b
	}
	return x > y
}
