package qhproxy

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
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
	// length is -1 where it is not known.
	length int64

	mu sync.Mutex
	// touched is set once a byte of the stream may have been read.
	touched bool
	// attempt is the one that may read the stream. An earlier one may still be
	// about to when its call has failed.
	attempt int
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

// again tells whether the body can be sent once more, and keeps earlier attempts
// from reading it then.
func (b *requestBody) again() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stream != nil && b.touched {
		return false
	}
	b.attempt++
	return true
}

// touch tells whether an attempt may read the stream, and notes that it does.
func (b *requestBody) touch(attempt int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if attempt != b.attempt {
		return false
	}
	b.touched = true
	return true
}

// reader returns the body for one attempt.
func (b *requestBody) reader() io.ReadCloser {
	switch {
	case b.stream != nil:
		return &streamReader{body: b, attempt: b.attempt}
	case b.buffer != nil:
		return io.NopCloser(bytes.NewReader(b.buffer))
	default:
		return http.NoBody
	}
}

// errPast ends the reads of an attempt that has failed.
var errPast = errors.New("the call goes on in another attempt") //nolint:gochecknoglobals // a sentinel

// streamReader reads the stream for one attempt. Closing it leaves the stream
// open for the next one; the server closes it.
type streamReader struct {
	body    *requestBody
	attempt int
}

// Read reads the stream.
func (s *streamReader) Read(into []byte) (int, error) {
	if !s.body.touch(s.attempt) {
		return 0, errPast
	}
	n, err := s.body.stream.Read(into)
	if err != nil && err != io.EOF {
		err = &bodyError{cause: err}
	}
	return n, err
}

// Close leaves the stream open.
func (s *streamReader) Close() error { return nil }
