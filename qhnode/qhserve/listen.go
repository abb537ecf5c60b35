package qhserve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"quetzalhaven.dev/platform"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhoperate"
	"quetzalhaven.dev/qhproxy"
	"quetzalhaven.dev/qhsetting"
)

const (
	// controlHeaderTimeout bounds the time to read the headers of a control
	// request, that is, a request of an operator, target, peer or health check.
	controlHeaderTimeout = 5 * time.Second
	// controlReadTimeout bounds the time to read a complete control request.
	controlReadTimeout = 10 * time.Second
	// controlIdleTimeout is how long an idle connection for control requests
	// stays open.
	controlIdleTimeout = 2 * time.Minute
	// maxControlHeaderBytes bounds the size of the headers of a control
	// request.
	maxControlHeaderBytes = 16 << 10
)

// listeners has the open listeners of a node.
type listeners struct {
	callers, forwardedCalls, peers, targets, operators net.Listener
	// ready is nil if the settings have no address for health checks.
	ready net.Listener
}

// listen opens all configured listeners. If one fails, none stays open.
func listen(settings qhsetting.ListenAddresses) (listeners, func(), error) {
	var (
		opened  listeners
		cleanup cleanupStack
	)
	for _, spec := range []struct {
		key      string
		address  qhid.Address
		listener *net.Listener
	}{
		{"callers", settings.Callers, &opened.callers},
		{"calls", settings.ForwardedCalls, &opened.forwardedCalls},
		{"peers", settings.Peers, &opened.peers},
		{"targets", settings.Targets, &opened.targets},
		{"operators", settings.Operators, &opened.operators},
		{"ready", settings.Ready, &opened.ready},
	} {
		if spec.address == "" {
			continue
		}
		listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", string(spec.address))
		if err != nil {
			cleanup.run()
			return listeners{}, nil, qherr.New(qherr.Unavailable, err, "free the address or change listen."+spec.key+" in the settings", "cannot listen on %s", spec.address)
		}
		*spec.listener = listener
		cleanup.add(func() { _ = listener.Close() }) // its server may have closed it already
	}
	return opened, cleanup.run, nil
}

// serve starts the HTTP servers, except that a source without a handler for
// peers serves the listener for peers itself.
func (n *Node) serve(open listeners) {
	operators := qhoperate.New(qhoperate.Options{
		Dump:     func() any { return n.Dump() },
		Summary:  n.source.summary,
		Ready:    n.Ready,
		Explain:  func(id qhid.Request) any { return n.decisions.Find(id) },
		View:     n.members.View,
		Drain:    func() { close(n.drainRequested) },
		Rollouts: n.rolloutViews,
		Tenants:  n.tenantsView,
		Crashes:  n.crashes.Verdicts,
		Release:  n.crashes.Release,
		Metrics:  n.metrics,
	})
	n.serveOn(n.proxy.CallersListener(open.callers), n.proxy.CallersServer())
	n.serveOn(n.proxy.NodesListener(open.forwardedCalls), n.proxy.NodesServer())
	n.serveControl(open.targets, n.targetsHandler())
	n.serveControl(open.operators, operators.Handler())
	if open.ready != nil {
		n.serveControl(open.ready, platform.ReadyHandler(n.Ready))
	}
	if n.source.peers != nil {
		n.serveControl(open.peers, n.source.peers)
	}
}

// serveControl serves requests of operators, targets, peers or health checks.
func (n *Node) serveControl(listener net.Listener, handler http.Handler) {
	server := controlServer(handler)
	qhproxy.AccountControl(server)
	n.serveOn(n.proxy.ControlListener(listener, maxControlHeaderBytes), server)
}

// controlServer returns a server for requests of operators, targets, peers or
// health checks, with its limits set.
func controlServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: controlHeaderTimeout,
		ReadTimeout:       controlReadTimeout,
		IdleTimeout:       controlIdleTimeout,
		MaxHeaderBytes:    maxControlHeaderBytes,
	}
}

// serveOn serves until the server is shut down. A server that stops
// unexpectedly stops the node.
func (n *Node) serveOn(listener net.Listener, server *http.Server) {
	n.servers = append(n.servers, server)
	n.group.Go(func(context.Context) {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
			return
		}
		select {
		case n.serveErrors <- qherr.New(qherr.Internal, err, "restart the node", "HTTP server on %s stopped unexpectedly", listener.Addr()):
		default:
		}
	})
}

// closeServers closes the servers that were not shut down, and their
// connections.
func (n *Node) closeServers() {
	for _, server := range n.servers {
		_ = server.Close() // its listener may be closed already
	}
}
