package qhproxy

import "encoding/binary"

// Frames of HTTP/2, RFC 9113.
const (
	frameHeaderSize   = 9
	framePrefaceSize  = 24 // of the preface that a client sends first
	headersFrame      = 0x1
	continuationFrame = 0x9
	endHeadersFlag    = 0x4
)

// frameScanner follows the frames that a client sends on an HTTP/2 connection and finds out
// whether a head is incomplete. It keeps none of their bytes but those of a frame's header.
type frameScanner struct {
	// skip is how many bytes of the preface or of a frame are left.
	skip int
	// header has the bytes of the header of the next frame so far.
	header []byte
	// open is the size of the incomplete head so far; 0 if there is none.
	open int
}

// newFrameScanner returns a scanner for the bytes from the preface on.
func newFrameScanner() *frameScanner {
	return &frameScanner{skip: framePrefaceSize, header: make([]byte, 0, frameHeaderSize)}
}

// scan returns the size of the incomplete head after the bytes that follow.
func (s *frameScanner) scan(data []byte) int {
	for len(data) > 0 {
		if s.skip > 0 {
			n := min(s.skip, len(data))
			s.skip -= n
			data = data[n:]
			continue
		}
		n := min(frameHeaderSize-len(s.header), len(data))
		s.header = append(s.header, data[:n]...)
		data = data[n:]
		if len(s.header) == frameHeaderSize {
			s.startFrame()
		}
	}
	return s.open
}

// startFrame handles a complete header of a frame.
func (s *frameScanner) startFrame() {
	size := int(binary.BigEndian.Uint32(s.header) >> 8)
	kind, flags := s.header[3], s.header[4]
	s.skip, s.header = size, s.header[:0]
	if kind != headersFrame && kind != continuationFrame {
		return
	}
	if flags&endHeadersFlag != 0 {
		s.open = 0
		return
	}
	s.open += max(size, 1)
}
