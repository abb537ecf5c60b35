package qhproxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"

	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmemory"
)

// maxBufferedRequest is the size in bytes up to which a request body is
// buffered, so that it can be sent again.
const maxBufferedRequest = 64 << 10

// minGatedBody is the size in bytes from which on a request body is sent to another
// node only once that node asks for it.
const minGatedBody = 8 << 10

// streamCost is what a streamed body holds: the buffers and goroutines on its way.
const streamCost qhid.Bytes = 64 << 10

// errNoMemory is the error of reading a body that running calls leave no memory for.
var errNoMemory = errors.New("there is no memory for the request body") //nolint:gochecknoglobals // a sentinel

// bodyError is a failure to read the request body from the caller.
type bodyError struct{ cause error }

// Error implements the error interface.
func (e *bodyError) Error() string { return fmt.Sprintf("cannot read request body: %v", e.cause) }

// Unwrap returns the cause.
func (e *bodyError) Unwrap() error { return e.cause }

// requestBody is the body of a call. It can be sent again if it is empty,
// buffered, or a stream that has not been read from.
type requestBody struct {
	// buffer is nil for a streamed body.
	buffer []byte
	// stream is nil for an empty or buffered body.
	stream io.Reader
	// length is -1 if it is unknown.
	length int64
	// streamMu serializes reads from the stream.
	streamMu sync.Mutex
	// group runs the reads of a stream that must not block the end of an attempt;
	// nil if they may.
	group *qhgroup.Group
	// held is the charge of what is held in memory of the body.
	held *qhmemory.Charge

	mu sync.Mutex
	// streamRead is set once an attempt may have read from the stream.
	streamRead bool
	// attempt is the number of the attempt that may read the stream. The
	// transport of an earlier, failed attempt may still try to read it.
	attempt int
}

// newRequestBody reads a small body completely, so that a slow sender does not
// occupy a slot. One of unknown length is read completely if it arrives soon and its caller
// does not wait to be asked for it. The group runs the reads of others.
func newRequestBody(r *http.Request, group *qhgroup.Group) (*requestBody, error) {
	body := &requestBody{length: r.ContentLength, group: group}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return body, nil
	}
	body.held = clientOf(r).Hold(qhmemory.Body)
	if err := body.read(r); err != nil {
		body.release()
		return nil, err
	}
	return body, nil
}

// read reads a small body completely and sets the stream of others.
func (b *requestBody) read(r *http.Request) error {
	if len(r.Trailer) > 0 {
		b.length = -1 // trailers require chunked encoding
	}
	if r.ContentLength < 0 && len(r.Trailer) == 0 && r.Header.Get("Expect") == "" {
		ahead := startReadAhead(b.group, r.Body, b.held)
		if content, ok := ahead.complete(); ok {
			b.buffer, b.length = content, int64(len(content))
			b.held.Set(qhid.Bytes(cap(content)))
			return b.settle()
		}
		b.stream = ahead
		return nil
	}
	if b.length < 0 || b.length > maxBufferedRequest {
		b.held.SetSlowly(streamCost)
		b.stream = &settlingReader{Reader: r.Body, held: b.held}
		return nil
	}
	b.held.SetSlowly(qhid.Bytes(r.ContentLength)) // the read fails if the caller is disconnected for it
	b.buffer = make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, b.buffer); err != nil {
		return &bodyError{cause: err}
	}
	return b.settle()
}

// settle makes a complete body a part of its call.
func (b *requestBody) settle() error {
	if !b.held.Settle() {
		return errNoMemory
	}
	return nil
}

// release releases what is held of the body, which may be nil.
func (b *requestBody) release() {
	if b != nil {
		b.held.Release()
	}
}

// settlingReader makes what is held of a body a part of its call once the body has ended.
type settlingReader struct {
	io.Reader
	held *qhmemory.Charge
}

// Read reads from the body.
func (r *settlingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err == io.EOF { //nolint:errorlint // readers return io.EOF itself
		r.held.Settle() // otherwise it stays pending
	}
	return n, err
}

// startNextAttempt reports whether the body can be sent again. If so, earlier
// attempts can no longer read from it.
func (b *requestBody) startNextAttempt() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stream != nil && b.streamRead {
		return false
	}
	b.attempt++
	return true
}

// startStreamRead reports whether an attempt may read from the stream. If so, the
// body can no longer be sent again.
func (b *requestBody) startStreamRead(attempt int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if attempt != b.attempt {
		return false
	}
	b.streamRead = true
	return true
}

// reader returns the body for the current attempt.
func (b *requestBody) reader() io.ReadCloser {
	switch {
	case b.stream != nil && b.group != nil:
		return newDetachedReader(b.group, &streamReader{body: b, attempt: b.attempt})
	case b.stream != nil:
		return &streamReader{body: b, attempt: b.attempt}
	case b.buffer != nil:
		return io.NopCloser(bytes.NewReader(b.buffer))
	default:
		return http.NoBody
	}
}

// remainder returns a reader of what no attempt has read of the stream. Attempts can
// no longer read from it.
func (b *requestBody) remainder() io.Reader {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempt++
	return &streamReader{body: b, attempt: b.attempt}
}

// errStaleAttempt is the error of reading the body for an attempt after a later
// attempt has started.
var errStaleAttempt = errors.New("the call is retried in a later attempt") //nolint:gochecknoglobals // a sentinel

// streamReader reads the stream for one attempt. Close leaves the stream open
// for the next attempt; the server closes it.
type streamReader struct {
	body    *requestBody
	attempt int
}

// Read reads from the stream. It fails once a later attempt has started.
func (s *streamReader) Read(p []byte) (int, error) {
	s.body.streamMu.Lock()
	defer s.body.streamMu.Unlock()
	if !s.body.startStreamRead(s.attempt) {
		return 0, errStaleAttempt
	}
	n, err := s.body.stream.Read(p)
	if err != nil && err != io.EOF {
		err = &bodyError{cause: err}
	}
	return n, err
}

// Close does nothing.
func (s *streamReader) Close() error { return nil }

// detachedReader reads a stream in a goroutine of its own, so that Close ends a Read
// that waits for the caller. The HTTP/2 transport reports a broken connection only
// after the Read of the body has returned.
type detachedReader struct {
	*io.PipeReader
	start func()
}

func newDetachedReader(group *qhgroup.Group, stream *streamReader) *detachedReader {
	reader, writer := io.Pipe()
	return &detachedReader{PipeReader: reader, start: sync.OnceFunc(func() {
		group.Go(func(context.Context) {
			_, err := io.Copy(writer, stream)
			_ = writer.CloseWithError(err) // never fails; a nil error is io.EOF to the reader
		})
	})}
}

// Read reads from the stream. The first Read starts the goroutine, so that an
// unused body is not read.
func (d *detachedReader) Read(p []byte) (int, error) {
	d.start()
	return d.PipeReader.Read(p)
}
