package qhconn

import (
	"errors"
	"fmt"
)

// The texts of errors for which the standard library exports no value.
const (
	// shuttingDown is a request whose stream is above the last one that the
	// other end will look at (RFC 9113, section 6.8).
	shuttingDown = "http2: Transport received Server's graceful shutdown GOAWAY"
	// notUsable is a request whose connection ended before it had a stream.
	notUsable = "http2: client conn not usable"
)

// refusedStream is the code of a stream that was closed before any processing
// (RFC 9113, section 8.7).
const refusedStream = 7

// streamError has the fields of the standard library's error for a stream that
// was reset, which errors.As fills in.
type streamError struct {
	StreamID uint32
	Code     uint32
	Cause    error
}

// Error returns the code.
func (e streamError) Error() string {
	return fmt.Sprintf("stream %d was reset with code %d", e.StreamID, e.Code)
}

// isUnprocessed tells whether err says that the other end never looked at the
// request.
func isUnprocessed(err error) bool {
	var reset streamError
	if errors.As(err, &reset) {
		return reset.Code == refusedStream
	}
	return err.Error() == shuttingDown || err.Error() == notUsable
}
