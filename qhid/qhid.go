// Package qhid names the ids and units that all parts of quetzalhaven share.
package qhid

import (
	"crypto/rand"
	"encoding/hex"
)

// Node is the id of one qhnode process. A VM that is replaced keeps the id.
type Node string

// Zone is the id of an availability zone.
type Zone string

// Service is the name of a service in the configuration.
type Service string

// Route is the name of a route in the configuration.
type Route string

// Target is the id of one target, unique in the fleet.
type Target string

// Plan is the id of a plan.
type Plan string

// Request is the id of one call, set by the caller or by the first node.
type Request string

// Address is a host and port that can be dialled or listened on.
type Address string

// Version numbers configurations. It only grows; 0 is no configuration.
type Version uint64

// Digest is a SHA-256 sum in lower-case hexadecimal.
type Digest string

// Incarnation orders the lives of one node id. Later lives have larger values.
type Incarnation uint64

// Sequence orders the announcements of one incarnation.
type Sequence uint64

// Percent is a share in hundredths, from 0 to 100.
type Percent int

// Bytes is a size in bytes.
type Bytes int64

// MegabitsPerSecond is the speed of a link in Mbit/s.
type MegabitsPerSecond float64

// requestEntropy is the random size of a generated request id.
const requestEntropy Bytes = 12

// NewRequest returns a random request id.
func NewRequest() Request {
	buf := make([]byte, requestEntropy)
	_, _ = rand.Read(buf) // never fails, see crypto/rand
	return Request(hex.EncodeToString(buf))
}
