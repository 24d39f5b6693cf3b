package soak

import (
	"os"
	"path/filepath"
	"strings"
)

// racesName begins the names of the files that processes report data races to.
const racesName = "races"

// checkRaces finds data races that processes have reported.
func (w *world) checkRaces() {
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
				if strings.Contains(report, "DATA RACE") {
					w.t.Errorf("%s: %s", p.name, report)
				}
			}
		}
	}
}
