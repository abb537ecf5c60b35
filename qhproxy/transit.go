package qhproxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qhclock"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhmemory"
	"quetzalhaven.dev/qhtransit"
)

// noticedDelay is the delay of a forwarded call between its sender and its target from
// which on it is logged.
const noticedDelay = 500 * time.Millisecond

// nodeListener accepts connections of other nodes as *nodeConn.
type nodeListener struct {
	net.Listener
	proxy *Proxy
}

// Accept waits for the next connection.
func (l nodeListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	client := l.proxy.openClient(conn)
	client.KeepWhileCalling()
	return &nodeConn{
		Conn: conn, transit: qhtransit.NewConn(qhclock.Now()),
		client: client, frames: newHeldFrames(client, l.proxy.maxForwardedHead()),
	}, nil
}

// nodeConn is a connection of another node.
type nodeConn struct {
	net.Conn
	transit *qhtransit.Conn
	// client and frames are the account of what is held in memory for the connection.
	client *qhmemory.Client
	frames *heldFrames
}

// Read reads into b and records that bytes were received.
func (c *nodeConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.transit.Hear(qhclock.Now())
		c.client.Progress()
		c.frames.scan(b[:n])
	}
	return n, err
}

// Close closes the connection.
func (c *nodeConn) Close() error {
	c.frames.release()
	c.client.Close()
	return c.Conn.Close()
}

// NodesListener wraps the listener that the NodesServer serves on.
func (p *Proxy) NodesListener(listener net.Listener) net.Listener {
	return nodeListener{Listener: listener, proxy: p}
}

// nodeConnKey is the context key of the connection of another node.
type nodeConnKey struct{}

// withNodeConn is the ConnContext function of the nodes' server, which serves on a
// NodesListener.
func withNodeConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, nodeConnKey{}, conn.(*nodeConn))
}

// nodeConnOf returns the connection on which another node has sent a call.
func nodeConnOf(r *http.Request) *nodeConn { return r.Context().Value(nodeConnKey{}).(*nodeConn) }

// arrivalOf returns the arrival of a call of another node that was just received.
func arrivalOf(r *http.Request) *qhtransit.Arrival {
	conn := nodeConnOf(r).transit
	sent, err := strconv.ParseInt(r.Header.Get(qhheader.NodeSent), 10, 64)
	arrival := conn.Arrive(qhtransit.Stamp{
		Sent: time.Duration(sent) * time.Millisecond, Known: err == nil, // earlier releases do not set it
		Refused: r.Header.Get(qhheader.NodeDelayed),
	}, qhclock.Now())
	return &arrival
}

// observeDelay counts and logs how long a forwarded call took until it is sent to its
// target.
func (p *Proxy) observeDelay(a *qhtransit.Arrival, request qhid.Request, target qhid.Target) {
	if a == nil {
		return
	}
	held := qhclock.Now().Since(a.Received)
	p.counters.forwardedAge.add(a.Age)
	p.counters.forwardedHeld.add(held)
	if a.Age+held >= noticedDelay {
		p.Log.Warn("forwarded call delayed", zap.String("request", string(request)), zap.String("target", string(target)),
			zap.Duration("age", a.Age), zap.Duration("held", held))
	}
}

// Errors of a call that is not passed to its target.
var (
	errDelayed    = errors.New("the call was delayed, and its caller may have left")   //nolint:gochecknoglobals // a sentinel
	errExpired    = errors.New("the deadline passed before the call reached a target") //nolint:gochecknoglobals // a sentinel
	errCallerGone = errors.New("the caller has closed its connection")                 //nolint:gochecknoglobals // a sentinel
)

// startCheck returns a function that reports why a call must not reach its target at the
// moment when it is asked, or nil if it may. permission may be nil.
func startCheck(ctx context.Context, out *outgoingCall, permission func() error) func() error {
	deadline, _ := ctx.Deadline()
	return func() error {
		switch {
		case ctx.Err() != nil:
			return context.Cause(ctx)
		case time.Until(deadline) <= 0: // a process that stood still runs its timers late
			return errExpired
		case out.arrived != nil && !out.arrived.IsCurrent(qhclock.Now()):
			return errDelayed
		case out.callerGone != nil && out.callerGone():
			return errCallerGone
		case permission != nil:
			return permission()
		}
		return nil
	}
}

// startFailure returns the failure of a call that a check before its start stopped, or nil
// if err has another cause.
func (p *Proxy) startFailure(err error, arrival *qhtransit.Arrival) *failure {
	switch {
	case errors.Is(err, errDelayed):
		return delayedFailure(arrival)
	case errors.Is(err, errCallerGone):
		return callerGoneFailure()
	case errors.Is(err, errExpired):
		return notExecuted(qhdecision.DeadlineExceeded, http.StatusServiceUnavailable, defaultRetryAfter, errExpired.Error())
	}
	return p.permissionFailure(err)
}

// delayedFailure returns the failure of a forwarded call that its sender has to send again
// if its caller still waits.
func delayedFailure(arrival *qhtransit.Arrival) *failure {
	now := qhclock.Now()
	f := notExecuted(qhdecision.Delayed, http.StatusServiceUnavailable, defaultRetryAfter,
		fmt.Sprintf("%v: %s on its way, then held for %s", errDelayed, arrival.Age, now.Since(arrival.Received)))
	f.Delayed = qhtransit.Refusal(now)
	return f
}

// dispatch sends the call to the endpoint, once more if the endpoint's node asks whether
// the caller still waits.
func (c *call) dispatch(ctx context.Context, endpoint *qhmember.Endpoint, queueWait time.Duration) (*targetResponse, *failure) {
	if f := c.callerGone(ctx); f != nil {
		return nil, f
	}
	c.delayed = ""
	resp, f := c.dispatchOnce(ctx, endpoint, queueWait)
	if f == nil || !c.maySendAgain(ctx, f) {
		return resp, f
	}
	c.delayed = f.Delayed
	c.recordRetry(f, endpoint)
	return c.dispatchOnce(ctx, endpoint, queueWait)
}

// maySendAgain reports whether the call may be sent to the same endpoint again after the
// failure, because its node asks whether the caller still waits and it does.
func (c *call) maySendAgain(ctx context.Context, f *failure) bool {
	asked := f.Delayed != "" && f.Outcome == qhheader.OutcomeNotExecuted
	return asked && ctx.Err() == nil && c.callerGone(ctx) == nil && c.canFinish(ctx) && c.body.startNextAttempt()
}
