// Package qhconn keeps the connections that calls are sent on: HTTP/1.1 to the
// targets of the VM and HTTP/2 to other nodes. It sends each request at most
// once: where a connection fails it never tries another one by itself, which
// http.Transport does for requests that it takes for replayable.
package qhconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"quetzalhaven.dev/qhid"
)

// dialTimeout bounds the wait for a new connection.
const dialTimeout = time.Second

// ErrFirstByteTimeout is the cause with which a context ends whose request got no byte of
// an answer in time.
var ErrFirstByteTimeout = errors.New("no answer in time; check that the target works") //nolint:gochecknoglobals // a sentinel

// DialError is a connection that was not made: nothing was sent on it.
type DialError struct {
	Address qhid.Address
	Cause   error
}

// Error returns the cause and the remedy.
func (e *DialError) Error() string {
	return fmt.Sprintf("can't connect to %s: %v; check that it listens", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// UnsentError is a request of which no byte was sent, nor will be.
type UnsentError struct{ Cause error }

// Error returns the cause.
func (e *UnsentError) Error() string {
	return fmt.Sprintf("nothing was sent: %v; send it again", e.Cause)
}

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// wire is a network connection that knows what was written to it.
type wire struct {
	net.Conn
	mu sync.Mutex
	// written counts writes that were begun.
	written int
	// sealed refuses further writes.
	sealed bool
	// heard is when bytes last came in, in nanoseconds of the Unix epoch.
	heard atomic.Int64
	// first is closed when the first bytes came in.
	first chan struct{}
	once  sync.Once
}

// Write writes b unless the wire is sealed.
func (w *wire) Write(b []byte) (int, error) {
	w.mu.Lock()
	if w.sealed {
		w.mu.Unlock()
		return 0, net.ErrClosed
	}
	w.written++
	w.mu.Unlock()
	return w.Conn.Write(b)
}

// Read reads into b.
func (w *wire) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if n > 0 {
		w.heard.Store(time.Now().UnixNano())
		w.once.Do(func() { close(w.first) })
	}
	return n, err
}

// writes returns how many writes were begun.
func (w *wire) writes() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written
}

// awaitFirst waits for the first bytes of the other end.
func (w *wire) awaitFirst(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	select {
	case <-w.first:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// seal refuses all further writes and returns how many were begun.
func (w *wire) seal() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sealed = true
	return w.written
}

// wireKey is the context key under which dial hands the wire back.
type wireKey struct{}

// dial connects and puts the wire where the context says.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	w := &wire{Conn: conn, first: make(chan struct{})}
	w.heard.Store(time.Now().UnixNano())
	if holder, ok := ctx.Value(wireKey{}).(**wire); ok {
		*holder = w
	}
	return w, nil
}
