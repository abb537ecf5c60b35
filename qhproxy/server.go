package qhproxy

import (
	"context"
	"net"
	"net/http"
	"time"

	"quetzalhaven.dev/qhconn"
)

const (
	// headerTimeout bounds how long a caller takes to send the headers.
	headerTimeout = 5 * time.Second
	// callerIdle is how long a connection of a caller may lie idle.
	callerIdle = 2 * time.Minute
	// nodeIdle is how long a connection of another node may lie idle.
	nodeIdle = 30 * time.Second
	// internalHeaders bounds what a node adds to the headers of a call in bytes,
	// with what net/http lets pass above its bound.
	internalHeaders = 8 << 10
	// nodePing is how long a connection of another node may be quiet before it
	// is pinged. The other end pings sooner while it has calls.
	nodePing = 5 * time.Second
)

// CallersServer returns a server for the callers' listener with its limits set.
func (p *Proxy) CallersServer() *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := p.server(p.Callers(), &protocols)
	server.IdleTimeout = callerIdle
	server.ConnContext = withConn
	return server
}

// NodesServer returns a server for calls of other nodes, HTTP/2 without TLS.
func (p *Proxy) NodesServer() *http.Server {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	server := p.server(p.Nodes(), &protocols)
	server.IdleTimeout = nodeIdle
	server.MaxHeaderBytes = qhconn.HTTP2HeaderFactor * (server.MaxHeaderBytes + internalHeaders)
	server.HTTP2.SendPingTimeout = nodePing
	return server
}

func (p *Proxy) server(handler http.Handler, protocols *http.Protocols) *http.Server {
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		HTTP2:             qhconn.HTTP2Config(),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    int(p.Settings.MaxHeaderBytes),
		BaseContext:       func(net.Listener) context.Context { return p.base },
	}
}
