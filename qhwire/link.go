package qhwire

import (
	"context"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgroup"
)

// maxRequests bounds the requests of a peer that run at a time on one link.
const maxRequests = 16

// Link is one connection between two nodes. Both ends send requests and notices.
type Link struct {
	conn    *jsonrpc2.Conn
	stream  *stream
	mux     *Mux
	group   *qhgroup.Group
	log     *zap.Logger
	counter *counter
	running chan struct{}
	// sending is the kind that is being written; jsonrpc2 holds its lock from
	// onSend until the frame is written.
	sending Kind
}

// Call sends a request and waits for its answer. Errors are of kind Unavailable.
func Call[A any](ctx context.Context, link *Link, kind Kind, question any) (A, error) {
	var answer A
	if err := link.conn.Call(ctx, string(kind), question, &answer); err != nil {
		return answer, qherr.New(qherr.Unavailable, err, "ask another node", "node at %s gave no answer to %s", link.Remote(), kind)
	}
	return answer, nil
}

// Notify sends a notice. An error is of kind Unavailable and ends the link.
func (l *Link) Notify(ctx context.Context, kind Kind, notice any) error {
	if err := l.conn.Notify(ctx, string(kind), notice); err != nil {
		l.fail(err)
		return qherr.New(qherr.Unavailable, err, "ask another node", "node at %s takes no messages", l.Remote())
	}
	return nil
}

// Remote returns the address of the other end.
func (l *Link) Remote() string { return l.stream.conn.RemoteAddr().String() }

// Heard returns when the last frame came.
func (l *Link) Heard() time.Time { return *l.stream.read.Load() }

// Done is closed when the link has ended.
func (l *Link) Done() <-chan struct{} { return l.conn.DisconnectNotify() }

// Close ends the link. What is sent but not answered fails.
func (l *Link) Close() { _ = l.conn.Close() } // the other way to end is that it has ended

func (l *Link) fail(err error) {
	l.log.Debug("link ends", zap.String("peer", l.Remote()), zap.Error(err))
	l.Close()
}

// onSend notes the kind for the frame that is written next.
func (l *Link) onSend(req *jsonrpc2.Request, _ *jsonrpc2.Response) {
	l.sending = kindAnswer
	if req != nil {
		l.sending = Kind(req.Method)
	}
}

// onReceive counts the frame that was read last.
func (l *Link) onReceive(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	kind := kindAnswer
	if req != nil && resp == nil && l.known(Kind(req.Method)) {
		kind = Kind(req.Method)
	}
	l.counter.add(directionIn, kind, l.stream.received)
}

func (l *Link) countSent(size int) { l.counter.add(directionOut, l.sending, size) }

func (l *Link) countBeat(size int) { l.counter.add(directionOut, kindBeat, size) }

func (l *Link) known(kind Kind) bool {
	_, ok := l.mux.handlers[kind]
	return ok
}

// watch sends heartbeats while the link is quiet, and ends it when nothing has
// come for the silence. A check that comes late itself, as after a pause of the
// process, judges nobody: what came meanwhile is not read yet.
func (l *Link) watch(ctx context.Context, heartbeat, silence time.Duration) {
	period := heartbeat / heartbeatChecks
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
		late := now.Sub(last) > heartbeat
		last = now
		if !late && now.Sub(l.Heard()) > silence {
			l.fail(qherr.New(qherr.Unavailable, nil, "wait for the next link", "nothing heard for %s", silence))
			return
		}
		l.keep(now, heartbeat)
	}
}

// heartbeatChecks is how many times a heartbeat period a link is looked at.
const heartbeatChecks = 4

func (l *Link) keep(now time.Time, heartbeat time.Duration) {
	if now.Sub(*l.stream.wrote.Load()) < heartbeat-heartbeat/heartbeatChecks {
		return
	}
	if err := l.stream.beat(); err != nil {
		l.fail(err)
	}
}
