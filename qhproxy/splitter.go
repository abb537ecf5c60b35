package qhproxy

import (
	"bytes"
	"strconv"
	"strings"
)

// requestSplitter finds the boundaries of HTTP/1.1 requests in the bytes that a
// caller sends, so that the server can be given one request at a time. Bytes
// that it cannot split are passed through unchanged.
type requestSplitter struct {
	// remaining is how many bytes of the current request have not been
	// consumed.
	remaining int
	// started counts the requests whose first byte was made readable.
	started int
	// scanned is how many buffered bytes were searched for request heads, and
	// scannedRequests is how many requests after the first started ones were
	// found there.
	scanned, scannedRequests int
	// passthrough is set once the boundary of a request cannot be determined.
	passthrough bool
}

// headTerminator ends the head of a request.
const headTerminator = "\r\n\r\n"

// readable returns how many buffered bytes may be given to the server, 0 if
// more have to be read first. final is set if no more will arrive.
func (s *requestSplitter) readable(buffered []byte, final bool) int {
	if s.remaining == 0 && !s.passthrough && len(buffered) > 0 {
		size, complete := requestSize(buffered)
		switch {
		case size > 0:
			s.remaining = size
			s.started++
			if s.scannedRequests > 0 {
				s.scannedRequests--
			}
		case complete || final || len(buffered) >= maxPartialHead:
			s.passthrough = true
		}
	}
	if s.passthrough {
		return len(buffered)
	}
	return min(s.remaining, len(buffered))
}

// bodylessHead returns the head of the request that just became readable, or nil if
// the request has a body.
func (s *requestSplitter) bodylessHead(buffered []byte) []byte {
	if s.remaining > len(buffered) || bytes.Index(buffered, []byte(headTerminator))+len(headTerminator) != s.remaining {
		return nil
	}
	return buffered[:s.remaining]
}

// consume records that n bytes were given to the server.
func (s *requestSplitter) consume(n int) {
	s.scanned = max(0, s.scanned-n)
	if !s.passthrough {
		s.remaining -= n
	}
}

// atBoundary reports whether the next byte starts a request.
func (s *requestSplitter) atBoundary() bool { return s.remaining == 0 && !s.passthrough }

// nextHead returns the head of the next unscanned request without a body, and
// the number of the request on its connection, from 1. It returns nil if there
// is no such head.
func (s *requestSplitter) nextHead(buffered []byte) ([]byte, int) {
	s.scanned = max(s.scanned, s.remaining)
	if s.passthrough || s.scanned >= len(buffered) {
		return nil, 0
	}
	end := bytes.Index(buffered[s.scanned:], []byte(headTerminator))
	if end < 0 {
		return nil, 0
	}
	head := buffered[s.scanned : s.scanned+end+len(headTerminator)]
	if size, _ := requestSize(head); size != len(head) {
		return nil, 0 // it has a body
	}
	return head, s.started + s.scannedRequests + 1
}

// markScanned records that the head returned by nextHead was handled.
func (s *requestSplitter) markScanned(head []byte) {
	s.scanned += len(head)
	s.scannedRequests++
}

// requestSize returns the size of the request at the start of data, 0 if it
// cannot be determined. complete is set if data has the complete head.
func requestSize(data []byte) (size int, complete bool) {
	head, _, complete := bytes.Cut(data, []byte(headTerminator))
	if !complete {
		return 0, false
	}
	size = len(head) + len(headTerminator)
	if bytes.Count(head, []byte("\n")) != bytes.Count(head, []byte("\r\n")) {
		return 0, true // the server may see other lines in it
	}
	for i, line := range strings.Split(string(head), "\r\n") {
		name, value, _ := strings.Cut(line, ":")
		switch {
		case i == 0 && strings.HasPrefix(line, "PRI "): // the HTTP/2 connection preface
			return 0, true
		case strings.EqualFold(name, "Transfer-Encoding"), strings.EqualFold(name, "Upgrade"):
			return 0, true
		case strings.EqualFold(name, "Content-Length"):
			length, err := strconv.ParseUint(strings.TrimSpace(value), 10, 31)
			if err != nil {
				return 0, true
			}
			size += int(length)
		}
	}
	return size, true
}
