// Package qhconfig defines the configuration of services and routes that every
// node uses: its types, validation, digest, JSON decoding, and the diff between
// two versions.
package qhconfig

import (
	"time"

	"quetzalhaven.dev/qhid"
)

// Config is a full configuration. Check requires it to be in canonical order.
type Config struct {
	// Services are sorted by name without duplicates.
	Services []Service `json:"services"`
	// Routes are sorted by name without duplicates.
	Routes []Route `json:"routes"`
	// Keyed is set if calls of routes that are not anonymous need a key of a tenant, also
	// if there are no tenants. See RequiresKeys.
	Keyed bool `json:"keyed,omitempty"`
	// Tenants are sorted by name without duplicates.
	Tenants []Tenant `json:"tenants,omitempty"`
	// Limits are the operators' limits for all callers. Nodes enforce that on
	// bodies; for the others their own settings (qhsetting.Calls) and fixed
	// timeouts apply.
	Limits CallerLimits `json:"limits,omitzero"`
}

// CallerLimits has limits for the size and duration of what callers send; 0 is
// unset. See Config.Limits for which of them nodes enforce.
type CallerLimits struct {
	// MaxHeaderBytes limits the total size of a request's headers.
	MaxHeaderBytes qhid.Bytes `json:"headers,omitempty"`
	// MaxBodyBytes limits the size of a request body on routes without a limit.
	MaxBodyBytes qhid.Bytes `json:"body,omitempty"`
	// HeaderTimeout limits the time to receive the headers of a request.
	HeaderTimeout Duration `json:"header,omitempty"`
	// IdleTimeout limits how long a connection may be idle.
	IdleTimeout Duration `json:"idle,omitempty"`
}

// Service is a set of targets that serve the same calls.
type Service struct {
	Name qhid.Service `json:"name"`
	// Slots is the maximum number of calls that one target runs concurrently; 0
	// uses the number that the target announces.
	Slots int `json:"slots,omitempty"`
	// MaxQueue limits the calls that wait for a slot of one target.
	MaxQueue int `json:"queue,omitempty"`
	// MaxConnections limits the open connections to one target.
	MaxConnections int `json:"connections,omitempty"`
	// Retired lists the targets that get no new calls, sorted without duplicates.
	Retired []qhid.Target `json:"retired,omitempty"`
}

// Route matches calls and distributes them over services.
type Route struct {
	Name qhid.Route `json:"name"`
	// Host is matched without the port and case-insensitively; empty matches
	// every host.
	Host string `json:"host,omitempty"`
	// Prefix starts with a slash and matches whole path segments.
	Prefix string `json:"prefix"`
	// Methods are in upper case and sorted; an empty list matches every method.
	Methods []string `json:"methods,omitempty"`
	// Shares name existing services, sorted by service. Their percentages add up
	// to 100, or all of them have weights. They are empty if the route is
	// unavailable.
	Shares []Share `json:"shares"`
	// Unavailable makes nodes refuse the calls of the route as not executed.
	Unavailable bool `json:"unavailable,omitempty"`
	// Retry controls which calls of the route may be retried.
	Retry RetryPolicy `json:"repeat,omitempty"`
	// Timeout applies to calls without a deadline and limits the deadline of all
	// others.
	Timeout Duration `json:"timeout,omitempty"`
	// FirstByteTimeout limits the wait for the first byte of a response.
	FirstByteTimeout Duration `json:"silence,omitempty"`
	// MaxBodyBytes limits the size of a request body.
	MaxBodyBytes qhid.Bytes `json:"body,omitempty"`
	// Priority orders the calls to a service; 0 is the most urgent.
	Priority int `json:"priority,omitempty"`
	// LatencyObjective is the response time up to which a response is of full use
	// to the caller.
	LatencyObjective Duration `json:"objective,omitempty"`
	// MaxAttempts limits the targets that one call may be sent to; 0 is unset.
	MaxAttempts int `json:"attempts,omitempty"`
	// Anonymous is set if calls need no key of a tenant.
	Anonymous bool `json:"anonymous,omitempty"`
}

// Share is the part of a route's calls that goes to a service.
type Share struct {
	Service qhid.Service `json:"service"`
	Percent qhid.Percent `json:"percent,omitempty"`
	// Weight is relative to the other weights of the route.
	Weight int `json:"weight,omitempty"`
}

// RelativeWeight returns the percentage or the weight, whichever is set. All
// shares of a route use the same of the two.
func (s Share) RelativeWeight() int { return max(int(s.Percent), s.Weight) }

// RetryPolicy defines when a call may be sent again.
type RetryPolicy string

// The retry policies.
const (
	// RetryNever retries a call only if it is known not to have executed.
	RetryNever RetryPolicy = ""
	// RetrySafe is for calls that may execute more than once.
	RetrySafe RetryPolicy = "safe"
	// RetryKeyed is for calls with an Idempotency-Key, which execute at most once
	// per key.
	RetryKeyed RetryPolicy = "keyed"
)

// Duration is a time.Duration that is encoded in JSON as a string such as "1.5s".
type Duration time.Duration
