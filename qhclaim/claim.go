// Package qhclaim executes calls that carry an Idempotency-Key at most once per
// key and route, whichever nodes receive them.
//
// Before a node sends such a call, it claims the key on the platform: it creates
// the object "claim/<route>/<hash of the key>" or takes over a free one, both by
// conditional writes. A claim has one holder at a time, and only the holder sends
// the call. Guarantees:
//
//   - Once a call was sent to a target, its key is never sent again unless the
//     call is proved not to have been executed. This holds across nodes,
//     restarts, network partitions and lost responses of the platform. The claim
//     outlasts the node that made it.
//   - A call that is refused because its key is claimed gets the known outcome:
//     done, with the status of the response, or unknown.
//   - The key of a call that is proved not to have been executed is freed. Until
//     that write is in effect, and permanently if the write is lost, the key
//     counts as unknown. Callers then use a new key or check the effect
//     themselves.
//   - While the platform is unavailable, calls with a key are refused as not
//     executed.
//
// Limits: the first response is not stored, so a retry does not get it again. A
// node that dies between claim and call leaves a key that was never executed but
// counts as unknown. Claims stay on the platform until they are removed, after
// which their keys can be executed again.
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
	// settleTimeout bounds the retries of the write after a call.
	settleTimeout = 10 * time.Second
	// settleBackoff is the wait before the second attempt to settle. It doubles
	// with each further attempt.
	settleBackoff = 200 * time.Millisecond
	// maxConcurrentSettles bounds the claims that are being settled at the same
	// time.
	maxConcurrentSettles = 256
)

// State is the known outcome of the call with a key.
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

// Options configure a Manager.
type Options struct {
	Self    qhid.Node
	Store   qhplatform.Store
	Log     *zap.Logger
	Metrics *metrics.Set
}

// Manager acquires and settles claims. It is safe for concurrent use.
type Manager struct {
	Options
	group *qhgroup.Group
	// settleSlots is a semaphore that bounds the claims that are being settled.
	settleSlots chan struct{}
	unsettled   *metrics.Counter
}

// New returns a Manager and a cleanup function, which abandons all claims that
// are still being settled.
func New(options Options) (*Manager, func()) {
	group, stop := qhgroup.New(context.Background())
	return &Manager{
		Options:     options,
		group:       group,
		settleSlots: make(chan struct{}, maxConcurrentSettles),
		unsettled:   options.Metrics.NewCounter("qh_claims_unsettled_total"),
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

func digest(text string) qhid.Digest {
	sum := sha256.Sum256([]byte(text))
	return qhid.Digest(hex.EncodeToString(sum[:]))
}

// claimKey returns the key of the claim object on the platform.
func claimKey(call KeyedCall) qhplatform.Key {
	return qhplatform.Key("claim/" + url.PathEscape(string(call.Route)) + "/" + string(digest(call.Key)))
}

// encode returns the claim in its stored form.
func encode(claim Claim) []byte {
	value, _ := json.Marshal(claim) // cannot fail for strings, numbers and a time
	return value
}

func decode(value []byte) (Claim, error) {
	var claim Claim
	if err := json.Unmarshal(value, &claim); err != nil {
		return Claim{}, qherr.New(qherr.Internal, err, "inspect the claim object on the platform", "decoding a claim of an idempotency key failed")
	}
	return claim, nil
}
