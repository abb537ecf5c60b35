package qhconn

import (
	"errors"
	"fmt"
)

// Error texts for which the standard library exports no value.
const (
	// goAwayErrorText is the error of a request whose stream is above the last
	// one that the peer will process (RFC 9113, section 6.8).
	goAwayErrorText = "http2: Transport received Server's graceful shutdown GOAWAY"
	// connNotUsableErrorText is the error of a request whose connection was
	// closed before it had a stream.
	connNotUsableErrorText = "http2: client conn not usable"
)

// refusedStreamCode is the error code of a stream that was closed before any
// processing (RFC 9113, section 8.7).
const refusedStreamCode = 7

// streamError has the same fields as the standard library's unexported error for
// a reset stream, so that errors.As can convert to it.
type streamError struct {
	StreamID uint32
	Code     uint32
	Cause    error
}

// Error returns the stream and the error code.
func (e streamError) Error() string {
	return fmt.Sprintf("stream %d was reset with code %d", e.StreamID, e.Code)
}

// peerDidNotProcess reports whether err proves that the peer did not process the
// request.
func peerDidNotProcess(err error) bool {
	var streamErr streamError
	if errors.As(err, &streamErr) {
		return streamErr.Code == refusedStreamCode
	}
	return err.Error() == goAwayErrorText || err.Error() == connNotUsableErrorText
}
