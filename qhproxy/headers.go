package qhproxy

import (
	"net"
	"net/http"
	"strings"

	"quetzalhaven.dev/qhheader"
)

// field is one header with one value. Its name is in canonical form.
type field struct{ name, value string }

// setAll sets headers with one allocation for all.
func setAll(header http.Header, fields ...field) {
	values := make([]string, len(fields))
	for i, f := range fields {
		values[i] = f.value
		header[f.name] = values[i : i+1 : i+1]
	}
}

// hopHeaders are for one connection only, in canonical form.
func hopHeaders() []string {
	return []string{
		"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
		"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	}
}

// dropHop takes out the headers that are for one connection only.
func dropHop(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders() {
		delete(header, name)
	}
}

// dropInternal takes out the headers between nodes.
func dropInternal(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, qhheader.InternalPrefix) {
			delete(header, name)
		}
	}
}

// dropMesh takes out every header that only the mesh itself may set.
func dropMesh(header http.Header) {
	dropInternal(header)
	delete(header, qhheader.Outcome)
	delete(header, qhheader.Reason)
}

// upgrades tells whether the request asks for another protocol. Offers of
// HTTP/2 are ignored, as a server may.
func upgrades(r *http.Request) bool {
	offer := r.Header.Get("Upgrade")
	return offer != "" && !strings.EqualFold(offer, "h2c")
}

// hasDots tells whether a path has segments that lead elsewhere than its prefix.
func hasDots(path string) bool {
	if !strings.Contains(path, "/.") {
		return false
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// hostOf returns the host without its port.
func hostOf(host string) string {
	if !strings.Contains(host, ":") {
		return host
	}
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
