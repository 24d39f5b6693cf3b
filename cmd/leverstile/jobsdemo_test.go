package main

import (
	"bytes"
	"strings"
	"testing"
)

// TestJobsDemo guards against a demo that ends without showing each state of its jobs.
func TestJobsDemo(t *testing.T) {
	var out bytes.Buffer
	if err := runJobsDemo(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{demoShortID + ": succeeded", demoLongRunningID + ": running", `"phase":"running"`, demoLongRunningID + ": cancelled"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in:\n%s", want, out.String())
		}
	}
}
