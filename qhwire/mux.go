package qhwire

import (
	"context"
	"encoding/json"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/jsonrpc2"

	"quetzalhaven.dev/qherr"
)

// Kind is the JSON-RPC method name of a message. Names are short because every
// message carries one.
type Kind string

// handler handles the messages of one kind; one of its functions is set.
type handler struct {
	// request handles a request and returns the response; nil for a notice.
	request func(ctx context.Context, link *Link, params []byte) (any, error)
	// notice handles a notice; nil for a request.
	notice func(ctx context.Context, link *Link, params []byte)
}

// Mux maps kinds of messages to handlers. All handlers must be registered before
// the Mux is used.
type Mux struct {
	handlers map[Kind]handler
}

// NewMux returns a Mux without handlers.
func NewMux() *Mux { return &Mux{handlers: make(map[Kind]handler)} }

// HandleRequest registers a handler for requests of the kind. Requests are handled
// concurrently.
func HandleRequest[Req, Resp any](mux *Mux, kind Kind, f func(ctx context.Context, link *Link, request Req) (Resp, error)) {
	mux.handlers[kind] = handler{request: func(ctx context.Context, link *Link, params []byte) (any, error) {
		request, err := decode[Req](params)
		if err != nil {
			return nil, err
		}
		return f(ctx, link, request)
	}}
}

// HandleNotice registers a handler for notices of the kind. Notices are handled
// in the order in which they arrive. f must not wait for a response on the same
// link.
func HandleNotice[Notice any](mux *Mux, kind Kind, f func(ctx context.Context, link *Link, notice Notice)) {
	mux.handlers[kind] = handler{notice: func(ctx context.Context, link *Link, params []byte) {
		notice, err := decode[Notice](params)
		if err != nil {
			link.closeWithError(err)
			return
		}
		f(ctx, link, notice)
	}}
}

// decode decodes the JSON parameters of a message. Errors are of kind BadInput.
func decode[T any](params []byte) (T, error) {
	var value T
	if err := json.Unmarshal(params, &value); err != nil {
		return value, qherr.New(qherr.BadInput, err, "run the same release on all nodes", "message cannot be decoded")
	}
	return value, nil
}

// Handle passes a message to its handler. It implements jsonrpc2.Handler and is
// called by the goroutine that reads the link.
func (l *Link) Handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	matched := l.mux.handlers[Kind(req.Method)]
	params := []byte("null")
	if req.Params != nil {
		params = *req.Params
	}
	switch {
	case req.Notif && matched.notice != nil:
		matched.notice(ctx, l, params)
	case !req.Notif && matched.request != nil:
		l.runRequest(req.ID, params, matched) //nolint:contextcheck // the response has the group's context
	case !req.Notif:
		l.replyError(ctx, req.ID, "unknown kind of request "+req.Method)
	}
}

// runRequest handles a request in the link's group, or refuses it if too many
// are running.
func (l *Link) runRequest(id jsonrpc2.ID, params []byte, matched handler) {
	select {
	case l.requestSlots <- struct{}{}:
	default:
		l.replyError(l.group.Context(), id, "too many requests on one link")
		return
	}
	l.group.Go(func(ctx context.Context) {
		defer func() { <-l.requestSlots }()
		response, err := matched.request(ctx, l, params)
		if err != nil {
			l.replyError(ctx, id, trace.UserMessage(err))
			return
		}
		if err := l.conn.Reply(ctx, id, response); err != nil {
			l.closeWithError(err)
		}
	})
}

func (l *Link) replyError(ctx context.Context, id jsonrpc2.ID, reason string) {
	response := &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: reason}
	if err := l.conn.ReplyWithError(ctx, id, response); err != nil {
		l.closeWithError(err)
	}
}
