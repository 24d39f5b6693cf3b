package soak

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

// racesName begins the names of the files that processes report data races to.
const racesName = "races"

// raceAccess is an access that a report tells, and the line of its innermost frame.
var raceAccess = regexp.MustCompile(`(?:[Rr]ead|[Ww]rite) at 0x[0-9a-f]+ by .*:\n +\S.*\n +(\S+:\d+)`)

// harmlessFrames are of the log library: its writer reads the length of an entry that it
// has handed over.
var harmlessFrames = []string{"/async.go:82", "/async.go:87", "/logger.go:466"}

// checkRaces finds data races that processes have reported.
func (w *world) checkRaces() {
	harmless := 0
	for _, p := range w.procs {
		files, err := filepath.Glob(filepath.Join(p.dir, racesName+".*"))
		if err != nil {
			w.t.Error(err)
		}
		for _, file := range files {
			text, err := os.ReadFile(file)
			if err != nil {
				w.t.Error(err)
			}
			for _, report := range strings.Split(string(text), "==================") {
				switch {
				case !strings.Contains(report, "DATA RACE"):
				case harmlessRace(report):
					harmless++
				default:
					w.t.Errorf("%s: %s", p.name, report)
				}
			}
		}
	}
	if *soakRace {
		w.t.Logf("%d data races in the log library, known and harmless", harmless)
	}
}

// harmlessRace reports whether all accesses of a report are known ones.
func harmlessRace(report string) bool {
	accesses := raceAccess.FindAllStringSubmatch(report, -1)
	return len(accesses) > 1 && !slices.ContainsFunc(accesses, func(access []string) bool {
		return !slices.ContainsFunc(harmlessFrames, func(frame string) bool { return strings.HasSuffix(access[1], frame) })
	})
}
