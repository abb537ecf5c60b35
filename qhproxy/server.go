package qhproxy

import (
	"context"
	"net"
	"net/http"
	"time"

	"quetzalhaven.dev/qhconn"
)

const (
	// headerTimeout bounds the time to read the headers of a request.
	headerTimeout = 5 * time.Second
	// callerIdleTimeout is how long an idle connection of a caller stays open.
	callerIdleTimeout = 2 * time.Minute
	// nodeIdleTimeout is how long an idle connection of another node stays
	// open.
	nodeIdleTimeout = 30 * time.Second
	// internalHeaderBytes is added to the maximum header size of calls between
	// nodes: for the headers that a node adds to a call, and because net/http
	// accepts somewhat more than MaxHeaderBytes from a caller.
	internalHeaderBytes = 8 << 10
	// maxCallerStreams bounds the concurrent requests of a caller's HTTP/2 connection.
	maxCallerStreams = 100
	// callerWindow is the flow-control window of a caller's HTTP/2 connection in bytes. The
	// server holds that much of request bodies before they are read.
	callerWindow = 64 << 10
	// nodePingInterval is how long a connection of another node may be idle
	// before it is pinged, so that the calls of a node that has given the connection up
	// are cancelled at their targets soon after. The client side pings sooner.
	nodePingInterval = qhconn.SuspectAfter
)

// CallersServer returns the server for callers, HTTP/1.1 and HTTP/2 without
// TLS, with its limits set. It serves on a CallersListener.
func (p *Proxy) CallersServer() *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := p.newServer(p.CallersHandler(), &protocols)
	server.IdleTimeout = callerIdleTimeout
	server.ConnContext = withConn
	server.HTTP2.MaxConcurrentStreams = maxCallerStreams
	server.HTTP2.MaxReceiveBufferPerConnection = callerWindow
	server.HTTP2.MaxReceiveBufferPerStream = callerWindow
	return server
}

// NodesServer returns the server for calls of other nodes, HTTP/2 without TLS.
func (p *Proxy) NodesServer() *http.Server {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	server := p.newServer(p.NodesHandler(), &protocols)
	server.IdleTimeout = nodeIdleTimeout
	server.ConnContext = withNodeConn
	server.MaxHeaderBytes = p.maxForwardedHead()
	server.HTTP2.SendPingTimeout = nodePingInterval
	return server
}

// maxForwardedHead returns the maximum size of the head of a forwarded call, as HTTP/2 counts it.
func (p *Proxy) maxForwardedHead() int {
	return qhconn.HTTP2HeaderFactor * (int(p.Settings.MaxHeaderBytes) + internalHeaderBytes)
}

func (p *Proxy) newServer(handler http.Handler, protocols *http.Protocols) *http.Server {
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		HTTP2:             qhconn.HTTP2Config(),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    int(p.Settings.MaxHeaderBytes),
		BaseContext:       func(net.Listener) context.Context { return p.baseContext },
	}
}
