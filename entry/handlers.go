package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"leverstile.dev/api/result"
	"leverstile.dev/config"
	"leverstile.dev/kv"
	"leverstile.dev/membership"
)

// maxDocumentBytes bounds declarations and task submissions in bytes.
const maxDocumentBytes = 32 << 20

// callersHandler serves callers and operators; docs/API.md describes the interface.
func (e *Entry) callersHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/services/{service}", e.serveService)
	mux.HandleFunc("/v1/services/{service}/{path...}", e.serveService)
	mux.HandleFunc("POST /v1/tasks", e.serveSubmit)
	mux.HandleFunc("GET /v1/tasks", e.serveList)
	mux.HandleFunc("DELETE /v1/tasks", e.serveCancelSelected)
	mux.HandleFunc("GET /v1/tasks/{id}", e.serveTask)
	mux.HandleFunc("GET /v1/tasks/{id}/explain", e.serveExplain)
	mux.HandleFunc("DELETE /v1/tasks/{id}", e.serveCancel)
	mux.HandleFunc("GET /v1/declarations", e.serveGetDeclarations)
	mux.HandleFunc("PUT /v1/declarations", e.servePutDeclarations)
	mux.HandleFunc("POST /v1/vms/{vm}/drain", e.serveDrainVM)
	mux.HandleFunc("DELETE /v1/vms/{vm}/drain", e.serveUndrainVM)
	mux.HandleFunc("GET /v1/members", e.serveMembers)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", e.serveReady)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { e.set.WritePrometheus(w) })
	mux.HandleFunc("/", e.serveUnknown)
	return mux
}

func (e *Entry) serveUnknown(w http.ResponseWriter, r *http.Request) {
	code := result.NotFound
	if strings.HasPrefix(r.URL.Path, "/v1/") && r.Method != http.MethodGet {
		code = result.MethodNotAllowed
	}
	e.refuse(w, result.New(code, "%s %s", r.Method, r.URL.Path))
}

// serveReady reports to the balancer whether this entry takes requests of callers.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case e.draining.Load():
		e.refuse(w, result.New(result.EntryDraining, ""))
	case e.declared.active().number == 0:
		e.refuse(w, result.New(result.NoDeclarations, "").After(time.Second))
	default:
		_, _ = io.WriteString(w, "ready\n")
	}
}

func (e *Entry) reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderCode, "0")
	_ = json.NewEncoder(w).Encode(body)
}

// readAll reads a body of at most maxDocumentBytes.
func readAll(w http.ResponseWriter, r *http.Request) ([]byte, *result.Error) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDocumentBytes))
	if err != nil {
		return nil, bodyError(err)
	}
	return b, nil
}

// toResultError returns err as an error with a result code.
func toResultError(err error) *result.Error {
	var re *result.Error
	if errors.As(err, &re) {
		return re
	}
	return result.New(result.StoreUnavailable, "%v", err).After(time.Second)
}

// DeclarationsAnswer is the answer to a change of declarations.
type DeclarationsAnswer struct {
	Revision uint64          `json:"revision"`
	Problems config.Problems `json:"problems,omitempty"`
	Refusal  *Refusal        `json:"refusal,omitempty"`
}

func (e *Entry) serveGetDeclarations(w http.ResponseWriter, _ *http.Request) {
	rev := e.declared.active()
	w.Header().Set("ETag", etag(rev.number))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderCode, "0")
	_, _ = w.Write(rev.document)
}

func etag(rev uint64) string { return `"` + strconv.FormatUint(rev, 10) + `"` }

// servePutDeclarations accepts a document based on the revision in If-Match.
func (e *Entry) servePutDeclarations(w http.ResponseWriter, r *http.Request) {
	base, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		e.refuse(w, result.New(result.BadRequest, `If-Match must hold the revision that the change is based on, as "7"`))
		return
	}
	body, refusal := readAll(w, r)
	if refusal != nil {
		e.refuse(w, refusal)
		return
	}
	decl, problems := config.ParseDeclarations(parseFiles(r, body), e.view.listVMs())
	if len(problems.Errors()) > 0 {
		e.replyProblems(w, problems)
		return
	}
	doc, err := decl.Encode()
	if err != nil {
		e.refuse(w, toResultError(err))
		return
	}
	if r.URL.Query().Get("dry_run") != "" {
		e.reply(w, DeclarationsAnswer{Revision: e.declared.active().number, Problems: problems})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), 10*time.Second)
	defer cancel()
	rev, err := e.declared.accept(ctx, base, doc)
	if err != nil {
		e.refuse(w, toResultError(err))
		return
	}
	w.Header().Set("ETag", etag(rev.number))
	e.reply(w, DeclarationsAnswer{Revision: rev.number, Problems: problems})
}

// FilesBody is a set of files in one body, sent with the media type FilesType.
type FilesBody struct {
	Files []struct {
		Name string `json:"name"`
		Text string `json:"text"`
	} `json:"files"`
}

// FilesType is the media type of a FilesBody.
const FilesType = "application/vnd.leverstile.files+json"

func parseFiles(r *http.Request, body []byte) []config.File {
	var fb FilesBody
	if r.Header.Get("Content-Type") != FilesType || json.Unmarshal(body, &fb) != nil {
		return []config.File{{Name: "body", Text: body}}
	}
	files := make([]config.File, 0, len(fb.Files))
	for _, f := range fb.Files {
		files = append(files, config.File{Name: f.Name, Text: []byte(f.Text)})
	}
	return files
}

func (e *Entry) replyProblems(w http.ResponseWriter, problems config.Problems) {
	info := result.Lookup(result.BadDeclarations)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderCode, strconv.Itoa(int(info.Code)))
	w.WriteHeader(info.HTTPStatus)
	_ = json.NewEncoder(w).Encode(DeclarationsAnswer{
		Revision: e.declared.active().number, Problems: problems,
		Refusal: &Refusal{Code: info.Code, Name: info.Name, Meaning: info.Meaning, Ran: info.Ran, Repeat: info.Repeatable},
	})
}

// serveDrainVM marks a VM as leaving on behalf of an operator.
func (e *Entry) serveDrainVM(w http.ResponseWriter, r *http.Request) {
	e.changeDrain(w, r, kv.Put(drainPrefix+r.PathValue("vm"), []byte(e.settings.ID), 0))
}

func (e *Entry) serveUndrainVM(w http.ResponseWriter, r *http.Request) {
	e.changeDrain(w, r, kv.Delete(drainPrefix+r.PathValue("vm")))
}

func (e *Entry) changeDrain(w http.ResponseWriter, r *http.Request, op kv.Op) {
	vm := r.PathValue("vm")
	if !e.knowsVM(vm) {
		e.refuse(w, result.New(result.NotFound, "VM %q is not in the platform's list", vm))
		return
	}
	if _, err := e.store.Do(r.Context(), kv.Txn{Then: []kv.Op{op}}); err != nil {
		e.refuse(w, toResultError(err))
		return
	}
	e.reply(w, struct {
		VM string `json:"vm"`
	}{vm})
}

func (e *Entry) knowsVM(id string) bool {
	for _, vm := range e.view.listVMs() {
		if vm.ID == id {
			return true
		}
	}
	return false
}

// Member is an entry of the fleet as the answering entry sees it.
type Member struct {
	membership.Entry
	Revision uint64   `json:"revision"`
	Shards   []string `json:"shards,omitempty"`
	Self     bool     `json:"self,omitempty"`
}

func (e *Entry) serveMembers(w http.ResponseWriter, _ *http.Request) {
	now := e.clock()
	own := e.ownView()
	views := append(e.view.peerViews(now), own)
	var out []Member
	for _, m := range e.view.entries(now, true) {
		member := Member{Entry: m, Self: m.ID == e.settings.ID}
		for _, v := range views {
			if v.GetEntry() != m.ID {
				continue
			}
			member.Revision = v.GetDeclarationsRevision()
			for _, s := range v.GetShards() {
				member.Shards = append(member.Shards, s.GetName())
			}
		}
		out = append(out, member)
	}
	e.reply(w, out)
}
