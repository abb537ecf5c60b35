package qhproxy

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
)

// bufferBytes is the largest body that is kept to be sent again.
const bufferBytes = 64 << 10

// bodyError is a request body that could not be read from the caller.
type bodyError struct{ cause error }

// Error returns the cause.
func (e *bodyError) Error() string { return fmt.Sprintf("the caller's body broke off: %v", e.cause) }

// Unwrap returns the cause.
func (e *bodyError) Unwrap() error { return e.cause }

// requestBody is the body of a call, which can be sent again where it is empty,
// buffered or untouched.
type requestBody struct {
	// buffer is nil for a body that is streamed.
	buffer []byte
	// stream is nil for a body that is empty or buffered.
	stream io.Reader
	length int64
	// touched is set once a byte of the stream may have been read.
	touched atomic.Bool
}

// newRequestBody reads a small body whole, so that a slow sender holds no slot.
func newRequestBody(r *http.Request) (*requestBody, error) {
	body := &requestBody{length: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return body, nil
	}
	if len(r.Trailer) > 0 {
		body.length = -1 // trailers need a body of no stated length
	}
	if body.length < 0 || body.length > bufferBytes {
		body.stream = r.Body
		return body, nil
	}
	body.buffer = make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body.buffer); err != nil {
		return nil, &bodyError{cause: err}
	}
	return body, nil
}

// again tells whether the body can be sent once more.
func (b *requestBody) again() bool { return b.stream == nil || !b.touched.Load() }

// reader returns the body for one attempt.
func (b *requestBody) reader() io.ReadCloser {
	switch {
	case b.stream != nil:
		return (*streamReader)(b)
	case b.buffer != nil:
		return io.NopCloser(bytes.NewReader(b.buffer))
	default:
		return http.NoBody
	}
}

// streamReader reads the stream. Closing it leaves the stream open for the
// next attempt; the server closes it.
type streamReader requestBody

// Read reads the stream.
func (s *streamReader) Read(into []byte) (int, error) {
	s.touched.Store(true)
	n, err := s.stream.Read(into)
	if err != nil && err != io.EOF {
		err = &bodyError{cause: err}
	}
	return n, err
}

// Close leaves the stream open.
func (s *streamReader) Close() error { return nil }
