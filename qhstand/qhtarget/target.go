package qhtarget

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

const (
	// warmUpFactor multiplies the service time during the warm-up.
	warmUpFactor = 5
	// maxBodyBytes bounds the request body of a call.
	maxBodyBytes qhid.Bytes = 64 << 20
	// maxTimeout is the longest timeout that is accepted from a caller; a longer
	// one is ignored.
	maxTimeout = time.Hour
	// maxFaultsBytes bounds the request body that sets the faults.
	maxFaultsBytes qhid.Bytes = 4096
)

// HealthReport is the response body of the health endpoint.
type HealthReport struct {
	Status  string `json:"health"`
	Running int    `json:"running"`
	Slots   int    `json:"slots"`
}

// Target is a test target. It is safe for concurrent use.
type Target struct {
	Options
	startedAt time.Time
	recorder  *recorder
	// stateChanged has a value when a state change has not been announced yet.
	stateChanged chan struct{}

	mu      sync.Mutex
	faults  Faults
	leaving bool
}

// New returns a target whose warm-up starts now.
func New(opts Options) *Target {
	if opts.Log == nil {
		opts.Log = zap.NewNop()
	}
	return &Target{
		Options:      opts,
		startedAt:    time.Now(),
		recorder:     newRecorder(opts.ID, opts.Slots),
		stateChanged: make(chan struct{}, 1),
	}
}

// Handler returns the handler of the target: control endpoints under /qhstand/
// (record, health, faults, drain), and all other paths as calls.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /qhstand/record", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Record()) })
	mux.HandleFunc("GET /qhstand/health", t.serveHealth)
	mux.HandleFunc("PUT /qhstand/faults", t.serveFaults)
	mux.HandleFunc("PUT /qhstand/drain", t.serveDrain)
	mux.HandleFunc("/", t.serveCall)
	return mux
}

// Record returns a copy of the record.
func (t *Target) Record() Record { return t.recorder.snapshot() }

// SetFaults replaces the faults.
func (t *Target) SetFaults(faults Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = faults
}

// nextFaults returns the faults for a call and counts the call against
// RemainingCalls.
func (t *Target) nextFaults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	faults := t.faults
	if t.faults.RemainingCalls > 0 {
		t.faults.RemainingCalls--
		if t.faults.RemainingCalls == 0 {
			t.faults = Faults{}
		}
	}
	return faults
}

func (t *Target) state() qhmember.State {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving {
		return qhmember.Leaving
	}
	if time.Since(t.startedAt) < t.WarmUp {
		return qhmember.Cold
	}
	return qhmember.Up
}

// ConnState counts open connections. It is the ConnState hook of the
// http.Server.
func (t *Target) ConnState(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		t.recorder.addConnections(1)
	case http.StateClosed, http.StateHijacked:
		t.recorder.addConnections(-1)
	}
}

func (t *Target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	faults := t.faults
	t.mu.Unlock()
	report := HealthReport{Status: string(t.state()), Running: t.recorder.running(), Slots: t.Slots}
	if faults.ReportedHealth != "" {
		report.Status = faults.ReportedHealth
	}
	if faults.ReportedRunning != 0 {
		report.Running = faults.ReportedRunning
	}
	writeJSON(w, report)
}

func (t *Target) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, int64(maxFaultsBytes)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, "send the faults as one JSON object: "+err.Error(), http.StatusBadRequest)
		return
	}
	t.SetFaults(faults)
	writeJSON(w, faults)
}

func (t *Target) serveDrain(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	t.leaving = true
	t.mu.Unlock()
	select {
	case t.stateChanged <- struct{}{}:
	default:
	}
	writeJSON(w, struct{}{})
}

func writeJSON[T any](w http.ResponseWriter, value T) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the client sees a truncated response
}

func (t *Target) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(maxBodyBytes)))
	if err != nil {
		http.Error(w, "the request body is incomplete or too large", http.StatusBadRequest)
		return
	}
	faults := t.nextFaults()
	if faults.Shed {
		t.recorder.countShed()
		rejectOverloaded(w)
		return
	}
	execution := Execution{
		Request: qhid.Request(r.Header.Get(qhheader.RequestID)),
		Key:     r.Header.Get(qhheader.IdempotencyKey),
		Method:  r.Method,
		Path:    r.URL.Path,
	}
	index, ok := t.recorder.start(execution)
	if !ok {
		rejectOverloaded(w)
		return
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	err = t.simulateWork(ctx, faults)
	t.recorder.finish(index, err != nil)
	if err != nil {
		http.Error(w, "the deadline of the call has passed", http.StatusGatewayTimeout)
		return
	}
	t.writeResponse(w, r, faults, t.echo(r, execution, body))
}

// withDeadline returns the context of a call, limited by the timeout that the
// caller sent in the header qhheader.Timeout, in seconds.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	seconds, err := strconv.ParseFloat(r.Header.Get(qhheader.Timeout), 64)
	if err != nil || seconds < 0 || seconds > maxTimeout.Seconds() {
		return r.Context(), func() {}
	}
	return context.WithTimeout(r.Context(), time.Duration(seconds*float64(time.Second)))
}

// rejectOverloaded sends the response to a call that is shed: status 503 with
// Retry-After.
func rejectOverloaded(w http.ResponseWriter) {
	w.Header().Set(qhheader.RetryAfter, "1")
	http.Error(w, "the target is overloaded and did not execute the call", http.StatusServiceUnavailable)
}

// simulateWork blocks for the service time of a call. It returns an error if
// the caller disconnects or the deadline passes before.
func (t *Target) simulateWork(ctx context.Context, faults Faults) error {
	duration := t.ServiceTime
	if faults.ServiceTime != 0 {
		duration = time.Duration(faults.ServiceTime)
	}
	if t.state() == qhmember.Cold {
		duration *= warmUpFactor
	}
	if faults.Hang {
		<-ctx.Done()
		return ctx.Err()
	}
	return sleep(ctx, duration)
}

func sleep(ctx context.Context, duration time.Duration) error {
	if duration <= 0 || qhgroup.Sleep(ctx, duration) {
		return nil
	}
	return ctx.Err()
}
