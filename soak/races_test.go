package soak

import (
	"os"
	"path/filepath"
	"strings"
)

// raceReportPrefix is how the names of the files start to which processes write data races.
const raceReportPrefix = "races"

// checkRaces fails the test if a process has reported a data race.
func (w *world) checkRaces() {
	for _, p := range w.procs {
		files, err := filepath.Glob(filepath.Join(p.dir, raceReportPrefix+".*"))
		if err != nil {
			w.t.Error(err)
		}
		for _, file := range files {
			text, err := os.ReadFile(file)
			if err != nil {
				w.t.Error(err)
			}
			for _, report := range strings.Split(string(text), "==================") {
				if strings.Contains(report, "DATA RACE") {
					w.t.Errorf("%s: %s", p.name, report)
				}
			}
		}
	}
}
