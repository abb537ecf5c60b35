// Package qhdialect says how callers and targets write what the mesh has to
// know of a call: the time left, the target that is meant, and whether a target
// ran it. The product's own form is Own; a platform may bring another one.
package qhdialect

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"quetzalhaven.dev/qhdeadline"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhid"
)

// Dialect reads and writes the headers of calls. All functions are set.
type Dialect struct {
	// RemainingTime returns the time that the caller still waits, false where it does not
	// say. Its errors are of kind BadInput.
	RemainingTime func(header http.Header) (time.Duration, bool, error)
	// SetRemainingTime writes the time left on a call to a target.
	SetRemainingTime func(header http.Header, left time.Duration)
	// SetTarget writes on a call to a target which target is meant, and the
	// service on whose VM the call began.
	SetTarget func(header http.Header, target qhid.Target, caller qhid.Service)
	// NotExecuted tells whether the answer of a target says that it did not run the call.
	NotExecuted func(resp *http.Response) bool
	// FormatRetryAfter is the value of the header that says when to come back.
	FormatRetryAfter func(after time.Duration) string
	// RequiresRequestID is set where every call brings an id, which targets repeat in their
	// answers. Else the mesh gives calls without one an id of its own.
	RequiresRequestID bool
}

// Default returns the product's own dialect.
func Default() Dialect {
	return Dialect{
		RemainingTime: func(header http.Header) (time.Duration, bool, error) {
			value := header.Get(qhheader.Timeout)
			if value == "" {
				return 0, false, nil
			}
			left, err := qhdeadline.Parse(value)
			return left, true, err
		},
		SetRemainingTime: func(header http.Header, left time.Duration) {
			header[qhheader.Timeout] = []string{qhdeadline.Format(left)}
		},
		SetTarget:        func(http.Header, qhid.Target, qhid.Service) {},
		NotExecuted:      func(*http.Response) bool { return false },
		FormatRetryAfter: func(after time.Duration) string { return strconv.Itoa(int(math.Ceil(after.Seconds()))) },
	}
}
