package qhproxy

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// maxDiscardedBody bounds the bytes of a request body that are read after the
	// response. The connection of a caller that sends more is reset.
	maxDiscardedBody = 1 << 20
	// maxDiscardTime bounds how long they are read.
	maxDiscardTime = time.Second
)

// callerBody is the body of a caller's HTTP/1 request. What is not read of it must never be
// taken for a further request, which net/http leaves to the handler once the body was
// replaced or read in full duplex.
type callerBody struct {
	io.ReadCloser
	// expects is set if the caller waits to be asked for the body.
	expects bool
	// started is set once the body was read from, which asks for it, and ended at its end.
	started, ended atomic.Bool
}

// trackBody replaces the body of the request by a callerBody, which it returns; nil if there
// is no body or the connection does not depend on it.
func trackBody(r *http.Request) *callerBody {
	if r.ProtoMajor != 1 || r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	body := &callerBody{ReadCloser: r.Body, expects: r.Header.Get("Expect") != ""}
	r.Body = body
	return body
}

// Read reads from the body.
func (b *callerBody) Read(p []byte) (int, error) {
	b.started.Store(true)
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF { //nolint:errorlint // readers return io.EOF itself
		b.ended.Store(true)
	}
	return n, err
}

// mustClose reports whether the response has to close the connection, because the caller
// may never send the body that it was not asked for, or because the call failed while it
// still sends.
func (b *callerBody) mustClose(failed bool) bool {
	if b == nil || b.ended.Load() {
		return false
	}
	return b.expects && !b.started.Load() || failed && b.started.Load()
}

// finish reads rest, the rest of the body, after the response was written. Otherwise a
// connection that is closed after the response is reset while the caller still sends, and
// the caller loses the response. If the body does not end soon, its connection does.
func (b *callerBody) finish(w http.ResponseWriter, rest io.Reader) {
	if b == nil || b.ended.Load() || b.expects && !b.started.Load() {
		return
	}
	controller := http.NewResponseController(w)
	if controller.Flush() != nil {
		return // the caller is gone
	}
	_ = controller.SetReadDeadline(time.Now().Add(maxDiscardTime)) // without read deadlines, the size bounds it
	_, err := io.CopyN(io.Discard, rest, maxDiscardedBody)
	if errors.Is(err, io.EOF) && b.ended.Load() {
		return
	}
	_ = controller.SetReadDeadline(time.Now()) // ends reads that earlier attempts have left
	if w.Header().Get("Connection") != "close" {
		panic(http.ErrAbortHandler) // closes the connection
	}
}
