// Package config parses the settings of a process and the operators' declarations:
// JSON with comments, checked as a whole; each mistake is reported with its location.
package config

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"github.com/tailscale/hujson"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"leverstile.dev/api/result"
)

//go:embed schema/settings.schema.json
var settingsSchema string

//go:embed schema/declarations.schema.json
var declarationsSchema string

// Problem is one mistake in a file. Line and Column count from 1; Column
// counts bytes.
type Problem struct {
	File    string      `json:"file"`
	Line    int         `json:"line"`
	Column  int         `json:"column"`
	Code    result.Code `json:"code"`
	Path    string      `json:"path"`
	Message string      `json:"message"`
	Warning bool        `json:"warning,omitempty"`
}

// String returns "file:line:column: code path: message".
func (p Problem) String() string {
	level := ""
	if p.Warning {
		level = "warning: "
	}
	return fmt.Sprintf("%s:%d:%d: %s%s: %s: %s", p.File, p.Line, p.Column, level, p.Code, p.Path, p.Message)
}

// Problems are the mistakes in a set of files. As an error it lists them all.
type Problems []Problem

// Error implements error.
func (ps Problems) Error() string {
	lines := make([]string, 0, len(ps))
	for _, p := range ps {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Errors returns the problems that are not warnings.
func (ps Problems) Errors() Problems { return ps.filter(false) }

// Warnings returns the warnings.
func (ps Problems) Warnings() Problems { return ps.filter(true) }

func (ps Problems) filter(warning bool) Problems {
	var out Problems
	for _, p := range ps {
		if p.Warning == warning {
			out = append(out, p)
		}
	}
	return out
}

// File is the content of one file.
type File struct {
	Name string
	Text []byte
}

// document is a parsed file that has the positions of its values.
type document struct {
	file     File
	code     result.Code
	root     hujson.Value
	problems Problems
}

var positionInError = regexp.MustCompile(`line (\d+), column (\d+): (.*)`)

// parse parses one file and checks it against a schema. If the returned document
// has problems, out must not be used.
func parse(f File, code result.Code, schema string, out any) *document {
	d := &document{file: f, code: code}
	root, err := hujson.Parse(f.Text)
	if err != nil {
		d.syntaxError(err)
		return d
	}
	d.root = root
	std := root.Clone()
	std.Standardize()
	instance, err := jsonschema.UnmarshalJSON(strings.NewReader(string(std.Pack())))
	if err != nil {
		d.add("", "%v", err)
		return d
	}
	d.duplicateKeys(&d.root, "")
	d.checkSchema(schema, instance)
	if len(d.problems) > 0 {
		return d
	}
	if err := json.Unmarshal(std.Pack(), out); err != nil {
		d.add("", "%v", err)
	}
	return d
}

// syntaxError adds a syntax error, with the position that the parser's message gives.
func (d *document) syntaxError(err error) {
	p := Problem{File: d.file.Name, Line: 1, Column: 1, Code: d.code, Path: "/", Message: err.Error()}
	if m := positionInError.FindStringSubmatch(err.Error()); m != nil {
		p.Line, _ = strconv.Atoi(m[1])
		p.Column, _ = strconv.Atoi(m[2])
		p.Message = m[3]
	}
	d.problems = append(d.problems, p)
}

func (d *document) add(pointer, format string, args ...any) {
	d.addAt(d.offset(pointer), pointer, false, fmt.Sprintf(format, args...))
}

func (d *document) warn(pointer, format string, args ...any) {
	d.addAt(d.offset(pointer), pointer, true, fmt.Sprintf(format, args...))
}

func (d *document) addAt(offset int, pointer string, warning bool, msg string) {
	line, column := position(d.file.Text, offset)
	if pointer == "" {
		pointer = "/"
	}
	d.problems = append(d.problems, Problem{
		File: d.file.Name, Line: line, Column: column, Code: d.code,
		Path: pointer, Message: msg, Warning: warning,
	})
}

// offset returns the byte offset of the value at a pointer, or of the root if there is none.
func (d *document) offset(pointer string) int {
	if v := d.root.Find(pointer); v != nil {
		return v.StartOffset
	}
	return d.root.StartOffset
}

func position(text []byte, offset int) (line, column int) {
	before := string(text[:min(max(offset, 0), len(text))])
	line = strings.Count(before, "\n") + 1
	column = len(before) - strings.LastIndex(before, "\n")
	return line, column
}

// duplicateKeys reports keys that occur twice in one object; JSON decoders
// would silently use the last.
func (d *document) duplicateKeys(v *hujson.Value, pointer string) {
	switch node := v.Value.(type) {
	case *hujson.Object:
		seen := map[string]bool{}
		for i := range node.Members {
			m := &node.Members[i]
			name := memberName(m)
			child := pointer + "/" + escape(name)
			if seen[name] {
				d.addAt(m.Name.StartOffset, child, false, "key stands twice")
			}
			seen[name] = true
			d.duplicateKeys(&m.Value, child)
		}
	case *hujson.Array:
		for i := range node.Elements {
			d.duplicateKeys(&node.Elements[i], fmt.Sprintf("%s/%d", pointer, i))
		}
	}
}

func memberName(m *hujson.ObjectMember) string {
	if lit, ok := m.Name.Value.(hujson.Literal); ok {
		return lit.String()
	}
	return ""
}

// escape escapes a name for use in a JSON pointer.
func escape(name string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(name)
}

func (d *document) checkSchema(schema string, instance any) {
	compiled, err := compile(schema)
	if err != nil {
		d.add("", "internal: %v", err)
		return
	}
	var ve *jsonschema.ValidationError
	if err := compiled.Validate(instance); errors.As(err, &ve) {
		d.collectViolations(ve)
	}
	sort.SliceStable(d.problems, func(i, j int) bool {
		a, b := d.problems[i], d.problems[j]
		return a.Line < b.Line || a.Line == b.Line && a.Column < b.Column
	})
}

func compile(schema string) (*jsonschema.Schema, error) {
	doc, err := jsonschema.UnmarshalJSON(strings.NewReader(schema))
	if err != nil {
		return nil, errors.Trace(err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("schema.json", doc); err != nil {
		return nil, errors.Trace(err)
	}
	compiled, err := c.Compile("schema.json")
	return compiled, errors.Trace(err)
}

var printer = message.NewPrinter(language.English)

// collectViolations adds a problem for each leaf of a schema validation error.
func (d *document) collectViolations(ve *jsonschema.ValidationError) {
	if len(ve.Causes) > 0 {
		for _, c := range ve.Causes {
			d.collectViolations(c)
		}
		return
	}
	pointer := ""
	for _, tok := range ve.InstanceLocation {
		pointer += "/" + escape(tok)
	}
	if extra, ok := ve.ErrorKind.(*kind.AdditionalProperties); ok {
		for _, name := range extra.Properties {
			d.unknownKey(pointer, name)
		}
		return
	}
	d.add(pointer, "%s", ve.ErrorKind.LocalizedString(printer))
}

// unknownKey reports a key that the schema does not allow, at the position of the key.
func (d *document) unknownKey(pointer, name string) {
	allowed := "unknown key"
	offset := d.offset(pointer + "/" + escape(name))
	if obj, ok := d.root.Find(pointer).Value.(*hujson.Object); ok {
		for i := range obj.Members {
			if memberName(&obj.Members[i]) == name {
				offset = obj.Members[i].Name.StartOffset
			}
		}
	}
	d.addAt(offset, pointer+"/"+escape(name), false, allowed)
}
