// Package qhid defines the types of IDs and units that all packages share.
package qhid

import (
	"crypto/rand"
	"encoding/hex"
)

// Node is the ID of a node, one qhnode process. A replaced VM keeps the ID.
type Node string

// Zone is the ID of an availability zone.
type Zone string

// Service is the name of a service in the configuration.
type Service string

// Route is the name of a route in the configuration.
type Route string

// Target is the ID of a target, unique in the fleet.
type Target string

// Plan is the ID of a plan.
type Plan string

// Request is the ID of a call, set by the caller or by the first node that received
// the call.
type Request string

// Tenant is the name of a tenant in the configuration.
type Tenant string

// Address is a host and port to dial or listen on.
type Address string

// Version is the version number of a configuration. Versions only increase; 0
// means no configuration.
type Version uint64

// Digest is a SHA-256 digest in lower-case hexadecimal.
type Digest string

// Incarnation orders the restarts of a node that keeps its ID. Later incarnations
// have larger values.
type Incarnation uint64

// Sequence orders the announcements of one incarnation of a node or target.
type Sequence uint64

// Percent is a percentage, from 0 to 100.
type Percent int

// Bytes is a size in bytes.
type Bytes int64

// MegabitsPerSecond is the bandwidth of a network link.
type MegabitsPerSecond float64

// requestEntropy is the number of random bytes in a generated request ID.
const requestEntropy Bytes = 12

// NewRequestID returns a random request ID.
func NewRequestID() Request {
	buf := make([]byte, requestEntropy)
	_, _ = rand.Read(buf) // crypto/rand.Read never returns an error
	return Request(hex.EncodeToString(buf))
}

// CallsPerSecond is a rate of calls.
type CallsPerSecond float64

// Software is the version of a target's software.
type Software string
