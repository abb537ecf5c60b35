// Package qhconfig has the configuration that every node holds: its model, its
// check, its digest, the difference between two versions and the snapshot that
// a node reads on the path of a call.
package qhconfig

import (
	"time"

	"quetzalhaven.dev/qhid"
)

// Config is one whole configuration.
type Config struct {
	// Services are ordered by name, each name once.
	Services []Service `json:"services"`
	// Routes are ordered by name, each name once.
	Routes []Route `json:"routes"`
	// Limits bounds what callers may send.
	Limits CallerLimits `json:"limits,omitzero"`
}

// CallerLimits bounds what callers may send and how long they may take; 0 is unset.
type CallerLimits struct {
	// MaxHeaderBytes bounds the size of a request's headers.
	MaxHeaderBytes qhid.Bytes `json:"headers,omitempty"`
	// MaxBodyBytes bounds the size of a request's body on routes that set none.
	MaxBodyBytes qhid.Bytes `json:"body,omitempty"`
	// HeaderTimeout bounds the time until the headers of a request are in.
	HeaderTimeout Duration `json:"header,omitempty"`
	// IdleTimeout bounds the time that a connection may lie idle.
	IdleTimeout Duration `json:"idle,omitempty"`
}

// Service is a set of targets that answer the same calls.
type Service struct {
	Name qhid.Service `json:"name"`
	// Slots bounds the calls that one target runs at a time; 0 leaves it to
	// what the target announces.
	Slots int `json:"slots,omitempty"`
	// MaxQueue bounds the calls that wait for a slot of one target.
	MaxQueue int `json:"queue,omitempty"`
	// MaxConnections bounds the open connections to one target.
	MaxConnections int `json:"connections,omitempty"`
	// Retired targets get no new calls. Ordered, each once.
	Retired []qhid.Target `json:"retired,omitempty"`
}

// Route says which calls go to which services.
type Route struct {
	Name qhid.Route `json:"name"`
	// Host is matched without its port and without regard to case; empty
	// matches every host.
	Host string `json:"host,omitempty"`
	// Prefix begins with a slash and matches whole path segments.
	Prefix string `json:"prefix"`
	// Methods are in upper case and ordered; none matches every method.
	Methods []string `json:"methods,omitempty"`
	// Shares name existing services, ordered by service. They add up to 100, or
	// all have weights.
	Shares []Share `json:"shares"`
	// Retry says which calls of the route may be repeated.
	Retry RetryPolicy `json:"repeat,omitempty"`
	// Timeout bounds a call that brings no deadline, and every deadline.
	Timeout Duration `json:"timeout,omitempty"`
	// FirstByteTimeout bounds the wait for the first byte of an answer.
	FirstByteTimeout Duration `json:"silence,omitempty"`
	// MaxBodyBytes bounds the size of a request's body.
	MaxBodyBytes qhid.Bytes `json:"body,omitempty"`
	// Priority ranks the calls of a service; 0 is the most urgent.
	Priority int `json:"priority,omitempty"`
	// LatencyObjective is the time within which an answer is of full use to its caller.
	LatencyObjective Duration `json:"objective,omitempty"`
	// MaxAttempts bounds the targets that one call may be sent to; 0 is unset.
	MaxAttempts int `json:"attempts,omitempty"`
}

// Share is the part of a route's calls that goes to a service.
type Share struct {
	Service qhid.Service `json:"service"`
	Percent qhid.Percent `json:"percent,omitempty"`
	// Weight is the share in relation to the other weights of the route.
	Weight int `json:"weight,omitempty"`
}

// RelativeWeight returns the share in the unit that all shares of its route have.
func (s Share) RelativeWeight() int { return max(int(s.Percent), s.Weight) }

// RetryPolicy says when a call may be sent again.
type RetryPolicy string

// The ways to repeat a call.
const (
	// RetryNever sends a call again only when it is proved not to have run.
	RetryNever RetryPolicy = ""
	// RetrySafe marks calls that may run more than once.
	RetrySafe RetryPolicy = "safe"
	// RetryKeyed calls carry an Idempotency-Key, and run at most once a key.
	RetryKeyed RetryPolicy = "keyed"
)

// Duration is a time.Duration that reads and writes as "1.5s" in JSON.
type Duration time.Duration
