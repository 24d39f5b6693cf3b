// Package trace reads recorded traces: a JSON header on the first line, then one
// JSON line for each event.
package trace

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"strings"

	"github.com/juju/errors"
)

// maxLineBytes bounds a line.
const maxLineBytes = 16 << 20

// ReadFile reads the trace in a file.
func ReadFile[H, L any](name string) (H, []L, error) {
	f, err := os.Open(name)
	if err != nil {
		var head H
		return head, nil, errors.Trace(err)
	}
	defer f.Close()
	return Read[H, L](f)
}

// ReadWant reads the expected outcome that is stored beside a trace: name.want.json
// beside name.jsonl.
func ReadWant[W any](traceFile string) (W, error) {
	var want W
	b, err := os.ReadFile(strings.TrimSuffix(traceFile, ".jsonl") + ".want.json")
	if err != nil {
		return want, errors.Trace(err)
	}
	return want, errors.Annotate(json.Unmarshal(b, &want), traceFile)
}

// Read returns the header and the lines of a trace. Errors give the line number.
func Read[H, L any](r io.Reader) (H, []L, error) {
	var head H
	var lines []L
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	for n := 1; sc.Scan(); n++ {
		var err error
		if n == 1 {
			err = json.Unmarshal(sc.Bytes(), &head)
		} else {
			var l L
			err = json.Unmarshal(sc.Bytes(), &l)
			lines = append(lines, l)
		}
		if err != nil {
			return head, nil, errors.Annotatef(err, "line %d", n)
		}
	}
	return head, lines, errors.Trace(sc.Err())
}
