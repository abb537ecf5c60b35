package qhproxy

import "bytes"

// chunkState is what a chunkScanner has found.
type chunkState int

const (
	// chunksContinue means that the body goes on.
	chunksContinue chunkState = iota
	// chunksEnded means that the end of the body was found.
	chunksEnded
	// chunksMalformed means that the bytes are no chunks.
	chunksMalformed
)

// maxChunkSizeDigits bounds the digits of a chunk's size, as the server does.
const maxChunkSizeDigits = 16

// chunkScanner finds the end of a body in chunks. It keeps none of its bytes.
type chunkScanner struct {
	// data is how many bytes of the current chunk are left, with the line end behind them.
	data int
	// size is the size of the next chunk and digits the number of its digits so far.
	size, digits int
	// extension is set behind the size in the line of a chunk.
	extension bool
	// trailer is set behind the last chunk, and lineBytes is the size of the current line of
	// the trailer without its line end.
	trailer   bool
	lineBytes int
	// carriageReturn is set if the last byte was one.
	carriageReturn bool
}

// scan returns how many of the bytes that follow belong to the body.
func (s *chunkScanner) scan(data []byte) (int, chunkState) {
	for n := 0; n < len(data); {
		if s.data > 0 {
			step := min(s.data, len(data)-n)
			s.data -= step
			n += step
			continue
		}
		state := s.scanByte(data[n])
		n++
		if state != chunksContinue {
			return n, state
		}
		if s.extension || s.trailer && s.lineBytes > 0 { // only the line end matters
			if end := bytes.IndexAny(data[n:], "\r\n"); end > 0 {
				n += end
				s.carriageReturn = false
			} else if end < 0 && n < len(data) {
				s.carriageReturn = false
				return len(data), chunksContinue
			}
		}
	}
	return len(data), chunksContinue
}

// scanByte scans a byte of a line.
func (s *chunkScanner) scanByte(b byte) chunkState {
	carriageReturn := s.carriageReturn
	s.carriageReturn = b == '\r'
	switch {
	case b == '\n' && !carriageReturn:
		return chunksMalformed
	case b == '\n':
		return s.endLine()
	case b == '\r':
		return chunksContinue
	case s.trailer:
		s.lineBytes++
		return chunksContinue
	case s.extension:
		return chunksContinue
	case b == ';' || b == ' ' || b == '\t':
		s.extension = true
		return chunksContinue
	default:
		return s.addDigit(b)
	}
}

// endLine handles the end of a line.
func (s *chunkScanner) endLine() chunkState {
	s.carriageReturn = false
	switch {
	case s.trailer && s.lineBytes == 0:
		return chunksEnded
	case s.trailer:
		s.lineBytes = 0
	case s.digits == 0:
		return chunksMalformed
	case s.size == 0:
		s.trailer = true
	default:
		s.data = s.size + len("\r\n")
	}
	s.size, s.digits, s.extension = 0, 0, false
	return chunksContinue
}

// addDigit adds a digit to the size of the next chunk.
func (s *chunkScanner) addDigit(b byte) chunkState {
	var digit byte
	switch {
	case '0' <= b && b <= '9':
		digit = b - '0'
	case 'a' <= b && b <= 'f':
		digit = b - 'a' + 10
	case 'A' <= b && b <= 'F':
		digit = b - 'A' + 10
	default:
		return chunksMalformed
	}
	s.digits++
	if s.digits > maxChunkSizeDigits || s.size > maxChunkSize {
		return chunksMalformed
	}
	s.size = s.size<<4 | int(digit)
	return chunksContinue
}

// maxChunkSize bounds the size of a chunk before its last digit.
const maxChunkSize = 1 << 40
