package qhproxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmemory"
)

const (
	// maxPipelined bounds the pipelined calls of one connection, in addition to
	// the call that the server handles.
	maxPipelined = 16
	// maxBufferedResponse bounds the responses that are read completely before
	// they are forwarded.
	maxBufferedResponse qhid.Bytes = 64 << 10
)

// pipelinedCall is a call whose request was sent behind others on its
// connection and that runs concurrently with them. Its response is written once
// the server has read the request.
type pipelinedCall struct {
	call *call
	// requestNumber is the number of the request on its connection, from 1.
	requestNumber int
	started       time.Time
	deadline      time.Time
	cancel        context.CancelFunc
	// held is the charge of its head.
	held *qhmemory.Charge
	// done is closed once response or failure is set.
	done     chan struct{}
	response *targetResponse
	failure  *failure
}

// mayRunConcurrently reports whether the call may run concurrently with other
// calls of its connection: it has a safe method, may be executed more than
// once, and has no body.
func (c *call) mayRunConcurrently() bool {
	safe := c.request.Method == http.MethodGet || c.request.Method == http.MethodHead
	return safe && c.route.Retry == qhconfig.RetrySafe && c.request.ContentLength == 0
}

// startPipelinedCall starts the call of a request that the server has not read
// yet. It returns nil if the call has to wait until the server reads the
// request.
func (p *Proxy) startPipelinedCall(conn *callerConn, head []byte) *pipelinedCall {
	if p.shutdown.Load() != nil {
		return nil // the connection will be closed
	}
	held, ok := conn.held.client.Admit(qhmemory.HeadCost(head))
	if !ok {
		return nil
	}
	pipelined := p.startAdmitted(conn, head)
	if pipelined == nil {
		held.Release()
		return nil
	}
	pipelined.held = held
	return pipelined
}

// startAdmitted starts the call of a request that there is memory for.
func (p *Proxy) startAdmitted(conn *callerConn, head []byte) *pipelinedCall {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return nil // the server will refuse it
	}
	if r.ContentLength != 0 {
		return nil // its body comes behind it
	}
	r.RemoteAddr = conn.RemoteAddr().String()
	r = r.WithContext(withConn(p.baseContext, conn))
	c := &call{proxy: p, request: r, id: p.requestID(r)}
	if !p.callerCalls.tryAdd() {
		return nil
	}
	deadline, f := c.prepare(nil)
	if f != nil || !c.mayRunConcurrently() || p.callerCalls.count.Load() > maxInFlight {
		p.callerCalls.done()
		return nil
	}
	p.counters.calls.Inc()
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	pipelined := &pipelinedCall{call: c, started: time.Now(), deadline: deadline, cancel: cancel, done: make(chan struct{})}
	p.group.Go(func(context.Context) {
		defer close(pipelined.done)
		defer func() {
			if cause := recover(); cause != nil { // the HTTP server only recovers its own goroutines
				pipelined.response, pipelined.failure = nil, c.panicFailure(cause)
			}
		}()
		pipelined.response, pipelined.failure = c.claimAndSend(ctx)
		if pipelined.failure == nil {
			pipelined.failure = pipelined.response.bufferBody(clientOf(r))
		}
	})
	return pipelined
}

// panicFailure logs the cause of a panic and returns the failure of its call, which may
// have been executed.
func (c *call) panicFailure(cause any) *failure {
	c.proxy.Log.Error("call panicked", zap.String("request", string(c.id)), zap.Any("cause", cause), zap.Stack("stack"))
	return outcomeUnknown(qhdecision.InternalError, http.StatusBadGateway, "the node failed to process the call")
}

// servePipelined writes the response of a pipelined call after the server has
// read its request.
func (p *Proxy) servePipelined(w http.ResponseWriter, pipelined *pipelinedCall, conn *callerConn) {
	defer p.callerCalls.done()
	defer pipelined.cancel()
	defer pipelined.held.Release()
	w.Header()[qhheader.RequestID] = []string{string(pipelined.call.id)}
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(laterOf(pipelined.deadline, time.Now()).Add(deadlineMargin)) // without write deadlines, the call's context still bounds it
	defer conn.trackCall(pipelined.cancel, true)()
	<-pipelined.done
	pipelined.call.writeResult(w, pipelined.response, pipelined.failure, pipelined.started)
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// abandon cancels a call whose response can no longer be written.
func (p *pipelinedCall) abandon(group *qhgroup.Group) {
	p.cancel()
	group.Go(func(context.Context) {
		<-p.done
		defer p.call.proxy.callerCalls.done()
		defer p.held.Release()
		d := p.call.newDecision()
		d.Kind, d.Reason, d.Detail = qhdecision.Truncated, qhdecision.CallerGone, "the caller's connection closed before the pipelined response was written"
		p.call.proxy.recordDecision(d)
		if p.response != nil && p.failure == nil {
			_ = p.response.Body.Close() // the response is discarded
			p.response.release()
		}
	})
}

// bufferBody reads a small response to a client completely, so that a truncated one does not
// close the connection on which other responses are pending.
func (r *targetResponse) bufferBody(client *qhmemory.Client) *failure {
	if qhid.Bytes(r.ContentLength) > maxBufferedResponse || len(r.Trailer) > 0 {
		return nil
	}
	r.hold(client, bufferedSize(r.ContentLength))
	data, err := io.ReadAll(io.LimitReader(r.Body, int64(maxBufferedResponse)+1))
	if err == nil && qhid.Bytes(len(data)) > maxBufferedResponse {
		r.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(data), r.Body), Closer: r.Body}
		return nil
	}
	_ = r.Body.Close() // err tells whether the body is complete
	if err != nil {
		if r.onTruncated != nil {
			r.onTruncated(err)
		}
		r.release()
		return truncatedFailure(err)
	}
	r.Body = io.NopCloser(bytes.NewReader(data))
	return nil
}

// truncatedFailure returns the failure of a call whose response ended early with err.
func truncatedFailure(err error) *failure {
	if errors.Is(err, context.DeadlineExceeded) {
		return outcomeUnknown(qhdecision.DeadlineExceeded, http.StatusGatewayTimeout, "the target's response did not end before the deadline of the call")
	}
	return outcomeUnknown(qhdecision.ResponseTruncated, http.StatusBadGateway, "the target's response was truncated: "+err.Error())
}

// prefixedBody is a body of which a part was read already.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// holdsBack reports whether the responses of other calls wait for that of the current one. If
// not, no further calls are started until it is written, so that it can be streamed. c may be
// nil.
func (c *callerConn) holdsBack() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pipelined) > 0 {
		return true
	}
	c.concurrent = false
	return false
}

// startPipelinedCalls starts the calls of the requests after the current one,
// while they may run concurrently with it. c.mu must be held.
func (c *callerConn) startPipelinedCalls() {
	for c.startCall != nil && c.cancelCall != nil && c.concurrent && len(c.pipelined) < maxPipelined && c.startNextRead() {
		head, requestNumber := c.splitter.nextHead(c.buffered)
		if head == nil {
			return
		}
		pipelined := c.startCall(head)
		if pipelined == nil {
			c.concurrent = false // the requests after it wait until the server has handled it
			return
		}
		pipelined.requestNumber = requestNumber
		c.splitter.markScanned(head)
		c.pipelined = append(c.pipelined, pipelined)
	}
}

// startNextRead starts the call of the request that the server reads ahead of its
// handler, if there is one. It returns false if that call has to wait, and with it
// those of the requests behind it. c.mu must be held.
func (c *callerConn) startNextRead() bool {
	number := c.splitter.started
	if number <= c.served || len(c.pipelined) > 0 && c.pipelined[len(c.pipelined)-1].requestNumber >= number {
		return true
	}
	if number > c.served+1 || len(c.startedHead) == 0 {
		return false
	}
	pipelined := c.startCall(c.startedHead)
	if pipelined == nil {
		return false
	}
	pipelined.requestNumber = number
	c.pipelined = append(c.pipelined, pipelined)
	return true
}

// beginRequest records that the server has read a request, and returns its
// pipelined call if one was started.
func (c *callerConn) beginRequest(r *http.Request) *pipelinedCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.ProtoMajor != 1 {
		return nil
	}
	c.served++
	c.serving = true
	if len(c.pipelined) == 0 || c.pipelined[0].requestNumber > c.served && c.pipelined[0].requestNumber == c.splitter.started+1 {
		return nil
	}
	pipelined := c.pipelined[0]
	if pipelined.requestNumber != c.served || !pipelined.call.matches(r) {
		c.abandonPipelined() // the server answered a request without the handler, so the numbers don't match
		return nil
	}
	c.pipelined = c.pipelined[1:]
	return pipelined
}

// matches reports whether the call belongs to the request.
func (c *call) matches(r *http.Request) bool {
	id := r.Header.Get(qhheader.RequestID)
	return c.request.Method == r.Method && c.request.RequestURI == r.RequestURI && c.request.Host == r.Host && (id == "" || id == string(c.id))
}

// endRequest records that the server has finished a request.
func (c *callerConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = false
	c.finished++
	c.held.head.Release()
	c.wakeReader()
}

// Close closes the connection and abandons its pipelined calls.
func (c *callerConn) Close() error {
	c.mu.Lock()
	c.abandonPipelined()
	c.held.close()
	c.readAborted = true
	c.wakeReader()
	c.mu.Unlock()
	if c.onClose != nil {
		c.onClose()
	}
	return c.Conn.Close()
}

// endPipelining starts no more pipelined calls if none is pending, and reports whether that
// is so.
func (c *callerConn) endPipelining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pipelined) > 0 {
		return false
	}
	c.startCall = nil
	return true
}

// abandonPipelined abandons the pipelined calls and starts no more. c.mu must
// be held.
func (c *callerConn) abandonPipelined() {
	for _, pipelined := range c.pipelined {
		pipelined.abandon(c.group)
	}
	c.pipelined, c.startCall = nil, nil
}
