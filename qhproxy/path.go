package qhproxy

import (
	"net/http"
	"net/url"
	"strings"
)

// sentPath returns the path of a request as its sender encoded it. Decoding it would make
// an encoded slash look like the end of a segment.
func sentPath(r *http.Request) string {
	if !strings.HasPrefix(r.RequestURI, "/") { // an absolute URI, or the asterisk of OPTIONS
		return r.URL.EscapedPath()
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// forwardingURL returns the URL with which a request is sent on, so that its path and query
// are the bytes that its sender sent. The caller sets the host.
func forwardingURL(r *http.Request) *url.URL {
	target := *r.URL
	target.Scheme, target.User = "http", nil
	// net/url encodes some bytes that it did not decode, and takes two slashes at the start
	// of an opaque URL for those before a host.
	if path := sentPath(r); path != target.EscapedPath() && strings.HasPrefix(path, "/") && !strings.HasPrefix(path, "//") {
		target.Opaque = path
	}
	return &target
}
