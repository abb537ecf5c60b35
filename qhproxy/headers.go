package qhproxy

import (
	"net/http"
	"strings"

	"quetzalhaven.dev/qhheader"
)

// headerField is a header with a single value. Its name must be in canonical
// form.
type headerField struct{ name, value string }

// setHeaders sets headers, with a single allocation for all values.
func setHeaders(header http.Header, fields ...headerField) {
	values := make([]string, len(fields))
	for i, f := range fields {
		values[i] = f.value
		header[f.name] = values[i : i+1 : i+1]
	}
}

// hopByHopHeaders returns the headers that apply to a single connection, in
// canonical form.
func hopByHopHeaders() []string {
	return []string{
		"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
		"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	}
}

// removeHopByHopHeaders removes the headers that apply to a single connection,
// including those named in Connection.
func removeHopByHopHeaders(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders() {
		delete(header, name)
	}
}

// removeInternalHeaders removes the headers that nodes send to each other.
func removeInternalHeaders(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, qhheader.InternalPrefix) {
			delete(header, name)
		}
	}
}

// removeReservedHeaders removes all headers that only nodes may set.
func removeReservedHeaders(header http.Header) {
	removeInternalHeaders(header)
	delete(header, qhheader.Outcome)
	delete(header, qhheader.Reason)
}

// requestsUpgrade reports whether the request asks for another protocol. Offers
// of h2c are ignored, as RFC 9110 allows.
func requestsUpgrade(r *http.Request) bool {
	protocol := r.Header.Get("Upgrade")
	return protocol != "" && !strings.EqualFold(protocol, "h2c")
}

// hasDotSegments reports whether a path has "." or ".." segments, which could
// lead outside the prefix of its route.
func hasDotSegments(path string) bool {
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
