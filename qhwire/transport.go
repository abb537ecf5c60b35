package qhwire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
)

// maxInbound bounds the links that a node takes from others.
const maxInbound = 256

// acceptPause is the wait after a listener failed to accept.
const acceptPause = 50 * time.Millisecond

// Options is what a transport needs. All fields but Dial are required.
type Options struct {
	Mux *Mux
	// Heartbeat is the period of frames on a quiet link.
	Heartbeat time.Duration
	// Silence is after how long without a frame a link has ended.
	Silence time.Duration
	// Timeout bounds a dial and a write.
	Timeout time.Duration
	// Dial opens a connection; that of package net where it is nil.
	Dial    func(ctx context.Context, address qhid.Address) (net.Conn, error)
	Log     *zap.Logger
	Metrics *metrics.Set
}

// Transport makes links.
type Transport struct {
	options Options
	group   *qhgroup.Group
	counter *counter
	inbound chan struct{}
}

// New returns a transport and its clean-up, which ends all its links.
func New(ctx context.Context, options Options) (*Transport, func()) {
	if options.Dial == nil {
		options.Dial = dial
	}
	group, stop := qhgroup.New(ctx)
	return &Transport{
		options: options,
		group:   group,
		counter: &counter{set: options.Metrics},
		inbound: make(chan struct{}, maxInbound),
	}, stop
}

func dial(ctx context.Context, address qhid.Address) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", string(address))
}

// Dial returns a link to the address. Errors are of kind Unavailable and wrap
// those of package net.
func (t *Transport) Dial(ctx context.Context, address qhid.Address) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, t.options.Timeout)
	defer cancel()
	conn, err := t.options.Dial(ctx, address)
	if err != nil {
		return nil, qherr.New(qherr.Unavailable, err, "ask another node", "node at %s cannot be reached", address)
	}
	return t.link(conn, func() {}), nil //nolint:contextcheck // a link outlives its dial
}

// Serve takes links from the listener until the transport ends, and closes it then.
func (t *Transport) Serve(listener net.Listener) {
	t.group.Go(func(ctx context.Context) {
		<-ctx.Done()
		_ = listener.Close() // nothing is left to do with it
	})
	t.group.Go(func(ctx context.Context) {
		for ctx.Err() == nil {
			t.accept(ctx, listener)
		}
	})
}

func (t *Transport) accept(ctx context.Context, listener net.Listener) {
	conn, err := listener.Accept()
	if errors.Is(err, net.ErrClosed) {
		<-ctx.Done()
		return
	}
	if err != nil {
		t.options.Log.Warn("peers' listener fails", zap.Error(err))
		time.Sleep(acceptPause)
		return
	}
	select {
	case t.inbound <- struct{}{}:
		t.link(conn, func() { <-t.inbound }) //nolint:contextcheck // a link has the transport's context
	default:
		_ = conn.Close() // over the limit
	}
}

// link runs a link over the connection and calls ended after it.
func (t *Transport) link(conn net.Conn, ended func()) *Link {
	ctx := t.group.Context()
	link := &Link{
		mux:     t.options.Mux,
		group:   t.group,
		log:     t.options.Log,
		counter: t.counter,
		running: make(chan struct{}, maxRequests),
	}
	link.stream = newStream(conn, t.options.Timeout, link.countSent, link.countBeat)
	logger := jsonrpc2.SetLogger(quiet{t.options.Log})
	link.conn = jsonrpc2.NewConn(ctx, link.stream, link, logger,
		jsonrpc2.OnSend(link.onSend), jsonrpc2.OnRecv(link.onReceive))
	close(link.stream.open)
	t.group.Go(func(ctx context.Context) {
		defer ended()
		link.watch(ctx, t.options.Heartbeat, t.options.Silence)
		<-link.stream.ended
	})
	return link
}

// quiet writes what jsonrpc2 logs at the level for debugging.
type quiet struct {
	log *zap.Logger
}

// Printf logs one line.
func (q quiet) Printf(format string, values ...any) {
	q.log.Debug("jsonrpc2", zap.String("line", fmt.Sprintf(format, values...)))
}
