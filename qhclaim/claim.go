// Package qhclaim makes calls that carry an Idempotency-Key run at most once a
// key and route, whichever nodes they come through.
//
// A node claims the key on the platform before it sends the call: it creates
// the object "claim/<route>/<hash of the key>" or takes over one that is free,
// both by conditional writes. Only the node that holds a claim sends the call,
// and a claim has one holder at a time. What is promised:
//
//   - A key that was sent to a target and is not proved not to have run is never
//     sent again, across nodes, restarts, cuts and lost answers of the platform.
//     The claim outlasts the node that made it.
//   - A call that is refused because its key is claimed is told what is known:
//     done with the status of the answer, or unknown.
//   - A key whose call is proved not to have run is given free again. Until that
//     write is in effect, and for good where it is lost, the key counts as
//     unknown: callers then use a new key, or look for themselves.
//   - While the platform is out, keyed calls are refused as not run.
//
// What is not promised: the first answer is not kept, so a repeat does not get
// it again; a node that dies between claim and call leaves a key that never ran
// and still counts as unknown; and claims stay on the platform until somebody
// removes them, after which their keys can run again.
//
// A keyed call costs the platform two writes: one before it and one after.
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
	// takeTimeout bounds the wait for the platform before a call.
	takeTimeout = 2 * time.Second
	// takeTries bounds the writes and reads that settle one claim.
	takeTries = 6
	// settleTimeout bounds the writes after a call.
	settleTimeout = 10 * time.Second
	// settlePause is the wait before the second try to settle; it doubles.
	settlePause = 200 * time.Millisecond
	// maxSettling bounds the claims that are settled at a time.
	maxSettling = 256
)

// State is what is known of a key.
type State string

// The states of a claim.
const (
	// StateClaimed keys may have run.
	StateClaimed State = "claimed"
	// StateDone keys ran and were answered.
	StateDone State = "done"
	// StateFree keys did not run.
	StateFree State = "free"
)

// Claim is the object of one key on the platform.
type Claim struct {
	State State `json:"state"`
	// Nonce is unique for each holder.
	Nonce string `json:"nonce"`
	// Fingerprint is a digest of the request's method, host and target, by which the
	// use of a key for another request is noticed.
	Fingerprint qhid.Digest  `json:"print"`
	Request     qhid.Request `json:"request"`
	Node        qhid.Node    `json:"node"`
	Time        time.Time    `json:"time"`
	// Status is that of the answer, 0 before it is done.
	Status int `json:"status,omitempty"`
}

// Options are the options of New.
type Options struct {
	Self    qhid.Node
	Store   qhplatform.Store
	Log     *zap.Logger
	Metrics *metrics.Set
}

// Manager takes and settles claims.
type Manager struct {
	Options
	group *qhgroup.Group
	// settling has a place for each claim that is being settled.
	settling  chan struct{}
	unsettled *metrics.Counter
}

// New returns claims on the platform and a clean-up that gives up on what is
// still being settled.
func New(options Options) (*Manager, func()) {
	group, stop := qhgroup.New(context.Background())
	return &Manager{
		Options:   options,
		group:     group,
		settling:  make(chan struct{}, maxSettling),
		unsettled: options.Metrics.NewCounter("qh_claims_unsettled_total"),
	}, stop
}

// KeyedCall is a call whose key is to be claimed.
type KeyedCall struct {
	Route   qhid.Route
	Key     string
	Request qhid.Request
	// Fingerprint identifies the request that the key is used for.
	Fingerprint qhid.Digest
}

// AlreadyClaimedError is a key that somebody else has claimed.
type AlreadyClaimedError struct{ Claim Claim }

// Error returns what is known of the key.
func (e *AlreadyClaimedError) Error() string {
	if e.Claim.State == StateDone {
		return fmt.Sprintf("the key was used by request %s, which was answered with status %d; look at its effect or use a new key", e.Claim.Request, e.Claim.Status)
	}
	return fmt.Sprintf("the key was used by request %s, whose outcome is unknown; look at its effect before using a new key", e.Claim.Request)
}

// Fingerprint returns the digest by which the use of a key for another request is
// noticed.
func Fingerprint(method, host, target string) qhid.Digest {
	return digest(method + "\x00" + host + "\x00" + target)
}

func digest(text string) qhid.Digest {
	sum := sha256.Sum256([]byte(text))
	return qhid.Digest(hex.EncodeToString(sum[:]))
}

// keyOf returns where the claim of a call is kept.
func keyOf(call KeyedCall) qhplatform.Key {
	return qhplatform.Key("claim/" + url.PathEscape(string(call.Route)) + "/" + string(digest(call.Key)))
}

// encode returns the claim as the platform keeps it.
func encode(claim Claim) []byte {
	value, _ := json.Marshal(claim) // strings, numbers and a time always encode
	return value
}

func decode(value []byte) (Claim, error) {
	var claim Claim
	if err := json.Unmarshal(value, &claim); err != nil {
		return Claim{}, qherr.New(qherr.Internal, err, "look at the object on the platform", "a claim is unreadable")
	}
	return claim, nil
}
