package qhproxy

import (
	"context"
	"net/http"
	"time"

	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhgroup"
)

const (
	// unreadCheckInterval is how long to wait for bytes that were received on a caller's
	// connection to be read.
	unreadCheckInterval = time.Millisecond
	// maxUnreadChecks bounds how often to wait for them.
	maxUnreadChecks = 10
)

// connState is what the system knows of a connection.
type connState int

const (
	// connOpen means that the peer has not closed the connection, as far as is known.
	connOpen connState = iota
	// connUnread means that received bytes wait to be read, and maybe the end behind them.
	connUnread
	// connEnded means that the peer has closed or reset the connection.
	connEnded
)

// state returns the state of the connection. It does not block.
func (c *callerConn) state() connState {
	c.mu.Lock()
	ended, full := c.readErr != nil, len(c.buffered) >= maxReadAhead
	c.mu.Unlock()
	if ended {
		return connEnded
	}
	state := peekConn(c.Conn)
	if state == connUnread && full { // no more is read ahead of the server
		return connOpen
	}
	return state
}

// hasEnded reports whether the caller has closed the connection, as far as is known without
// waiting.
func (c *callerConn) hasEnded() bool { return c.state() == connEnded }

// awaitEnd reports whether the caller has closed the connection. It waits for a moment until
// the bytes before a possible end have been read.
func (c *callerConn) awaitEnd(ctx context.Context) bool {
	state := c.state()
	for i := 0; i < maxUnreadChecks && state == connUnread; i++ {
		qhgroup.Sleep(ctx, unreadCheckInterval)
		state = c.state()
	}
	return state == connEnded
}

// callerGone returns the failure of a call whose caller has closed its connection, or nil.
// While its body is streamed, the end of the connection is seen behind the body.
func (c *call) callerGone(ctx context.Context) *failure {
	conn := connOfRequest(c.request)
	if conn == nil || c.body.stream != nil || !conn.awaitEnd(ctx) {
		return nil
	}
	return callerGoneFailure()
}

func callerGoneFailure() *failure {
	return notExecuted(qhdecision.CallerGone, statusClientClosedRequest, 0, errCallerGone.Error())
}

// callerCheck returns a function that reports whether the caller of a request has closed its
// connection; nil if that is not known of it.
func callerCheck(r *http.Request, body *requestBody) func() bool {
	conn := connOfRequest(r)
	if conn == nil || body.stream != nil {
		return nil
	}
	return conn.hasEnded
}
