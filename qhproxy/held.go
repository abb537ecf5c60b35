package qhproxy

import (
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmemory"
)

const (
	// headSlop is how much larger than its limit a head may be. net/http has it too.
	headSlop = 4096
	// lingerTime and lingerBytes bound what is read from a client after a refusal, so that its
	// connection is not reset before it has read the refusal.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	// smallControlCost is more than what the request of a health check, an announcement or a
	// message of a peer takes.
	smallControlCost qhid.Bytes = 32 << 10
)

// heldInput has what is held in memory for a connection, apart from its calls. The
// connection's lock guards it.
type heldInput struct {
	proxy  *Proxy
	client *qhmemory.Client
	// maxHead returns the maximum size of a head.
	maxHead func() int
	// control is set for requests other than calls. Small ones are not refused for what is held
	// for callers.
	control bool
	// input is the charge of what was received and no call was started for, and inputSize its
	// size.
	input     *qhmemory.Charge
	inputSize int
	// begun counts the requests whose heads were complete.
	begun int
	// headSize and headCost are those of the head that waits to be admitted; 0 if none does.
	// headID is the ID of its request.
	headSize int
	headCost qhid.Bytes
	headID   qhid.Request
	// head is the charge of the request that the server has read last.
	head *qhmemory.Charge
	// frames follows the frames of a connection that speaks HTTP/2; else nil.
	frames *heldFrames
}

// openClient opens the account of a connection.
func (p *Proxy) openClient(conn net.Conn) *qhmemory.Client {
	return p.Memory.Open(conn.RemoteAddr().String(), func() { _ = conn.Close() }) // the server sees that it is closed
}

// newHeldInput opens the account of a connection that a listener has accepted.
func (l *callerListener) newHeldInput(conn net.Conn) heldInput {
	client := l.proxy.openClient(conn)
	return heldInput{proxy: l.proxy, client: client, maxHead: l.maxHead, control: !l.callers, input: client.Hold(qhmemory.Input)}
}

// clientOf returns the client of a caller's request; nil if it is not known.
func clientOf(r *http.Request) *qhmemory.Client {
	if conn := connOfRequest(r); conn != nil {
		return conn.held.client
	}
	return nil
}

// admitParsed reports whether there is memory for a request of HTTP/2, and returns its charge.
// One of HTTP/1.1 was admitted before it was parsed.
func admitParsed(r *http.Request) (*qhmemory.Charge, bool) {
	if r.ProtoMajor == 1 {
		return nil, true
	}
	return clientOf(r).Admit(qhmemory.HeaderCost(r.Header))
}

// maxCallerHead returns the maximum size of the head of a caller's request.
func (p *Proxy) maxCallerHead() int {
	limit := p.Settings.MaxHeaderBytes
	if snapshot := p.Snapshot(); snapshot != nil && snapshot.Config.Limits.MaxHeaderBytes > 0 {
		limit = min(limit, snapshot.Config.Limits.MaxHeaderBytes)
	}
	return int(limit) + headSlop
}

// receive records that the client has sent bytes.
func (h *heldInput) receive(n int) {
	if n > 0 {
		h.client.Progress()
	}
}

// setBuffered records the size of the buffer of received bytes. A small one is a part of the
// connection.
func (h *heldInput) setBuffered(size int) {
	if size <= 2*readBufferSize {
		size = 0
	}
	if size != h.inputSize {
		h.inputSize = size
		h.input.Set(qhid.Bytes(size)) // a client that is disconnected for it sees that itself
	}
}

// takeFrames records that the server reads bytes of a connection that speaks HTTP/2.
func (h *heldInput) takeFrames(data []byte) {
	if h.frames == nil {
		h.frames = newHeldFrames(h.client, int(h.proxy.Settings.MaxHeaderBytes))
	}
	h.frames.scan(data)
}

// startHead records the complete head of a request that waits to be admitted.
func (h *heldInput) startHead(head []byte) {
	h.begun++
	h.headSize, h.headCost = len(head), qhmemory.HeadCost(head)
	h.headID = qhid.Request(headerValue(head, qhheader.RequestID))
}

// headerValue returns the value of a header in a head; empty if it is missing or too long to
// be kept.
func headerValue(head []byte, name string) string {
	for line := range strings.SplitSeq(string(head), "\n") {
		if field, value, ok := strings.Cut(line, ":"); ok && strings.EqualFold(field, name) {
			if value = textproto.TrimString(value); len(value) <= maxRequestIDLength {
				return strings.Clone(value)
			}
		}
	}
	return ""
}

// close ends the account of the connection.
func (h *heldInput) close() {
	h.input.Release()
	h.frames.release()
	h.head.Release()
	h.client.Close()
}

const (
	// http2Cost is held for a connection that speaks HTTP/2, in addition to what one of
	// HTTP/1.1 holds: its window and the buffers for a frame and for writing.
	http2Cost qhid.Bytes = callerWindow + 32<<10
	// fieldSize is the size of the shortest field of a head as HTTP/2 counts it, and
	// fieldCost is what it takes once it is decoded.
	fieldSize            = 33
	fieldCost qhid.Bytes = 160
)

// heldFrames has what is held for a connection that speaks HTTP/2: the server decodes heads
// before they are complete.
type heldFrames struct {
	scanner *frameScanner
	input   *qhmemory.Charge
	// maxHead is what an incomplete head takes at most.
	maxHead qhid.Bytes
	open    int
}

// newHeldFrames returns the account of a connection whose heads are decoded up to a size, as
// HTTP/2 counts it.
func newHeldFrames(client *qhmemory.Client, maxHeaderBytes int) *heldFrames {
	h := &heldFrames{scanner: newFrameScanner(), input: client.Hold(qhmemory.Input), maxHead: qhid.Bytes(maxHeaderBytes) / fieldSize * fieldCost}
	h.input.Set(http2Cost)
	return h
}

// scan records that the server reads bytes. A byte of a head can stand for a field.
func (h *heldFrames) scan(data []byte) {
	open := h.scanner.scan(data)
	if open != h.open {
		h.open = open
		h.input.Set(http2Cost + min(qhid.Bytes(open)*fieldCost, h.maxHead))
	}
}

// release ends the account; h may be nil.
func (h *heldFrames) release() {
	if h != nil {
		h.input.Release()
	}
}

// headRefusal is the refusal of a request of which the server reads nothing.
type headRefusal struct {
	status int
	id     qhid.Request
}

// admit admits the request that waits for that, or returns its refusal. size is how much the
// server reads. c.mu must be held.
func (c *callerConn) admit(size int) *headRefusal {
	h := &c.held
	if h.headSize == 0 || c.splitter.http2 {
		return nil
	}
	earlierHandled := c.finished >= h.begun-1
	if !earlierHandled && size == 1 {
		return nil // the server waits for the end of the connection, and reads the request later
	}
	tooLarge := h.maxHead != nil && h.headSize > h.maxHead()
	h.headSize = 0
	h.head.Release()
	h.head = nil
	switch {
	case !earlierHandled || c.isStarted():
		h.head = h.client.AdmitAlways(h.headCost) // its refusal would answer another request, or not be true
		return nil
	case tooLarge:
		return &headRefusal{status: http.StatusRequestHeaderFieldsTooLarge}
	}
	charge, ok := h.client.Admit(h.headCost)
	if !ok && h.control && h.headCost <= smallControlCost {
		charge, ok = h.client.AdmitAlways(h.headCost), true
	}
	if !ok {
		return &headRefusal{status: http.StatusServiceUnavailable, id: h.headID}
	}
	h.head = charge
	return nil
}

// isStarted reports whether the request that the server reads was started as a pipelined call.
// c.mu must be held.
func (c *callerConn) isStarted() bool {
	return len(c.pipelined) > 0 && c.pipelined[0].requestNumber <= c.splitter.started
}

// headTooLarge reports whether the head that arrives is too large. size is how much the server
// reads, see admit. c.mu must be held.
func (c *callerConn) headTooLarge(size int) bool {
	if c.serving || !c.splitter.atBoundary() || c.held.maxHead == nil || c.finished < c.held.begun && size == 1 {
		return false
	}
	return len(c.buffered) > c.held.maxHead()
}

// refuse answers the request that the server is about to read, and returns the error with
// which the server gives the connection up without a response of its own.
func (c *callerConn) refuse(refusal *headRefusal) error {
	closed := &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}
	c.mu.Lock()
	c.buffered, c.splitter = nil, requestSplitter{}
	c.held.setBuffered(0)
	c.setReadError(closed) // the server may read again
	c.mu.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(lingerTime)) // a client that reads nothing gets no response
	var err error
	if refusal.status == http.StatusServiceUnavailable {
		err = c.held.proxy.writeRefusal(c.Conn, refusal.id)
	} else {
		_, err = io.WriteString(c.Conn, headTooLargeResponse)
	}
	if err == nil {
		_ = c.CloseWrite() // the client may have closed it
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes) // what the client still sends does not matter
	}
	return closed
}

// headTooLargeResponse is the response of net/http to a head that is too large.
const headTooLargeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n431 Request Header Fields Too Large"

// noMemoryFailure returns the failure of a call that the node has no memory for.
func noMemoryFailure() *failure {
	return notExecuted(qhdecision.NoMemory, http.StatusServiceUnavailable, defaultRetryAfter, "this node has no memory for a call of this size")
}

// writeRefusal answers a request that was not parsed because there is no memory for it.
func (p *Proxy) writeRefusal(w io.Writer, id qhid.Request) error {
	response := &rawResponse{header: make(http.Header)}
	if id != "" {
		response.header[qhheader.RequestID] = []string{string(id)}
	}
	p.finishWithFailure(response, noMemoryFailure(), qhdecision.Decision{Request: id})
	return (&http.Response{
		StatusCode: response.status, ProtoMajor: 1, ProtoMinor: 1, Header: response.header, Close: true,
		Body: io.NopCloser(strings.NewReader(response.body.String())), ContentLength: int64(response.body.Len()),
	}).Write(w)
}

// rawResponse is a response that is written without the server.
type rawResponse struct {
	header http.Header
	status int
	body   strings.Builder
}

// Header returns the headers.
func (r *rawResponse) Header() http.Header { return r.header }

// WriteHeader sets the status.
func (r *rawResponse) WriteHeader(status int) { r.status = status }

// Write adds to the body.
func (r *rawResponse) Write(p []byte) (int, error) { return r.body.Write(p) }
