package qhtarget

import (
	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
)

// Faults are the faults that a test target injects into calls and health
// reports. The zero value injects none.
type Faults struct {
	// RemainingCalls is the number of calls to which the faults still apply,
	// after which all faults are cleared; 0 applies them until they are replaced.
	RemainingCalls int `json:"next,omitempty"`
	// ServiceTime replaces Options.ServiceTime if it is not 0.
	ServiceTime qhconfig.Duration `json:"time,omitempty"`
	// ResponseDelay delays the response of an executed call. The call's slot is
	// free in that time.
	ResponseDelay qhconfig.Duration `json:"late,omitempty"`
	// TruncateResponse closes the connection after half of the response body.
	TruncateResponse bool `json:"broken,omitempty"`
	// Hang executes the call without end: its slot is held until the caller
	// disconnects or the deadline passes.
	Hang bool `json:"hang,omitempty"`
	// Shed rejects the call with status 503 without executing it.
	Shed bool `json:"refuse,omitempty"`
	// CloseConnection executes the call and closes the connection without a
	// response.
	CloseConnection bool `json:"cut,omitempty"`
	// PaddingBytes is the size of Echo.Padding in the response.
	PaddingBytes qhid.Bytes `json:"size,omitempty"`
	// Chunked sends the response in chunks, with its digest in the trailer
	// DigestTrailer.
	Chunked bool `json:"chunked,omitempty"`
	// RateLimit is named in each response as the calls per second that the target
	// takes; 0 names none.
	RateLimit qhid.CallsPerSecond `json:"limit,omitempty"`
	// SayLeaving says in each response that the target is leaving.
	SayLeaving bool `json:"leaving,omitempty"`
	// ReportedHealth replaces the status in the health report; empty reports the
	// actual state.
	ReportedHealth string `json:"health,omitempty"`
	// ReportedRunning replaces the number of running calls in the health report;
	// 0 reports the actual number.
	ReportedRunning int `json:"load,omitempty"`
}
