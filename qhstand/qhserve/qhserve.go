// Package qhserve runs the HTTP server of a test server until its context is
// cancelled, then shuts it down gracefully.
package qhserve

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
)

// headerTimeout bounds how long a client may take to send its headers.
const headerTimeout = 10 * time.Second

// Options configures Run.
type Options struct {
	// Listen is the address to listen on; port 0 selects a free port.
	Listen  string
	Handler http.Handler
	// ConnState is the ConnState hook of the http.Server; may be nil.
	ConnState func(net.Conn, http.ConnState)
	// Output receives Ready as one line of JSON once the server is listening.
	Output io.Writer
	// ShutdownTimeout bounds OnShutdown and the wait for in-flight requests.
	ShutdownTimeout time.Duration
	// OnListening is called with the bound address before Ready is written to
	// Output; may be nil.
	OnListening func(ctx context.Context, address qhid.Address)
	// OnShutdown is called after ctx was cancelled or serving failed, before
	// the server is shut down; may be nil.
	OnShutdown func(ctx context.Context)
}

// Ready is the line that a test server prints when it accepts requests.
type Ready struct {
	Address qhid.Address `json:"address"`
}

// Run serves until ctx is cancelled, then waits for in-flight requests within
// ShutdownTimeout. The error is of kind BadInput if it cannot listen.
func Run(ctx context.Context, opts Options) error {
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(ctx, "tcp", opts.Listen)
	if err != nil {
		return qherr.New(qherr.BadInput, err, "choose a free address by --listen", "cannot listen on %s", opts.Listen)
	}
	server := &http.Server{
		Handler:           opts.Handler,
		ConnState:         opts.ConnState,
		ReadHeaderTimeout: headerTimeout,
	}
	serveErr := make(chan error, 1)
	group, stop := qhgroup.New(context.WithoutCancel(ctx))
	defer stop()
	group.Go(func(context.Context) { serveErr <- server.Serve(listener) })
	err = opts.reportReady(ctx, listener)
	if err == nil {
		select {
		case <-ctx.Done():
		case err = <-serveErr:
		}
	}
	opts.shutDown(context.WithoutCancel(ctx), server)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (o Options) reportReady(ctx context.Context, listener net.Listener) error {
	ready := Ready{Address: qhid.Address(listener.Addr().String())}
	if o.OnListening != nil {
		o.OnListening(ctx, ready.Address)
	}
	return json.NewEncoder(o.Output).Encode(ready)
}

func (o Options) shutDown(ctx context.Context, server *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, o.ShutdownTimeout)
	defer cancel()
	if o.OnShutdown != nil {
		o.OnShutdown(ctx)
	}
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close() // cancels the requests still in flight at the shutdown timeout
	}
}
