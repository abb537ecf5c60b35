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

// maxInboundLinks bounds the links accepted from other nodes.
const maxInboundLinks = 256

// acceptRetryDelay is the delay before the next attempt after the listener failed
// to accept a connection.
const acceptRetryDelay = 50 * time.Millisecond

// Options configures a transport. All fields except Dial are required.
type Options struct {
	Mux *Mux
	// HeartbeatPeriod is the longest time between two frames sent on a link.
	HeartbeatPeriod time.Duration
	// SilenceTimeout is the time without a received frame after which a link is
	// closed.
	SilenceTimeout time.Duration
	// IOTimeout bounds a dial and a write.
	IOTimeout time.Duration
	// Dial opens a connection; nil uses package net.
	Dial    func(ctx context.Context, address qhid.Address) (net.Conn, error)
	Log     *zap.Logger
	Metrics *metrics.Set
}

// Transport opens and accepts links.
type Transport struct {
	options      Options
	group        *qhgroup.Group
	counter      *trafficCounter
	inboundSlots chan struct{}
}

// New returns a transport and a function that closes all its links.
func New(ctx context.Context, options Options) (*Transport, func()) {
	if options.Dial == nil {
		options.Dial = dial
	}
	group, stop := qhgroup.New(ctx)
	return &Transport{
		options:      options,
		group:        group,
		counter:      &trafficCounter{set: options.Metrics},
		inboundSlots: make(chan struct{}, maxInboundLinks),
	}, stop
}

func dial(ctx context.Context, address qhid.Address) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", string(address))
}

// Dial opens a link to the address. Errors are of kind Unavailable and wrap
// those of package net.
func (t *Transport) Dial(ctx context.Context, address qhid.Address) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, t.options.IOTimeout)
	defer cancel()
	conn, err := t.options.Dial(ctx, address)
	if err != nil {
		return nil, qherr.New(qherr.Unavailable, err, "ask another node", "node at %s cannot be reached", address)
	}
	return t.newLink(conn, func() {}), nil //nolint:contextcheck // a link outlives its dial
}

// Serve accepts links on the listener until the transport ends, and then closes
// the listener.
func (t *Transport) Serve(listener net.Listener) {
	t.group.Go(func(ctx context.Context) {
		<-ctx.Done()
		_ = listener.Close() // an error does not matter, because the transport has ended
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
		t.options.Log.Warn("cannot accept connection from peer", zap.Error(err))
		time.Sleep(acceptRetryDelay)
		return
	}
	select {
	case t.inboundSlots <- struct{}{}:
		t.newLink(conn, func() { <-t.inboundSlots }) //nolint:contextcheck // a link has the transport's context
	default:
		_ = conn.Close() // maxInboundLinks is reached
	}
}

// newLink starts a link over the connection and calls onEnd when the link has
// closed.
func (t *Transport) newLink(conn net.Conn, onEnd func()) *Link {
	ctx := t.group.Context()
	link := &Link{
		mux:          t.options.Mux,
		group:        t.group,
		log:          t.options.Log,
		counter:      t.counter,
		requestSlots: make(chan struct{}, maxConcurrentRequests),
	}
	link.stream = newStream(conn, t.options.IOTimeout, link.countSent, link.countHeartbeat)
	logger := jsonrpc2.SetLogger(debugLogger{t.options.Log})
	link.conn = jsonrpc2.NewConn(ctx, link.stream, link, logger,
		jsonrpc2.OnSend(link.onSend), jsonrpc2.OnRecv(link.onReceive))
	close(link.stream.readable)
	t.group.Go(func(ctx context.Context) {
		defer onEnd()
		link.monitor(ctx, t.options.HeartbeatPeriod, t.options.SilenceTimeout)
		<-link.stream.readerDone
	})
	return link
}

// debugLogger writes the log lines of jsonrpc2 at debug level.
type debugLogger struct {
	log *zap.Logger
}

// Printf logs one line of jsonrpc2.
func (l debugLogger) Printf(format string, values ...any) {
	l.log.Debug("jsonrpc2", zap.String("line", fmt.Sprintf(format, values...)))
}
