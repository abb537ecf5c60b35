package qhproxy

import (
	"net"
	"net/http"
)

// ControlListener wraps the listener of a server for other requests than calls, whose heads
// have a maximum size, so that what it holds in memory is accounted for. A server on it must
// be set up by AccountControl.
func (p *Proxy) ControlListener(listener net.Listener, maxHeaderBytes int) net.Listener {
	return &callerListener{Listener: listener, proxy: p, maxHead: func() int { return maxHeaderBytes + headSlop }}
}

// AccountControl prepares a server to serve on a ControlListener.
func AccountControl(server *http.Server) {
	handler := server.Handler
	server.ConnContext = withConn
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn := connOfRequest(r); conn != nil {
			conn.beginRequest(r)
			defer conn.endRequest()
			if conn.isLast(r) {
				w.Header().Set("Connection", "close")
			}
		}
		handler.ServeHTTP(w, r)
	})
}
