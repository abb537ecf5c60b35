package qhproxy

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"

	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhheader"
)

// copyBytes is the size of the buffers for bodies.
const copyBytes = 32 << 10

// buffers keeps buffers for bodies.
type buffers struct{ pool sync.Pool }

func (b *buffers) get() *[copyBytes]byte {
	if buffer, ok := b.pool.Get().(*[copyBytes]byte); ok {
		return buffer
	}
	return new([copyBytes]byte)
}

// pass gives an answer on, whole. An answer that breaks off is broken off on
// the way out too, by a panic that the server turns into a closed connection
// or a reset stream.
func (p *Proxy) pass(w http.ResponseWriter, a *answer, d qhdecision.Decision) {
	defer a.release()
	defer func() { _ = a.Body.Close() }() // an answer that broke off was noticed before
	header := w.Header()
	announced := announceTrailers(header, a.Trailer)
	dropHop(a.Header)
	delete(a.Header, qhheader.RequestID) // the caller's own is set
	maps.Copy(header, a.Header)
	w.WriteHeader(a.StatusCode)
	if err := p.copyBody(w, a); err != nil {
		p.broken(a, d, err)
		panic(http.ErrAbortHandler)
	}
	copyTrailers(header, a.Trailer, announced)
}

// writeError is an answer that the caller did not take.
type writeError struct{ cause error }

// Error returns the cause.
func (e *writeError) Error() string { return fmt.Sprintf("the caller is gone: %v", e.cause) }

// Unwrap returns the cause.
func (e *writeError) Unwrap() error { return e.cause }

// broken notes an answer that broke off, and on which side.
func (p *Proxy) broken(a *answer, d qhdecision.Decision, err error) {
	var left *writeError
	d.Kind, d.Reason, d.Detail = qhdecision.Truncated, qhdecision.ResponseTruncated, err.Error()
	if errors.As(err, &left) {
		d.Reason = qhdecision.CallerGone
	} else if a.brokeOff != nil {
		a.brokeOff(err)
	}
	p.decide(d)
	p.counts.broken.Inc()
}

// copyBody copies the body. What has no known length is flushed as it comes.
func (p *Proxy) copyBody(w http.ResponseWriter, a *answer) error {
	flusher := http.NewResponseController(w)
	buffer := p.buffers.get()
	defer p.buffers.pool.Put(buffer)
	for {
		if a.ContentLength < 0 { // the headers first, then each part
			if err := flusher.Flush(); err != nil {
				return &writeError{cause: err}
			}
		}
		n, err := a.Body.Read(buffer[:])
		if n > 0 {
			if _, failed := w.Write(buffer[:n]); failed != nil {
				return &writeError{cause: failed}
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// announceTrailers names the trailers that are known before the body.
func announceTrailers(header, trailer http.Header) int {
	for name := range trailer {
		header.Add("Trailer", name)
	}
	return len(trailer)
}

// copyTrailers sets the trailers, also those that were not announced.
func copyTrailers(header, trailer http.Header, announced int) {
	for name, values := range trailer {
		if len(trailer) != announced {
			name = http.TrailerPrefix + name
		}
		header[name] = values
	}
}
