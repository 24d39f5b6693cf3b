package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"leverstile.dev/api/result"
	"leverstile.dev/config"
)

// run parses a command line as main does and returns the error of the command.
func run(t *testing.T, args ...string) error {
	t.Helper()
	parser := flags.NewParser(&struct{}{}, flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range commands() {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.impl); err != nil {
			t.Fatal(err)
		}
	}
	_, err := parser.ParseArgs(args)
	return err
}

// TestCheckReportsAllMistakes checks that a file with five mistakes yields five
// errors and a non-zero exit code.
func TestCheckReportsAllMistakes(t *testing.T) {
	for name, c := range map[string]struct {
		args []string
		text string
	}{
		"settings": {[]string{"check", "--settings"}, `{
  "id": "Entry 1",
  "place": 7,
  "listen": {"callers": "localhost:80", "peers": "127.0.0.1:2"},
  "store": {"addresses": ["127.0.0.1:3"], "timeout_ms": 1},
  "platform": {"vm_list": "127.0.0.1:4"},
  "extra": true
}`},
		"declarations": {[]string{"check"}, `{
  "groups": [{"name": "a", "share": 1, "parent": "nobody"}, {"name": "a", "share": 2}],
  "services": [{"name": "s", "group": "b", "slots": 8, "connections": 4}],
  "selectors": [{"name": "x", "match": "app in (", "group": "a"}]
}`},
	} {
		file := filepath.Join(t.TempDir(), "file.jsonc")
		if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		err := run(t, append(c.args, file)...)
		var problems config.Problems
		if !errors.As(err, &problems) || len(problems) != 5 {
			t.Errorf("%s: %d problems: %v", name, len(problems), err)
		}
		if code := exitCode(err); code != result.ExitInput {
			t.Errorf("%s: exit code %d", name, code)
		}
	}
}

// TestExitCodes guards against errors that end the process with a wrong exit code.
func TestExitCodes(t *testing.T) {
	for _, c := range []struct {
		err  error
		want int
	}{
		{nil, result.ExitOK},
		{result.New(result.RevisionConflict, ""), result.ExitConflict},
		{result.New(result.QueueFull, ""), result.ExitNotRun},
		{result.New(result.CommitUnknown, ""), result.ExitUnknown},
		{&exitError{result.ExitUsage, errors.New("x")}, result.ExitUsage},
		{errors.New("x"), result.ExitInternal},
		{run(t, "nonsense"), result.ExitUsage},
		{run(t, "serve"), result.ExitUsage},
		{run(t, "serve", "--help"), result.ExitOK},
	} {
		if got := exitCode(c.err); got != c.want {
			t.Errorf("%v: exit code %d, want %d", c.err, got, c.want)
		}
	}
}
