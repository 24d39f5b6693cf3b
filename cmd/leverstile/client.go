package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/aymanbagabas/go-udiff"
	"github.com/juju/errors"

	"leverstile.dev/api/result"
	"leverstile.dev/config"
	"leverstile.dev/entry"
)

// remote holds the options of commands that call an entry.
type remote struct {
	Entry  string `long:"entry" required:"true" env:"LEVERSTILE_ENTRY" value-name:"IP:PORT" description:"address of an entry for callers"`
	Output string `long:"output" default:"text" choice:"text" choice:"json" description:"form of the output"`
}

const clientTimeout = 90 * time.Second

// call sends a request and returns the body and header of the answer. A refusal
// is returned as a result.Error.
func (r *remote) call(method, path string, header http.Header, body []byte) ([]byte, http.Header, error) {
	req, err := http.NewRequest(method, "http://"+r.Entry+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	for k, v := range header {
		req.Header[k] = v
	}
	client := &http.Client{Timeout: clientTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return nil, nil, &exitError{result.ExitUnknown, err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, nil, &exitError{result.ExitUnknown, err}
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return raw, resp.Header, decodeRefusal(resp, raw)
	}
	return raw, resp.Header, nil
}

func decodeRefusal(resp *http.Response, raw []byte) error {
	var ref entry.Refusal
	if json.Unmarshal(raw, &ref) == nil && ref.Code != 0 {
		return &result.Error{Code: ref.Code, Detail: ref.Detail}
	}
	code, _ := strconv.Atoi(resp.Header.Get(entry.HeaderCode))
	if code != 0 {
		return &result.Error{Code: result.Code(code)}
	}
	return errors.Errorf("status %d: %.200s", resp.StatusCode, raw)
}

// print writes an answer as JSON, or as text through the function text.
func (r *remote) print(raw []byte, text func(w io.Writer) error) error {
	if r.Output == "json" {
		_, err := os.Stdout.Write(raw)
		return errors.Trace(err)
	}
	tw := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	if err := text(tw); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(tw.Flush())
}

// readFiles reads files, ordered by name. A folder stands for all .json, .jsonc
// and .hujson files below it.
func readFiles(args []string) ([]config.File, error) {
	var files []config.File
	for _, arg := range args {
		err := filepath.WalkDir(arg, func(path string, d os.DirEntry, err error) error {
			if err != nil || d.IsDir() {
				return err
			}
			if path != arg && !isDeclarationFile(path) {
				return nil
			}
			text, err := os.ReadFile(path)
			files = append(files, config.File{Name: path, Text: text})
			return err
		})
		if err != nil {
			return nil, result.New(result.BadDeclarations, "%v", err)
		}
	}
	sort.Slice(files, func(i, j int) bool { return files[i].Name < files[j].Name })
	if len(files) == 0 {
		return nil, result.New(result.BadDeclarations, "no declaration files found")
	}
	return files, nil
}

func isDeclarationFile(path string) bool {
	switch filepath.Ext(path) {
	case ".json", ".jsonc", ".hujson":
		return true
	default:
		return false
	}
}

// parseFiles checks files of declarations offline and prints their warnings.
func parseFiles(args []string) (*config.Declarations, []config.File, error) {
	files, err := readFiles(args)
	if err != nil {
		return nil, nil, err
	}
	decl, problems := config.ParseDeclarations(files, nil)
	for _, w := range problems.Warnings() {
		fmt.Fprintln(os.Stderr, w)
	}
	if errs := problems.Errors(); len(errs) > 0 {
		return nil, nil, errs
	}
	return decl, files, nil
}

// checkCommand checks files of settings or declarations offline.
type checkCommand struct {
	Settings bool `long:"settings" description:"the files are settings of entry processes"`
	Args     struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	if !c.Settings {
		_, _, err := parseFiles(c.Args.Files)
		return err
	}
	var all config.Problems
	for _, name := range c.Args.Files {
		text, err := os.ReadFile(name)
		if err != nil {
			return result.New(result.BadSettings, "%v", err)
		}
		var problems config.Problems
		if _, err := config.ParseSettings(config.File{Name: name, Text: text}); errors.As(err, &problems) {
			all = append(all, problems...)
		}
	}
	if len(all) > 0 {
		return all
	}
	return nil
}

// fetchDeclarations returns the declarations in force and their revision.
func (r *remote) fetchDeclarations() ([]byte, uint64, error) {
	raw, header, err := r.call(http.MethodGet, "/v1/declarations", nil, nil)
	if err != nil {
		return nil, 0, err
	}
	rev, err := strconv.ParseUint(strings.Trim(header.Get("ETag"), `"`), 10, 64)
	return raw, rev, errors.Trace(err)
}

type getCommand struct{ remote }

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	raw, rev, err := c.fetchDeclarations()
	if err != nil {
		return err
	}
	return c.print(raw, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "// revision %d\n%s\n", rev, raw)
		return err
	})
}

type diffCommand struct {
	remote
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	decl, _, err := parseFiles(c.Args.Files)
	if err != nil {
		return err
	}
	return c.showDiff(decl)
}

func (r *remote) showDiff(decl *config.Declarations) error {
	current, rev, err := r.fetchDeclarations()
	if err != nil {
		return err
	}
	next, err := decl.Encode()
	if err != nil {
		return errors.Trace(err)
	}
	fmt.Print(udiff.Unified(fmt.Sprintf("in force (revision %d)", rev), "files", string(current)+"\n", string(next)+"\n"))
	return nil
}

type applyCommand struct {
	remote
	Base   *uint64 `long:"base" value-name:"REVISION" description:"revision that the change is based on; default: the one in force now"`
	DryRun bool    `long:"dry-run" description:"check only"`
	Args   struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	decl, files, err := parseFiles(c.Args.Files)
	if err != nil {
		return err
	}
	base, err := c.base()
	if err != nil {
		return err
	}
	body, err := filesBody(files)
	if err != nil {
		return err
	}
	path := "/v1/declarations"
	if c.DryRun {
		path += "?dry_run=1"
	}
	header := http.Header{"If-Match": {`"` + strconv.FormatUint(base, 10) + `"`}, "Content-Type": {entry.FilesType}}
	raw, _, err := c.call(http.MethodPut, path, header, body)
	var re *result.Error
	if errors.As(err, &re) && re.Code == result.RevisionConflict {
		_ = c.showDiff(decl)
	}
	if err != nil {
		return withProblems(raw, err)
	}
	var ans entry.DeclarationsAnswer
	if err := json.Unmarshal(raw, &ans); err != nil {
		return errors.Trace(err)
	}
	return c.print(raw, func(w io.Writer) error {
		for _, p := range ans.Problems {
			if _, err := fmt.Fprintln(w, p); err != nil {
				return err
			}
		}
		_, err := fmt.Fprintf(w, "revision %d accepted\n", ans.Revision)
		return err
	})
}

func (c *applyCommand) base() (uint64, error) {
	if c.Base != nil {
		return *c.Base, nil
	}
	_, rev, err := c.fetchDeclarations()
	return rev, err
}

func filesBody(files []config.File) ([]byte, error) {
	type file struct {
		Name string `json:"name"`
		Text string `json:"text"`
	}
	var body struct {
		Files []file `json:"files"`
	}
	for _, f := range files {
		body.Files = append(body.Files, file{f.Name, string(f.Text)})
	}
	b, err := json.Marshal(body)
	return b, errors.Trace(err)
}

// withProblems returns the entry's list of mistakes if raw has one, else err.
func withProblems(raw []byte, err error) error {
	var ans entry.DeclarationsAnswer
	if json.Unmarshal(raw, &ans) == nil && len(ans.Problems.Errors()) > 0 {
		return ans.Problems.Errors()
	}
	return err
}

type submitCommand struct {
	remote
	Args struct {
		File string `positional-arg-name:"FILE" description:"JSON, - for standard input" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *submitCommand) Execute([]string) error {
	var body []byte
	var err error
	if c.Args.File == "-" {
		body, err = io.ReadAll(os.Stdin)
	} else {
		body, err = os.ReadFile(c.Args.File)
	}
	if err != nil {
		return result.New(result.BadRequest, "%v", err)
	}
	raw, _, err := c.call(http.MethodPost, "/v1/tasks", nil, body)
	if err != nil {
		return err
	}
	return c.printAnswers(raw)
}

// printAnswers prints the outcome of each task and returns the first refusal.
func (r *remote) printAnswers(raw []byte) error {
	var answers []entry.TaskAnswer
	if err := json.Unmarshal(raw, &answers); err != nil {
		return errors.Trace(err)
	}
	err := r.print(raw, func(w io.Writer) error {
		for _, a := range answers {
			if _, err := fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", a.ID, a.Code, a.Name, a.Detail); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	for _, a := range answers {
		if a.Code != result.OK {
			return result.New(a.Code, "task %s", a.ID)
		}
	}
	return nil
}

// oneOrMany holds the options of commands on a task or on all tasks that a
// selector matches.
type oneOrMany struct {
	Selector string `long:"selector" description:"label selector, such as app=transcode"`
	Args     struct {
		ID string `positional-arg-name:"ID"`
	} `positional-args:"true"`
}

func (o *oneOrMany) path() (string, error) {
	if (o.Args.ID == "") == (o.Selector == "") {
		return "", &exitError{result.ExitUsage, errors.New("give either an id or --selector")}
	}
	if o.Args.ID != "" {
		return "/v1/tasks/" + url.PathEscape(o.Args.ID), nil
	}
	return "/v1/tasks?selector=" + url.QueryEscape(o.Selector), nil
}

type statusCommand struct {
	remote
	oneOrMany
	WaitMS int `long:"wait-ms" description:"wait for the end of the task, at most this long"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	path, err := c.path()
	if err != nil {
		return err
	}
	if c.Args.ID != "" && c.WaitMS > 0 {
		path += "?wait_ms=" + strconv.Itoa(c.WaitMS)
	}
	raw, _, err := c.call(http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	var list []entry.TaskStatus
	if c.Args.ID != "" {
		list = make([]entry.TaskStatus, 1)
		err = json.Unmarshal(raw, &list[0])
	} else {
		err = json.Unmarshal(raw, &list)
	}
	if err != nil {
		return errors.Trace(err)
	}
	return c.print(raw, func(w io.Writer) error { return printTasks(w, list) })
}

func printTasks(w io.Writer, list []entry.TaskStatus) error {
	if _, err := fmt.Fprintln(w, "ID\tGROUP\tPHASE\tCODE\tVM\tATTEMPT\tEVICTIONS"); err != nil {
		return err
	}
	for _, t := range list {
		if _, err := fmt.Fprintf(w, "%s\t%s\t%s\t%d %s\t%s\t%d\t%d\n", t.ID, t.Group, t.Phase, t.Code, t.CodeName, t.VM, t.Attempt, t.Evictions); err != nil {
			return err
		}
	}
	return nil
}

type cancelCommand struct {
	remote
	oneOrMany
}

// Execute implements flags.Commander.
func (c *cancelCommand) Execute([]string) error {
	path, err := c.path()
	if err != nil {
		return err
	}
	raw, _, err := c.call(http.MethodDelete, path, nil, nil)
	if err != nil {
		return err
	}
	return c.printAnswers(raw)
}

type explainCommand struct {
	remote
	Args struct {
		ID string `positional-arg-name:"ID" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	raw, _, err := c.call(http.MethodGet, "/v1/tasks/"+url.PathEscape(c.Args.ID)+"/explain", nil, nil)
	if err != nil {
		return err
	}
	var ans struct {
		Cell        string `json:"cell"`
		Explanation string `json:"explanation"`
	}
	if err := json.Unmarshal(raw, &ans); err != nil {
		return errors.Trace(err)
	}
	return c.print(raw, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%s: cell %s: %s\n", c.Args.ID, ans.Cell, ans.Explanation)
		return err
	})
}

type drainCommand struct {
	remote
	Undo bool `long:"undo" description:"let the VM get work again"`
	Args struct {
		VM string `positional-arg-name:"VM" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	method := http.MethodPost
	if c.Undo {
		method = http.MethodDelete
	}
	raw, _, err := c.call(method, "/v1/vms/"+url.PathEscape(c.Args.VM)+"/drain", nil, nil)
	if err != nil {
		return err
	}
	return c.print(raw, func(w io.Writer) error {
		_, err := fmt.Fprintln(w, c.Args.VM, "recorded")
		return err
	})
}

type membersCommand struct{ remote }

// Execute implements flags.Commander.
func (c *membersCommand) Execute([]string) error {
	raw, _, err := c.call(http.MethodGet, "/v1/members", nil, nil)
	if err != nil {
		return err
	}
	var list []entry.Member
	if err := json.Unmarshal(raw, &list); err != nil {
		return errors.Trace(err)
	}
	return c.print(raw, func(w io.Writer) error {
		if _, err := fmt.Fprintln(w, "ENTRY\tPLACE\tADDRESS\tDRAINING\tREVISION\tSHARDS"); err != nil {
			return err
		}
		for _, m := range list {
			if _, err := fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%d\t%s\n", m.ID, m.Place, m.Address, m.Draining, m.Revision, strings.Join(m.Shards, " ")); err != nil {
				return err
			}
		}
		return nil
	})
}
