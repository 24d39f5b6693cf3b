package result

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
)

var write = flag.Bool("write", false, "write docs/RESULT_CODES.md anew")

const page = "../../docs/RESULT_CODES.md"

// render returns the page that describes all codes.
func render() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\n")
	b.WriteString("Written from `api/result`; `go test ./api/result -write` writes it anew, the test holds it to the source.\n\n")
	b.WriteString("The thousands digit is the family: 0 success, 1 not run (safe to repeat), 2 outcome unknown, 3 ran and failed, 4 refused input.\n")
	b.WriteString("Every answer carries its code in the header `Leverstile-Code`; refusals have a JSON body with the code, whether the work ran, and when to come back.\n\n")
	b.WriteString("| code | name | meaning | did it run | may it be repeated | HTTP status | exit code |\n|---|---|---|---|---|---|---|\n")
	for _, i := range Table {
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s | %d | %d |\n", i.Code, i.Name, i.Meaning, i.Ran, i.Repeatable, i.HTTPStatus, i.ExitCode)
	}
	b.WriteString("\nExit code 1 is an internal error, 2 a mistake on the command line.\n")
	return b.String()
}

// Guards against a page that no longer matches the table.
func TestPageMatchesSource(t *testing.T) {
	if *write {
		if err := os.WriteFile(page, []byte(render()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(page)
	if err != nil || string(got) != render() {
		t.Errorf("docs/RESULT_CODES.md differs from the source (%v); write it anew with -write", err)
	}
}

// Guards against codes that are out of order or contradict their family.
func TestTableIsSound(t *testing.T) {
	last := Code(0)
	for i, info := range Table {
		if i > 0 && info.Code <= last {
			t.Errorf("%v is out of order", info.Code)
		}
		last = info.Code
		if info.Code.Family() == FamilyNotRun && info.Ran != RanNo && info.Code != TaskCancelled {
			t.Errorf("%v is of the family 'not run'", info.Code)
		}
		if info.Code.Family() == FamilyInput && info.ExitCode != ExitInput && info.ExitCode != ExitConflict && info.ExitCode != ExitFailed {
			t.Errorf("%v has exit code %d", info.Code, info.ExitCode)
		}
	}
	if Lookup(9999).Name != "unlisted" {
		t.Error("an unknown code must have the name \"unlisted\"")
	}
}
