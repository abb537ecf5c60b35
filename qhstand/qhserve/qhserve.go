// Package qhserve runs the HTTP server of a stand-in until its context ends.
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

// Options are the options of Run.
type Options struct {
	// Listen is the address to listen on; port 0 takes any.
	Listen  string
	Handler http.Handler
	// ConnState is called when a connection changes its state; may be nil.
	ConnState func(net.Conn, http.ConnState)
	// Out gets Ready as one line of JSON.
	Out io.Writer
	// Grace bounds how long a stop waits for calls in flight.
	Grace time.Duration
	// Started is called with the bound address before Out gets its line; may be nil.
	Started func(ctx context.Context, address qhid.Address)
	// Stopping is called when the context has ended, before the server stops; may be nil.
	Stopping func(ctx context.Context)
}

// Ready is what a stand-in prints when it takes calls.
type Ready struct {
	Address qhid.Address `json:"address"`
}

// Run serves until ctx ends, then lets calls in flight end within the grace.
func Run(ctx context.Context, opts Options) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", opts.Listen)
	if err != nil {
		return qherr.New(qherr.BadInput, err, "choose a free address by --listen", "cannot listen on %s", opts.Listen)
	}
	server := &http.Server{
		Handler:           opts.Handler,
		ConnState:         opts.ConnState,
		ReadHeaderTimeout: headerTimeout,
	}
	failed := make(chan error, 1)
	group, stop := qhgroup.New(context.WithoutCancel(ctx))
	defer stop()
	group.Go(func(context.Context) { failed <- server.Serve(listener) })
	err = opts.start(ctx, listener)
	if err == nil {
		select {
		case <-ctx.Done():
		case err = <-failed:
		}
	}
	opts.stop(context.WithoutCancel(ctx), server)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (o Options) start(ctx context.Context, listener net.Listener) error {
	ready := Ready{Address: qhid.Address(listener.Addr().String())}
	if o.Started != nil {
		o.Started(ctx, ready.Address)
	}
	return json.NewEncoder(o.Out).Encode(ready)
}

func (o Options) stop(ctx context.Context, server *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, o.Grace)
	defer cancel()
	if o.Stopping != nil {
		o.Stopping(ctx)
	}
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close() // the grace has passed
	}
}
