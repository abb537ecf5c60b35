// Package qhcrash finds requests that crash the targets that execute them, and keeps
// them from further targets.
//
// The node of a target notices which requests were being executed when the target ended
// (Local.ConnectionLost), and tells the nodes of the service's other targets. Each of
// them counts the ends of a request (Ledger). Three without a successful execution
// quarantine it: the nodes of the service refuse it as not executed for some time. The
// design is in docs/design/crashing-requests.md.
package qhcrash

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"

	"quetzalhaven.dev/qhid"
)

// Fingerprint identifies equal requests, in 12 characters, since every call between nodes
// carries it. It is empty for a request that is not compared with others.
type Fingerprint string

// fingerprintBytes is the length of the digest in a fingerprint.
const fingerprintBytes = 9

// Identity is what two equal requests have in common. The caller is part of it, so that
// no caller can make its request look like that of another.
type Identity struct {
	Method, Host string
	// URI is the path with the query.
	URI    string
	Caller qhid.Service
	// Tenant is the caller's tenant; empty for calls without one.
	Tenant qhid.Tenant
	// Body is the body if it is known before the request is sent, else nil.
	Body []byte
	// BodyLength is the length of the body in bytes; -1 if it is unknown.
	BodyLength int64
}

// Fingerprint returns the fingerprint of the requests with this identity.
func (i Identity) Fingerprint() Fingerprint {
	body := sha256.Sum256(i.Body)
	digest := sha256.Sum256(fmt.Appendf(nil, "%q %q %q %q %q %d %x", i.Method, i.Host, i.URI, i.Caller, i.Tenant, i.BodyLength, body))
	return Fingerprint(base64.RawURLEncoding.EncodeToString(digest[:fingerprintBytes]))
}
