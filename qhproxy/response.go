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

// copyBufferSize is the size of the buffers for response bodies in bytes.
const copyBufferSize = 32 << 10

// bufferPool pools the buffers for response bodies.
type bufferPool struct{ pool sync.Pool }

func (b *bufferPool) get() *[copyBufferSize]byte {
	if buffer, ok := b.pool.Get().(*[copyBufferSize]byte); ok {
		return buffer
	}
	return new([copyBufferSize]byte)
}

// forwardResponse writes the target's response to w. If the response is
// truncated, it panics with http.ErrAbortHandler, so that the server closes the
// connection or resets the stream and the receiver sees the truncation too.
func (p *Proxy) forwardResponse(w http.ResponseWriter, resp *targetResponse, d qhdecision.Decision) {
	defer resp.release()
	defer func() { _ = resp.Body.Close() }() // copyBody has reported a truncated response
	header := w.Header()
	declared := declareTrailers(header, resp.Trailer)
	removeHopByHopHeaders(resp.Header)
	delete(resp.Header, qhheader.RequestID) // the caller's request ID is already set
	maps.Copy(header, resp.Header)
	w.WriteHeader(resp.StatusCode)
	if err := p.copyBody(w, resp); err != nil {
		p.recordTruncatedResponse(resp, d, err)
		if resp.onAborted != nil {
			resp.onAborted()
		}
		panic(http.ErrAbortHandler)
	}
	resp.targetRead(nil)
	copyTrailers(header, resp.Trailer, declared)
}

// targetRead calls onTargetRead.
func (r *targetResponse) targetRead(err error) {
	if r.onTargetRead != nil {
		r.onTargetRead(err)
	}
}

// writeError is a failure to write the response to the caller.
type writeError struct{ cause error }

// Error implements the error interface.
func (e *writeError) Error() string { return fmt.Sprintf("cannot write response: %v", e.cause) }

// Unwrap returns the cause.
func (e *writeError) Unwrap() error { return e.cause }

// recordTruncatedResponse records a truncated response and whether the caller
// or the target caused it.
func (p *Proxy) recordTruncatedResponse(resp *targetResponse, d qhdecision.Decision, err error) {
	var writeErr *writeError
	d.Kind, d.Reason, d.Detail = qhdecision.Truncated, qhdecision.ResponseTruncated, err.Error()
	if errors.As(err, &writeErr) {
		d.Reason = qhdecision.CallerGone
	} else {
		resp.targetRead(err)
		if resp.onTruncated != nil {
			resp.onTruncated(err)
		}
	}
	p.recordDecision(d)
	p.counters.truncatedResponses.Inc()
}

// copyBody copies the response body. A body of unknown length is flushed after
// each read.
func (p *Proxy) copyBody(w http.ResponseWriter, resp *targetResponse) error {
	flusher := http.NewResponseController(w)
	buffer := p.buffers.get()
	defer p.buffers.pool.Put(buffer)
	for {
		if resp.ContentLength < 0 { // flushes the headers first, then each part
			if err := flusher.Flush(); err != nil {
				return &writeError{cause: err}
			}
		}
		n, err := resp.Body.Read(buffer[:])
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return &writeError{cause: writeErr}
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

// declareTrailers adds the trailers known before the body to the Trailer header
// and returns their number.
func declareTrailers(header, trailer http.Header) int {
	for name := range trailer {
		header.Add("Trailer", name)
	}
	return len(trailer)
}

// copyTrailers sets the trailers. If more than the declared ones arrived, all
// are sent with http.TrailerPrefix.
func copyTrailers(header, trailer http.Header, declared int) {
	for name, values := range trailer {
		if len(trailer) != declared {
			name = http.TrailerPrefix + name
		}
		header[name] = values
	}
}
