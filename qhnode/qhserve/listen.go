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
	"quetzalhaven.dev/qhsetting"
)

const (
	// headerTimeout bounds the headers of a request of an operator or a target.
	headerTimeout = 5 * time.Second
	// requestTimeout bounds the whole of such a request.
	requestTimeout = 10 * time.Second
	// adminIdle is how long their connections may lie idle.
	adminIdle = 2 * time.Minute
	// adminHeaders bounds the size of those headers in bytes.
	adminHeaders = 16 << 10
)

// listeners has the open listeners of a node.
type listeners struct {
	callers, calls, peers, targets, operators net.Listener
	// ready is nil where there are no health checks.
	ready net.Listener
}

// listen opens all listeners, or none.
func listen(settings qhsetting.ListenAddresses) (listeners, func(), error) {
	var (
		opened listeners
		stops  cleanups
	)
	for _, want := range []struct {
		key     string
		address qhid.Address
		into    *net.Listener
	}{
		{"callers", settings.Callers, &opened.callers},
		{"calls", settings.Calls, &opened.calls},
		{"peers", settings.Peers, &opened.peers},
		{"targets", settings.Targets, &opened.targets},
		{"operators", settings.Operators, &opened.operators},
		{"ready", settings.Ready, &opened.ready},
	} {
		if want.address == "" {
			continue
		}
		listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", string(want.address))
		if err != nil {
			stops.run()
			return listeners{}, nil, qherr.New(qherr.Unavailable, err, "free the address or change listen."+want.key+" in the settings", "cannot listen on %s", want.address)
		}
		*want.into = listener
		stops.add(func() { _ = listener.Close() }) // a server may have closed it
	}
	return opened, stops.run, nil
}

// serve starts the HTTP servers. The peers' listener is the spreader's.
func (n *Node) serve(on listeners) {
	operators := qhoperate.New(qhoperate.Options{
		Dump:    func() any { return n.Dump() },
		Summary: n.source.summary,
		Ready:   n.Ready,
		Explain: func(id qhid.Request) any { return n.ring.Find(id) },
		View:    n.members.View,
		Drain:   func() { close(n.drained) },
		Metrics: n.metrics,
	})
	n.serveOn(n.proxy.CallersListener(on.callers), n.proxy.CallersServer())
	n.serveOn(on.calls, n.proxy.NodesServer())
	n.serveOn(on.targets, adminServer(n.targetsHandler()))
	n.serveOn(on.operators, adminServer(operators.Handler()))
	if on.ready != nil {
		n.serveOn(on.ready, adminServer(platform.ReadyHandler(n.Ready)))
	}
	if n.source.peers != nil {
		n.serveOn(on.peers, adminServer(n.source.peers))
	}
}

func adminServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		IdleTimeout:       adminIdle,
		MaxHeaderBytes:    adminHeaders,
	}
}

// serveOn serves until the server is shut down. One that ends by itself stops
// the node.
func (n *Node) serveOn(listener net.Listener, server *http.Server) {
	n.servers = append(n.servers, server)
	n.group.Go(func(context.Context) {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
			return
		}
		select {
		case n.failed <- qherr.New(qherr.Internal, err, "start the node again", "listener %s ended", listener.Addr()):
		default:
		}
	})
}

// closeServers ends servers that were not shut down, and what they serve.
func (n *Node) closeServers() {
	for _, server := range n.servers {
		_ = server.Close() // its listener may be closed already
	}
}
