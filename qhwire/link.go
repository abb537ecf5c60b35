package qhwire

import (
	"context"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgroup"
)

// maxConcurrentRequests bounds the requests of a peer on one link that are handled
// concurrently. Further requests are refused.
const maxConcurrentRequests = 16

// Link is a connection between two nodes over which both send requests and
// notices.
type Link struct {
	conn         *jsonrpc2.Conn
	stream       *stream
	mux          *Mux
	group        *qhgroup.Group
	log          *zap.Logger
	counter      *trafficCounter
	requestSlots chan struct{}
	// sendingKind is the kind of the message that is being written. jsonrpc2
	// holds its lock from onSend until the frame is written, so no further lock
	// is needed.
	sendingKind Kind
}

// Request sends a request and returns the response, which is decoded as a Resp.
// Errors are of kind Unavailable.
func Request[Resp any](ctx context.Context, link *Link, kind Kind, request any) (Resp, error) {
	var response Resp
	if err := link.conn.Call(ctx, string(kind), request, &response); err != nil {
		return response, qherr.New(qherr.Unavailable, err, "ask another node", "node at %s did not respond to request %s", link.RemoteAddress(), kind)
	}
	return response, nil
}

// Notify sends a notice, which has no response. If that fails, it closes the link
// and returns an error of kind Unavailable.
func (l *Link) Notify(ctx context.Context, kind Kind, notice any) error {
	if err := l.conn.Notify(ctx, string(kind), notice); err != nil {
		l.closeWithError(err)
		return qherr.New(qherr.Unavailable, err, "ask another node", "node at %s does not accept messages", l.RemoteAddress())
	}
	return nil
}

// RemoteAddress returns the address of the peer.
func (l *Link) RemoteAddress() string { return l.stream.conn.RemoteAddr().String() }

// LastReceived returns when the last frame, heartbeats included, was received.
func (l *Link) LastReceived() time.Time { return *l.stream.lastRead.Load() }

// Done returns a channel that is closed when the link has closed.
func (l *Link) Done() <-chan struct{} { return l.conn.DisconnectNotify() }

// Close closes the link. Requests without a response yet fail.
func (l *Link) Close() { _ = l.conn.Close() } // an error means that the link is closed already

func (l *Link) closeWithError(err error) {
	l.log.Debug("link closed after an error", zap.String("peer", l.RemoteAddress()), zap.Error(err))
	l.Close()
}

// onSend records the kind of the frame that is written next. jsonrpc2 calls it
// before it writes a message.
func (l *Link) onSend(req *jsonrpc2.Request, _ *jsonrpc2.Response) {
	l.sendingKind = kindResponse
	if req != nil {
		l.sendingKind = Kind(req.Method)
	}
}

// onReceive counts the frame that was read last. Kinds without a handler count as
// responses, so that a peer cannot create arbitrary metric labels.
func (l *Link) onReceive(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	kind := kindResponse
	if req != nil && resp == nil && l.hasHandler(Kind(req.Method)) {
		kind = Kind(req.Method)
	}
	l.counter.add(directionIn, kind, l.stream.frameSize)
}

func (l *Link) countSent(size int) { l.counter.add(directionOut, l.sendingKind, size) }

func (l *Link) countHeartbeat(size int) { l.counter.add(directionOut, kindHeartbeat, size) }

func (l *Link) hasHandler(kind Kind) bool {
	_, ok := l.mux.handlers[kind]
	return ok
}

// monitor sends heartbeats while the link is idle, and closes the link if no frame
// was received within the silence timeout. A check that is itself late, for
// example because the process was paused, does not close the link, because frames
// that arrived meanwhile may not have been read yet.
func (l *Link) monitor(ctx context.Context, heartbeatPeriod, silenceTimeout time.Duration) {
	period := heartbeatPeriod / checksPerHeartbeat
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			l.Close()
			return
		case <-l.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		delayed := now.Sub(last) > heartbeatPeriod
		last = now
		if !delayed && now.Sub(l.LastReceived()) > silenceTimeout {
			l.closeWithError(qherr.New(qherr.Unavailable, nil, "reconnect", "no frame received for %s", silenceTimeout))
			return
		}
		l.sendHeartbeatIfDue(now, heartbeatPeriod)
	}
}

// checksPerHeartbeat is the number of checks of a link per heartbeat period.
const checksPerHeartbeat = 4

func (l *Link) sendHeartbeatIfDue(now time.Time, heartbeatPeriod time.Duration) {
	if now.Sub(*l.stream.lastWrite.Load()) < heartbeatPeriod-heartbeatPeriod/checksPerHeartbeat {
		return
	}
	if err := l.stream.writeHeartbeat(); err != nil {
		l.closeWithError(err)
	}
}
