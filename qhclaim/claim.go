// Package qhclaim claims idempotency keys on the platform, so that calls that
// carry an Idempotency-Key are executed at most once per key and route, whichever
// nodes receive them.
//
// Before a node sends such a call, it claims the key on the platform: it creates
// the object "claim/<route>/<hash of the key>" or takes over a free one, both by
// conditional writes. A claim has one holder at a time, and only the holder sends
// the call. Guarantees:
//
//   - Once a call was sent to a target, no call with its key is sent again unless
//     the first one is proved not to have been executed. This holds across nodes,
//     restarts, network partitions and lost responses of the platform. The claim
//     remains if the node that made it fails.
//   - A call that is refused because its key is claimed gets the known outcome:
//     done, with the status of the response, or unknown.
//   - The key of a call that is proved not to have been executed is freed. Until
//     that write is in effect, and permanently if the write is lost, the outcome
//     of the call counts as unknown. Callers then use a new key or check the
//     effect themselves.
//   - While the platform is unavailable, calls with a key are refused as not
//     executed.
//
// Limits: the first response is not stored, so a retry does not get it again.
// If a node fails between claim and call, the call was not executed but its
// outcome counts as unknown. Claims stay on the platform until they are
// removed, after which calls with their keys can be executed again.
//
// Each call with a key costs two writes on the platform: one before the call and
// one after it.
package qhclaim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
)

const (
	// acquireTimeout bounds the wait for the platform before a call.
	acquireTimeout = 2 * time.Second
	// maxAcquireAttempts bounds the attempts to create or take over one claim.
	maxAcquireAttempts = 6
	// outcomeWriteTimeout bounds the attempts to write the outcome of a call.
	outcomeWriteTimeout = 10 * time.Second
	// outcomeWriteBackoff is the delay before the second attempt to write an
	// outcome. It doubles with each further attempt.
	outcomeWriteBackoff = 200 * time.Millisecond
	// maxOutcomeWrites bounds the outcomes that are written concurrently.
	maxOutcomeWrites = 256
)

// State tells whether the call of a claim was executed, as far as it is known.
type State string

// Claim states.
const (
	// StateClaimed means the call may have been executed.
	StateClaimed State = "claimed"
	// StateDone means the call was executed and answered.
	StateDone State = "done"
	// StateFree means the call was not executed, so that the key can be claimed
	// again.
	StateFree State = "free"
)

// Claim is the object that the platform stores for one key.
type Claim struct {
	State State `json:"state"`
	// Nonce identifies the holder of the claim.
	Nonce string `json:"nonce"`
	// Fingerprint is the digest of the request's method, host and target. It
	// detects the use of a key for a different request.
	Fingerprint qhid.Digest  `json:"print"`
	Request     qhid.Request `json:"request"`
	Node        qhid.Node    `json:"node"`
	Time        time.Time    `json:"time"`
	// Status is the HTTP status of the response, 0 until the claim is done.
	Status int `json:"status,omitempty"`
}

// Options configures a Manager.
type Options struct {
	Self    qhid.Node
	Store   qhplatform.Store
	Log     *zap.Logger
	Metrics *metrics.Set
}

// Manager acquires claims and writes the outcomes of their calls. It is safe
// for concurrent use.
type Manager struct {
	Options
	group *qhgroup.Group
	// outcomeWriteSlots is a semaphore that bounds the concurrent outcome
	// writes.
	outcomeWriteSlots chan struct{}
	unwrittenOutcomes *metrics.Counter
}

// New returns a Manager and a cleanup function, which abandons all outcomes
// that are not written yet.
func New(options Options) (*Manager, func()) {
	group, stop := qhgroup.New(context.Background())
	return &Manager{
		Options:           options,
		group:             group,
		outcomeWriteSlots: make(chan struct{}, maxOutcomeWrites),
		unwrittenOutcomes: options.Metrics.NewCounter("qh_claims_unsettled_total"),
	}, stop
}

// KeyedCall is a call with an idempotency key.
type KeyedCall struct {
	Route   qhid.Route
	Key     string
	Request qhid.Request
	// Fingerprint identifies the request; see func Fingerprint.
	Fingerprint qhid.Digest
}

// AlreadyClaimedError is returned for a key that is claimed by another call.
type AlreadyClaimedError struct{ Claim Claim }

// Error returns the known outcome of the other call and the remedy.
func (e *AlreadyClaimedError) Error() string {
	if e.Claim.State == StateDone {
		return fmt.Sprintf("the idempotency key was used by request %s, which was answered with status %d; check its effect or use a new key", e.Claim.Request, e.Claim.Status)
	}
	return fmt.Sprintf("the idempotency key was used by request %s, whose outcome is unknown; check its effect before using a new key", e.Claim.Request)
}

// Fingerprint returns a digest of the request, which detects the use of a key for
// a different request.
func Fingerprint(method, host, target string) qhid.Digest {
	return digest(method + "\x00" + host + "\x00" + target)
}

// digest returns the SHA-256 digest of a text in hex.
func digest(text string) qhid.Digest {
	sum := sha256.Sum256([]byte(text))
	return qhid.Digest(hex.EncodeToString(sum[:]))
}

// claimObjectKey returns the key of the claim object on the platform.
func claimObjectKey(call KeyedCall) qhplatform.Key {
	return qhplatform.Key("claim/" + url.PathEscape(string(call.Route)) + "/" + string(digest(call.Key)))
}

// encode returns the claim in its stored form.
func encode(claim Claim) []byte {
	value, _ := json.Marshal(claim) // cannot fail for strings, numbers and a time
	return value
}

// decode parses a stored claim.
func decode(value []byte) (Claim, error) {
	var claim Claim
	if err := json.Unmarshal(value, &claim); err != nil {
		return Claim{}, qherr.New(qherr.Internal, err, "inspect the claim object on the platform", "cannot decode a claim of an idempotency key")
	}
	return claim, nil
}
