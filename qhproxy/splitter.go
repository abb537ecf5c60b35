package qhproxy

import (
	"bytes"
	"strconv"
	"strings"
)

// requestSplitter finds the boundaries of HTTP/1.1 requests in the bytes that a
// caller sends, so that the server can be given one request at a time, and no head
// before it is complete. Bytes that it cannot split are passed through unchanged.
type requestSplitter struct {
	// remaining is how many bytes of the current request have not been
	// consumed, as far as is known: that of a body in chunks grows with chunks.
	remaining int
	// chunks finds the end of the current request's body; nil if it has no chunks or its
	// end was found.
	chunks *chunkScanner
	// headSize is the size of the head of the current request, with passthrough as far as
	// it was received.
	headSize int
	// searched is how many bytes at a boundary were searched for the end of a head.
	searched int
	// started counts the requests whose first byte was made readable.
	started int
	// scanned is how many buffered bytes were searched for request heads, and
	// scannedRequests is how many requests after the first started ones were
	// found there.
	scanned, scannedRequests int
	// passthrough is set once the boundary of a request cannot be determined, and http2 if
	// that is because the connection speaks HTTP/2.
	passthrough, http2 bool
	// ambiguousLength is set once a head had both Content-Length and Transfer-Encoding.
	ambiguousLength bool
}

// http2Preface begins a connection that speaks HTTP/2.
const http2Preface = "PRI "

// readable returns how many buffered bytes may be given to the server, 0 if
// more have to be read first. final is set if no more will arrive.
func (s *requestSplitter) readable(buffered []byte, final bool) int {
	if s.atBoundary() && len(buffered) > 0 {
		s.startRequest(buffered, final)
	}
	s.scanChunks(buffered)
	if s.passthrough {
		return len(buffered)
	}
	return min(s.remaining, len(buffered))
}

// startRequest starts the next request if its head is complete.
func (s *requestSplitter) startRequest(buffered []byte, final bool) {
	end := headEnd(buffered, s.searched)
	if end < 0 {
		s.searched = max(0, len(buffered)-len("\n\r"))
		if final {
			s.passthrough, s.headSize = true, len(buffered)
		}
		return
	}
	head := buffered[:end]
	s.searched, s.headSize = 0, len(head)
	framing, ok := parseFraming(head)
	if !ok {
		s.ambiguousLength = s.ambiguousLength || framing.length >= 0 && framing.chunked
		s.passthrough, s.http2 = true, bytes.HasPrefix(head, []byte(http2Preface))
		return
	}
	s.remaining = len(head) + max(0, framing.length)
	if framing.chunked {
		s.chunks = &chunkScanner{}
	}
	s.started++
	if s.scannedRequests > 0 {
		s.scannedRequests--
	}
}

// scanChunks finds out how many more buffered bytes belong to the current request.
func (s *requestSplitter) scanChunks(buffered []byte) {
	if s.chunks == nil || len(buffered) <= s.remaining {
		return
	}
	n, state := s.chunks.scan(buffered[s.remaining:])
	s.remaining += n
	switch state {
	case chunksEnded:
		s.chunks = nil
	case chunksMalformed:
		s.chunks, s.passthrough = nil, true
	case chunksContinue:
	}
}

// bodylessHead returns the head of the request that just became readable, or nil if
// the request has a body.
func (s *requestSplitter) bodylessHead(buffered []byte) []byte {
	if s.passthrough || s.chunks != nil || s.remaining != s.headSize {
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
func (s *requestSplitter) atBoundary() bool {
	return s.remaining == 0 && s.chunks == nil && !s.passthrough
}

// nextHead returns the head of the next unscanned request without a body, and
// the number of the request on its connection, from 1. It returns nil if there
// is no such head.
func (s *requestSplitter) nextHead(buffered []byte) ([]byte, int) {
	s.scanned = max(s.scanned, s.remaining)
	if s.passthrough || s.chunks != nil || s.scanned >= len(buffered) {
		return nil, 0
	}
	end := headEnd(buffered[s.scanned:], 0)
	if end < 0 {
		return nil, 0
	}
	head := buffered[s.scanned : s.scanned+end]
	if framing, ok := parseFraming(head); !ok || framing.chunked || framing.length > 0 {
		return nil, 0 // it has a body
	}
	return head, s.started + s.scannedRequests + 1
}

// markScanned records that the head returned by nextHead was handled.
func (s *requestSplitter) markScanned(head []byte) {
	s.scanned += len(head)
	s.scannedRequests++
}

// headEnd returns the size of the head at the start of data, or -1 if it is incomplete. Like
// the server, it takes a line feed without a carriage return for the end of a line. The bytes
// before searched are known to have no end.
func headEnd(data []byte, searched int) int {
	for at := searched; ; {
		next := bytes.IndexByte(data[at:], '\n')
		if next < 0 {
			return -1
		}
		at += next + 1
		switch rest := data[at:]; {
		case len(rest) > 0 && rest[0] == '\n':
			return at + 1
		case len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n':
			return at + 2
		}
	}
}

// requestFraming tells where the body of a request ends.
type requestFraming struct {
	// length is the Content-Length, -1 if there is none.
	length  int
	chunked bool
}

// parseFraming returns the framing of the request with a complete head, or false if it
// cannot be determined.
func parseFraming(head []byte) (requestFraming, bool) {
	framing := requestFraming{length: -1}
	first, lines, _ := strings.Cut(string(head), "\n")
	if strings.HasPrefix(first, http2Preface) {
		return framing, false
	}
	for line := range strings.SplitSeq(lines, "\n") {
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimSpace(value)
		switch {
		case strings.EqualFold(name, "Transfer-Encoding"):
			if framing.chunked || !strings.EqualFold(value, "chunked") {
				return framing, false
			}
			framing.chunked = true
		case strings.EqualFold(name, "Content-Length"):
			length, err := strconv.ParseUint(value, 10, 31)
			if err != nil || framing.length >= 0 {
				return framing, false
			}
			framing.length = int(length)
		}
	}
	if framing.chunked && (framing.length >= 0 || !strings.HasSuffix(strings.TrimRight(first, "\r"), " HTTP/1.1")) {
		return framing, false // earlier versions have no chunks
	}
	return framing, true
}
