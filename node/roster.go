package node

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"leverstile.dev/dispatch"
	"leverstile.dev/kv"
)

// maxRosterParts bounds the numbers of parts that are read, so that other keys are ignored.
const maxRosterParts = 10_000

func rosterPartKey(number int) string { return fmt.Sprintf("%s%05d", rosterPrefix, number) }

// readRoster passes the roster of the previous owner, its list of the workers that may have
// orders, to the core, and reports whether the store records that it is in parts. If a part
// can't be read, any worker may have orders.
func (n *Node) readRoster(core *dispatch.Core, own []kv.Pair, now dispatch.Instant) (inParts bool) {
	var list []dispatch.RosterEntry
	sound := true
	for _, p := range own {
		if p.Key == rosterKey {
			inParts = string(p.Value) == rosterInParts
			sound = sound && inParts
			if !inParts {
				n.logUnreadable("roster_unreadable", p.Key, p.ModRevision, errors.New("the roster is not stored in parts"))
			}
			continue
		}
		number, ok := rosterPartNumber(p.Key)
		if !ok {
			continue
		}
		part, err := dispatch.DecodeRoster(dispatch.RosterPart{Number: number, Value: p.Value})
		if err != nil {
			n.logUnreadable("roster_unreadable", p.Key, p.ModRevision, err)
			sound = false
			continue
		}
		list = append(list, part...)
	}
	core.Recover(list, now)
	if !sound {
		core.RecoverUnknown(now)
	}
	return inParts
}

// rosterPartNumber returns the number of the part that a key holds.
func rosterPartNumber(key string) (number int, ok bool) {
	name, ok := strings.CutPrefix(key, rosterPrefix)
	if !ok {
		return 0, false
	}
	number, err := strconv.Atoi(name)
	return number, err == nil && number >= 0 && number < maxRosterParts && rosterPartKey(number) == key
}
