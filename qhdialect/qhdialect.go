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
	// Left returns the time that the caller still waits, false where it does not
	// say. Its errors are of kind BadInput.
	Left func(header http.Header) (time.Duration, bool, error)
	// SetLeft writes the time left on a call to a target.
	SetLeft func(header http.Header, left time.Duration)
	// Address writes on a call to a target which target is meant, and the
	// service on whose VM the call began.
	Address func(header http.Header, target qhid.Target, caller qhid.Service)
	// Unrun tells whether the answer of a target says that it did not run the call.
	Unrun func(resp *http.Response) bool
	// After is the value of the header that says when to come back.
	After func(after time.Duration) string
	// Named is set where every call brings an id, which targets repeat in their
	// answers. Else the mesh gives calls without one an id of its own.
	Named bool
}

// Own returns the product's own dialect.
func Own() Dialect {
	return Dialect{
		Left: func(header http.Header) (time.Duration, bool, error) {
			value := header.Get(qhheader.Timeout)
			if value == "" {
				return 0, false, nil
			}
			left, err := qhdeadline.Parse(value)
			return left, true, err
		},
		SetLeft: func(header http.Header, left time.Duration) {
			header[qhheader.Timeout] = []string{qhdeadline.Format(left)}
		},
		Address: func(http.Header, qhid.Target, qhid.Service) {},
		Unrun:   func(*http.Response) bool { return false },
		After:   func(after time.Duration) string { return strconv.Itoa(int(math.Ceil(after.Seconds()))) },
	}
}
