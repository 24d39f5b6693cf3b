package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/juju/errors"
	"k8s.io/apimachinery/pkg/labels"

	"leverstile.dev/api/result"
	"leverstile.dev/fleet"
)

const goodSettings = `{
  "id": "entry-1", "place": "a", // here
  "listen": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:2"},
  "store": {"addresses": ["127.0.0.1:3"]},
  "platform": {"vm_list": "127.0.0.1:4"},
}`

func TestGoodSettings(t *testing.T) {
	s, err := ParseSettings(File{"f", []byte(goodSettings)})
	if err != nil {
		t.Fatal(err)
	}
	if s.ID != "entry-1" || s.Limits.Queue != DefaultSettings().Limits.Queue {
		t.Errorf("%+v", s)
	}
}

// TestFiveMistakes: all mistakes are reported at once, each with its path, line and column.
func TestFiveMistakes(t *testing.T) {
	text := `{
  "id": "Entry 1",
  "place": 7,
  "listen": {"callers": "localhost:80", "peers": "127.0.0.1:2"},
  "store": {"addresses": ["127.0.0.1:3"], "timeout_ms": 1},
  "platform": {"vm_list": "127.0.0.1:4"},
  "extra": true
}`
	_, err := ParseSettings(File{"f.jsonc", []byte(text)})
	var ps Problems
	if !errors.As(err, &ps) {
		t.Fatalf("%v", err)
	}
	want := []struct {
		line, column int
		path         string
	}{{2, 9, "/id"}, {3, 12, "/place"}, {4, 25, "/listen/callers"}, {5, 57, "/store/timeout_ms"}, {7, 3, "/extra"}}
	if len(ps) != len(want) {
		t.Fatalf("%d problems:\n%v", len(ps), ps)
	}
	for i, w := range want {
		if ps[i].Line != w.line || ps[i].Column != w.column || ps[i].Path != w.path || ps[i].Code != result.BadSettings {
			t.Errorf("problem %d: %v, want %d:%d %s", i, ps[i], w.line, w.column, w.path)
		}
	}
}

func TestSettingsMistakes(t *testing.T) {
	for name, c := range map[string]struct{ old, new, want string }{
		"syntax":             {`"place": "a"`, `"place" "a"`, "f:2:"},
		"overlapping":        {`127.0.0.1:4`, `127.0.0.1:1`, "used by /listen/callers"},
		"bad port":           {`127.0.0.1:4`, `127.0.0.1:99999`, "no IP number"},
		"key twice":          {`"place": "a"`, `"place": "a", "place": "b"`, "key stands twice"},
		"lease over timeout": {`["127.0.0.1:3"]`, `["127.0.0.1:3"], "lease_ms": 2000, "timeout_ms": 2000`, "1.5 times"},
	} {
		text := strings.Replace(goodSettings, c.old, c.new, 1)
		if _, err := ParseSettings(File{"f", []byte(text)}); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", name, err, c.want)
		}
	}
}

const goodDeclarations = `{
  "groups": [{"name": "a", "share": 1}, {"name": "b", "share": 2, "parent": "a"}],
  "services": [{"name": "s", "group": "a", "slots": 8, "connections": 64}],
  "selectors": [{"name": "x", "match": "app=x", "group": "a"}, {"name": "y", "match": "app=y", "group": "b", "vms": "place=p"}],
  "cells": [{"name": "c", "vms": "place=p"}],
}`

func TestDeclarationMistakes(t *testing.T) {
	vms := []fleet.VM{{ID: "v", Place: "p"}}
	if _, ps := ParseDeclarations([]File{{"f", []byte(goodDeclarations)}}, vms); len(ps) != 0 {
		t.Fatalf("good declarations: %v", ps)
	}
	for name, c := range map[string]struct{ old, new, want string }{
		"dangling group":    {`"app=x", "group": "a"`, `"app=x", "group": "z"`, `group "z" is not declared`},
		"dangling parent":   {`"parent": "a"`, `"parent": "z"`, `group "z" is not declared`},
		"cycle":             {`{"name": "a", "share": 1}`, `{"name": "a", "share": 1, "parent": "b"}`, "its own ancestor"},
		"zero share":        {`"share": 1`, `"share": 0`, "exclusiveMinimum"},
		"same work":         {`app=y`, `app`, "may claim the same work"},
		"bad selector":      {`app=y`, `app in (`, "/selectors/1/match"},
		"name twice":        {`"name": "y"`, `"name": "x"`, "declared already"},
		"few connections":   {`"connections": 64`, `"connections": 4`, "at least slots"},
		"VM in two cells":   {`"cells": [`, `"cells": [{"name": "d", "vms": "vm=v"}, `, "belongs to cell"},
		"matches no VM":     {`"vms": "place=p"}]`, `"vms": "place=q"}]`, "warning"},
		"unknown class":     {`"share": 2`, `"share": 2, "class": "urgent"`, "/groups/1/class"},
		"unknown key":       {`"slots": 8`, `"slots": 8, "slot": 1`, "unknown key"},
		"share as a string": {`"share": 2`, `"share": "2"`, "/groups/1/share"},
	} {
		text := strings.Replace(goodDeclarations, c.old, c.new, 1)
		_, ps := ParseDeclarations([]File{{"f", []byte(text)}}, vms)
		if len(ps) == 0 || !strings.Contains(ps.Error(), c.want) {
			t.Errorf("%s: %v, want %q", name, ps, c.want)
		}
	}
}

func TestDisjointSelectors(t *testing.T) {
	for _, c := range []struct {
		a, b     string
		disjoint bool
	}{
		{"app=x", "app=y", true},
		{"app in (x,y)", "app in (y,z)", false},
		{"app=x", "app!=x", true},
		{"app=x", "!app", true},
		{"app", "!app", true},
		{"app=x", "team=y", false},
		{"app=x,team=a", "team=b", true},
		{"app notin (x)", "app=y", false},
	} {
		a, errA := labels.Parse(c.a)
		b, errB := labels.Parse(c.b)
		if errA != nil || errB != nil {
			t.Fatal(errA, errB)
		}
		if Disjoint(a, b) != c.disjoint || Disjoint(b, a) != c.disjoint {
			t.Errorf("%q and %q: disjoint should be %t", c.a, c.b, c.disjoint)
		}
	}
}

// TestExamples: the settings and declarations in examples/ are valid.
func TestExamples(t *testing.T) {
	entries, err := filepath.Glob("../examples/entry-*.jsonc")
	if err != nil || len(entries) != 3 {
		t.Fatal(entries, err)
	}
	for _, name := range entries {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ParseSettings(File{name, text}); err != nil {
			t.Error(err)
		}
	}
	text, err := os.ReadFile("../examples/declarations.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	if _, ps := ParseDeclarations([]File{{"declarations.jsonc", text}}, nil); len(ps) > 0 {
		t.Error(ps)
	}
}

func FuzzSettings(f *testing.F) {
	f.Add(goodSettings)
	f.Add(`{"id": 1e999, "x": {"x": [[[]]]}}`)
	f.Add("// comment only")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := ParseSettings(File{"f", []byte(text)})
		if (s == nil) == (err == nil) {
			t.Errorf("settings %v and error %v", s, err)
		}
	})
}

func FuzzDeclarations(f *testing.F) {
	f.Add(goodDeclarations)
	f.Add(`{"groups": [{"name": "a", "parent": "a", "share": 1}]}`)
	f.Add(`{"cells": null, "selectors": [{}]}`)
	f.Fuzz(func(t *testing.T, text string) {
		d, ps := ParseDeclarations([]File{{"f", []byte(text)}}, []fleet.VM{{ID: "v"}})
		if len(ps.Errors()) > 0 {
			return
		}
		doc, err := d.Encode()
		if err != nil {
			t.Fatal(err)
		}
		// Accepted declarations are accepted again in their canonical form.
		if _, again := ParseDeclarations([]File{{"f", doc}}, nil); len(again.Errors()) > 0 {
			t.Errorf("canonical form is refused: %v\n%s", again, doc)
		}
	})
}
