// Package qhoperate serves the operators' API of a node: its state, metrics,
// how far a version is in force, and why a decision was taken. It has no
// protection of its own: whoever reaches its listener may drain the node, so it
// listens only where the settings say.
package qhoperate

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhstatus"
)

// Options configures an API.
type Options struct {
	// Dump returns the node's whole state, which must encode as JSON.
	Dump func() any
	// Summary counts versions on this node and below it.
	Summary func() qhstatus.Summary
	// Ready returns nil once the node takes calls, else why not.
	Ready func() error
	// Explain returns the decisions on a call, the oldest first.
	Explain func(request qhid.Request) any
	View    func() *qhmember.View
	// Drain begins a graceful stop. It is called once.
	Drain   func()
	Metrics *metrics.Set
}

// API is the operators' API.
type API struct {
	Options

	drain sync.Once
}

// New returns an API.
func New(options Options) *API { return &API{Options: options} }

// Handler serves the API.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /dump", a.dump)
	mux.HandleFunc("GET /status", a.status)
	mux.HandleFunc("GET /metrics", a.metrics)
	mux.HandleFunc("GET /ready", a.ready)
	mux.HandleFunc("GET /explain", a.explain)
	mux.HandleFunc("GET /reach", a.reach)
	mux.HandleFunc("GET /members", a.members)
	mux.HandleFunc("POST /drain", a.drainNode)
	return mux
}

func (a *API) dump(w http.ResponseWriter, _ *http.Request)   { answer(w, a.Dump()) }
func (a *API) status(w http.ResponseWriter, _ *http.Request) { answer(w, a.Summary()) }

func (a *API) members(w http.ResponseWriter, _ *http.Request) { answer(w, a.View().Entries) }

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
	answer(w, struct {
		Ready bool `json:"ready"`
	}{true})
}

func (a *API) explain(w http.ResponseWriter, r *http.Request) {
	id := qhid.Request(r.URL.Query().Get("request"))
	if id == "" {
		err := qherr.New(qherr.BadInput, nil, "ask for /explain?request=ID", "no request id is given")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer(w, a.Explain(id))
}

func (a *API) reach(w http.ResponseWriter, r *http.Request) {
	var services []qhid.Service
	for _, name := range r.URL.Query()["service"] {
		services = append(services, qhid.Service(name))
	}
	answer(w, ReachOf(a.View(), services))
}

func (a *API) drainNode(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusAccepted)
	a.drain.Do(a.Drain)
}

// answer writes value as indented JSON.
func answer(w http.ResponseWriter, value any) {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(text, '\n')) // the operator has gone
}
