package qhwire

import (
	"context"
	"encoding/json"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/jsonrpc2"

	"quetzalhaven.dev/qherr"
)

// Kind is the kind of a message. It is short, since each message carries it.
type Kind string

// handler takes the parameters of one message.
type handler struct {
	// call answers a request; nil for a notice.
	call func(ctx context.Context, link *Link, params []byte) (any, error)
	// notice takes a notice; nil for a request.
	notice func(ctx context.Context, link *Link, params []byte)
}

// Mux finds the handler of a message. It is filled before it is used.
type Mux struct {
	handlers map[Kind]handler
}

// NewMux returns a Mux without handlers.
func NewMux() *Mux { return &Mux{handlers: make(map[Kind]handler)} }

// HandleCall answers requests of the kind. Requests run beside each other.
func HandleCall[Q, A any](mux *Mux, kind Kind, f func(ctx context.Context, link *Link, question Q) (A, error)) {
	mux.handlers[kind] = handler{call: func(ctx context.Context, link *Link, params []byte) (any, error) {
		question, err := decode[Q](params)
		if err != nil {
			return nil, err
		}
		return f(ctx, link, question)
	}}
}

// HandleNotice takes notices of the kind, in the order in which they come. f
// must not wait for an answer on the same link.
func HandleNotice[Q any](mux *Mux, kind Kind, f func(ctx context.Context, link *Link, notice Q)) {
	mux.handlers[kind] = handler{notice: func(ctx context.Context, link *Link, params []byte) {
		notice, err := decode[Q](params)
		if err != nil {
			link.fail(err)
			return
		}
		f(ctx, link, notice)
	}}
}

func decode[Q any](params []byte) (Q, error) {
	var question Q
	if err := json.Unmarshal(params, &question); err != nil {
		return question, qherr.New(qherr.BadInput, err, "run the same release on all nodes", "message cannot be decoded")
	}
	return question, nil
}

// Handle passes a message to its handler. It is called by the link's reader.
func (l *Link) Handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	found := l.mux.handlers[Kind(req.Method)]
	params := []byte("null")
	if req.Params != nil {
		params = *req.Params
	}
	switch {
	case req.Notif && found.notice != nil:
		found.notice(ctx, l, params)
	case !req.Notif && found.call != nil:
		l.answer(req.ID, params, found) //nolint:contextcheck // an answer has the group's context
	case !req.Notif:
		l.refuse(ctx, req.ID, "unknown kind of request "+req.Method)
	}
}

// answer runs a request in the link's group, or refuses it where too many run.
func (l *Link) answer(id jsonrpc2.ID, params []byte, found handler) {
	select {
	case l.running <- struct{}{}:
	default:
		l.refuse(l.group.Context(), id, "too many requests on one link")
		return
	}
	l.group.Go(func(ctx context.Context) {
		defer func() { <-l.running }()
		answer, err := found.call(ctx, l, params)
		if err != nil {
			l.refuse(ctx, id, trace.UserMessage(err))
			return
		}
		if err := l.conn.Reply(ctx, id, answer); err != nil {
			l.fail(err)
		}
	})
}

func (l *Link) refuse(ctx context.Context, id jsonrpc2.ID, reason string) {
	refusal := &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: reason}
	if err := l.conn.ReplyWithError(ctx, id, refusal); err != nil {
		l.fail(err)
	}
}
