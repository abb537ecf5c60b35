// Package qhoperate serves the operator API of a node: its state, metrics, the
// versions in force, and the decisions on calls. It has no access control: any
// client that reaches its listener can shut the node down, so it listens only on
// the address in the settings.
package qhoperate

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"quetzalhaven.dev/qhcrash"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhstatus"
)

// Options configures an API.
type Options struct {
	// Dump returns the complete state of the node. It must be encodable as
	// JSON.
	Dump func() any
	// Summary returns on how many nodes each configuration version is in force,
	// counted over this node and those below it in the distribution tree.
	Summary func() qhstatus.Summary
	// Ready returns nil when the node accepts calls, otherwise the reason why
	// not.
	Ready func() error
	// Explain returns the decisions on a call, oldest first.
	Explain func(request qhid.Request) any
	// View returns the known members.
	View func() *qhmember.View
	// Rollouts and Tenants return what the node knows of roll-outs and tenants.
	Rollouts func() []RolloutView
	Tenants  func() TenantsView
	// Crashes returns the verdicts on the requests under which targets ended, as the
	// node knows them, and Release ends the quarantine of one on all nodes. It returns
	// false if the node does not know the request.
	Crashes func() []qhcrash.Verdict
	Release func(request qhcrash.Fingerprint) bool
	// Drain starts a graceful shutdown. It is called at most once.
	Drain   func()
	Metrics *metrics.Set
}

// API is the operator API of a node.
type API struct {
	Options

	shutdownOnce sync.Once
}

// New returns an API.
func New(options Options) *API { return &API{Options: options} }

// Handler returns the HTTP handler of the API.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /dump", a.dump)
	mux.HandleFunc("GET /status", a.status)
	mux.HandleFunc("GET /metrics", a.metrics)
	mux.HandleFunc("GET /ready", a.ready)
	mux.HandleFunc("GET /explain", a.explain)
	mux.HandleFunc("GET /reach", a.reach)
	mux.HandleFunc("GET /members", a.members)
	mux.HandleFunc("GET /rollouts", a.rollouts)
	mux.HandleFunc("GET /tenants", a.tenants)
	mux.HandleFunc("GET /crashes", a.crashes)
	mux.HandleFunc("POST /release", a.release)
	mux.HandleFunc("POST /drain", a.drain)
	return mux
}

func (a *API) dump(w http.ResponseWriter, _ *http.Request)   { writeJSON(w, a.Dump()) }
func (a *API) status(w http.ResponseWriter, _ *http.Request) { writeJSON(w, a.Summary()) }

func (a *API) members(w http.ResponseWriter, _ *http.Request) { writeJSON(w, a.View().Entries) }

func (a *API) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	a.Metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (a *API) ready(w http.ResponseWriter, _ *http.Request) {
	if err := a.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, struct {
		Ready bool `json:"ready"`
	}{true})
}

func (a *API) explain(w http.ResponseWriter, r *http.Request) {
	id := qhid.Request(r.URL.Query().Get("request"))
	if id == "" {
		err := qherr.New(qherr.BadInput, nil, "request /explain?request=ID", "the request ID is missing")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, a.Explain(id))
}

func (a *API) crashes(w http.ResponseWriter, _ *http.Request) { writeJSON(w, a.Crashes()) }

func (a *API) release(w http.ResponseWriter, r *http.Request) {
	request := qhcrash.Fingerprint(r.URL.Query().Get("request"))
	if !a.Release(request) {
		err := qherr.New(qherr.NotFound, nil, "list them with qhctl crashes at a node of the service", "no target is known to have ended under the request %q", string(request))
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (a *API) reach(w http.ResponseWriter, r *http.Request) {
	var services []qhid.Service
	for _, name := range r.URL.Query()["service"] {
		services = append(services, qhid.Service(name))
	}
	writeJSON(w, CountAffected(a.View(), services))
}

func (a *API) drain(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusAccepted)
	a.shutdownOnce.Do(a.Drain)
}

// writeJSON writes value as indented JSON.
func writeJSON(w http.ResponseWriter, value any) {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(text, '\n')) // the client may have disconnected
}
