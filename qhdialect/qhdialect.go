// Package qhdialect defines how call metadata is written in HTTP headers: the
// remaining time, the intended target, and whether a target executed the call.
// Default returns the native form; a platform may provide another one.
package qhdialect

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"quetzalhaven.dev/qhdeadline"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhid"
)

// Dialect reads and writes the headers of calls. All functions must be set.
type Dialect struct {
	// RemainingTime returns how long the caller still waits for the response,
	// or false if the headers do not contain it. Errors are of kind BadInput.
	RemainingTime func(header http.Header) (time.Duration, bool, error)
	// SetRemainingTime writes the remaining time to the headers of a call to a
	// target.
	SetRemainingTime func(header http.Header, remaining time.Duration)
	// SetTarget writes the intended target, the service on whose VM the call
	// originated, and the caller's tenant to the headers of a call to a target. The
	// tenant is empty for calls without one.
	SetTarget func(header http.Header, target qhid.Target, caller qhid.Service, tenant qhid.Tenant)
	// NotExecuted reports whether the target's response says that it did not
	// execute the call.
	NotExecuted func(resp *http.Response) bool
	// RateLimit returns the calls per second that a target takes from all nodes
	// together, or false if its response does not name them. Errors are of kind
	// BadInput.
	RateLimit func(header http.Header) (qhid.CallsPerSecond, bool, error)
	// Leaving reports whether a response says that its target is leaving. Errors
	// are of kind BadInput.
	Leaving func(header http.Header) (bool, error)
	// FormatRetryAfter returns the value of the Retry-After header.
	FormatRetryAfter func(delay time.Duration) string
	// RequiresRequestID is set if every call must carry a request ID, which
	// targets repeat in their responses. Otherwise calls without an ID get a
	// generated one.
	RequiresRequestID bool
}

// ParseRateLimit parses a decimal number of calls per second. An empty text names no
// limit. Errors are of kind BadInput.
func ParseRateLimit(text string) (qhid.CallsPerSecond, bool, error) {
	if text == "" {
		return 0, false, nil
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return 0, false, qherr.New(qherr.BadInput, err, "send calls per second as in 12.5", "%q is not a rate limit", text)
	}
	return qhid.CallsPerSecond(rate), true, nil
}

// ParseLeaving parses the mark of a target that is leaving. An empty text is no mark.
// Errors are of kind BadInput.
func ParseLeaving(text string) (bool, error) {
	switch text {
	case "", "0":
		return false, nil
	case "1":
		return true, nil
	default:
		return false, qherr.New(qherr.BadInput, nil, "send 1", "%q does not mark a leaving target", text)
	}
}

// Default returns the native dialect, with the headers of package qhheader.
func Default() Dialect {
	return Dialect{
		RemainingTime: func(header http.Header) (time.Duration, bool, error) {
			value := header.Get(qhheader.Timeout)
			if value == "" {
				return 0, false, nil
			}
			remaining, err := qhdeadline.Parse(value)
			return remaining, true, err
		},
		SetRemainingTime: func(header http.Header, remaining time.Duration) {
			header[qhheader.Timeout] = []string{qhdeadline.Format(remaining)}
		},
		SetTarget: func(header http.Header, _ qhid.Target, _ qhid.Service, tenant qhid.Tenant) {
			delete(header, qhheader.Tenant)
			if tenant != "" {
				header[qhheader.Tenant] = []string{string(tenant)}
			}
		},
		NotExecuted: func(*http.Response) bool { return false },
		RateLimit: func(header http.Header) (qhid.CallsPerSecond, bool, error) {
			return ParseRateLimit(header.Get(qhheader.RateLimit))
		},
		Leaving:          func(header http.Header) (bool, error) { return ParseLeaving(header.Get(qhheader.Leaving)) },
		FormatRetryAfter: func(delay time.Duration) string { return strconv.Itoa(int(math.Ceil(delay.Seconds()))) },
	}
}
