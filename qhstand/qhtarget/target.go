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
	// coldFactor is how many times longer a call runs during the cold start.
	coldFactor = 5
	// maxBody bounds the body of a call.
	maxBody qhid.Bytes = 64 << 20
	// maxTimeout is the longest time that a caller can give a call.
	maxTimeout = time.Hour
	// maxFaults bounds the body that sets the faults.
	maxFaults qhid.Bytes = 4096
)

// Health is what the health endpoint says.
type Health struct {
	Health  string `json:"health"`
	Running int    `json:"running"`
	Slots   int    `json:"slots"`
}

// Target is an HTTP target.
type Target struct {
	Options
	started  time.Time
	recorder *recorder
	// changed has a value when the state was changed and not announced yet.
	changed chan struct{}

	mu       sync.Mutex
	faults   Faults
	draining bool
}

// New returns a target that has just started.
func New(opts Options) *Target {
	if opts.Log == nil {
		opts.Log = zap.NewNop()
	}
	return &Target{
		Options:  opts,
		started:  time.Now(),
		recorder: newRecorder(opts.ID, opts.Slots),
		changed:  make(chan struct{}, 1),
	}
}

// Handler returns what the target serves: its switches and its record under
// /qhstand/, and everything else as calls.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /qhstand/record", func(w http.ResponseWriter, _ *http.Request) { answer(w, t.Record()) })
	mux.HandleFunc("GET /qhstand/health", t.serveHealth)
	mux.HandleFunc("PUT /qhstand/faults", t.serveFaults)
	mux.HandleFunc("PUT /qhstand/drain", t.serveDrain)
	mux.HandleFunc("/", t.serveCall)
	return mux
}

// Record returns what the target did so far.
func (t *Target) Record() Record { return t.recorder.copy() }

// SetFaults replaces the faults.
func (t *Target) SetFaults(faults Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = faults
}

// takeFaults returns the faults of the next call and counts it.
func (t *Target) takeFaults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	faults := t.faults
	if t.faults.Next > 0 {
		t.faults.Next--
		if t.faults.Next == 0 {
			t.faults = Faults{}
		}
	}
	return faults
}

func (t *Target) state() qhmember.State {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return qhmember.Leaving
	}
	if time.Since(t.started) < t.Cold {
		return qhmember.Cold
	}
	return qhmember.Up
}

// ConnState counts connections. It fits http.Server.
func (t *Target) ConnState(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		t.recorder.connected(1)
	case http.StateClosed, http.StateHijacked:
		t.recorder.connected(-1)
	}
}

func (t *Target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	faults := t.faults
	t.mu.Unlock()
	health := Health{Health: string(t.state()), Running: t.recorder.running(), Slots: t.Slots}
	if faults.Health != "" {
		health.Health = faults.Health
	}
	if faults.Load != 0 {
		health.Running = faults.Load
	}
	answer(w, health)
}

func (t *Target) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, int64(maxFaults)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, "send the faults as one JSON object: "+err.Error(), http.StatusBadRequest)
		return
	}
	t.SetFaults(faults)
	answer(w, faults)
}

func (t *Target) serveDrain(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	select {
	case t.changed <- struct{}{}:
	default:
	}
	answer(w, struct{}{})
}

func answer[T any](w http.ResponseWriter, value T) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the client sees an answer that broke off
}

func (t *Target) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(maxBody)))
	if err != nil {
		http.Error(w, "the body did not arrive whole", http.StatusBadRequest)
		return
	}
	faults := t.takeFaults()
	if faults.Refuse {
		t.recorder.shed()
		shed(w)
		return
	}
	run := Run{
		Request: qhid.Request(r.Header.Get(qhheader.RequestID)),
		Key:     r.Header.Get(qhheader.IdempotencyKey),
		Method:  r.Method,
		Path:    r.URL.Path,
	}
	number, ok := t.recorder.begin(run)
	if !ok {
		shed(w)
		return
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	err = t.work(ctx, faults)
	t.recorder.end(number, err != nil)
	if err != nil {
		http.Error(w, "the time for the call has passed", http.StatusGatewayTimeout)
		return
	}
	t.answerCall(w, r, faults, t.echo(r, run, body))
}

// withDeadline returns the context of a call, which ends when the time that the
// caller gave it has passed.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	seconds, err := strconv.ParseFloat(r.Header.Get(qhheader.Timeout), 64)
	if err != nil || seconds < 0 || seconds > maxTimeout.Seconds() {
		return r.Context(), func() {}
	}
	return context.WithTimeout(r.Context(), time.Duration(seconds*float64(time.Second)))
}

// shed answers a call that did not run.
func shed(w http.ResponseWriter) {
	w.Header().Set(qhheader.RetryAfter, "1")
	http.Error(w, "the target sheds load", http.StatusServiceUnavailable)
}

// work holds the slot for the time of a call, or until the caller goes away.
func (t *Target) work(ctx context.Context, faults Faults) error {
	duration := t.Time
	if faults.Time != 0 {
		duration = time.Duration(faults.Time)
	}
	if t.state() == qhmember.Cold {
		duration *= coldFactor
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
