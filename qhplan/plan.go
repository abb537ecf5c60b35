// Package qhplan turns the intents of operators into plans, and confirmed plans
// into versions. A plan changes nothing until it is confirmed.
package qhplan

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"regexp"
	"time"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
)

// prefix begins the keys of plans on the platform.
const prefix qhplatform.Key = "plan/"

// Plan is a difference to a version, with its reach and its reasons. It is kept
// on the platform as object "plan/<id>".
type Plan struct {
	// ID begins with the base, so that the plans of one base can be listed.
	ID qhid.Plan `json:"id"`
	// Base is the version that the plan was made from, 0 for the first.
	Base qhid.Version `json:"base"`
	// Record is the digest of the base's record; empty for the first.
	Record qhid.Digest `json:"record,omitempty"`
	Author string      `json:"author"`
	Reason string      `json:"reason"`
	Time   time.Time   `json:"time"`
	// Back is the version whose content the plan returns to, 0 for none.
	Back qhid.Version `json:"back,omitempty"`
	// Diff is what the plan does to its base.
	Diff qhconfig.Diff `json:"diff"`
	// Lines tell what changes and why, services first, ordered by name.
	Lines []Line `json:"lines"`
	Reach Reach  `json:"reach"`
	// Done is noted after the confirm, and may be missing for a plan that is
	// in effect: the chain of versions decides.
	Done *Done `json:"done,omitempty"`
}

// Done tells which version a plan made.
type Done struct {
	Version qhid.Version `json:"version"`
	// Record is the digest of the version's record.
	Record qhid.Digest `json:"record"`
}

// idEntropy is the random size of a plan's id.
const idEntropy qhid.Bytes = 6

func newID(base qhid.Version) qhid.Plan {
	buf := make([]byte, idEntropy)
	_, _ = rand.Read(buf) // never fails, see crypto/rand
	return qhid.Plan(fmt.Sprintf("p%d-%s", base, hex.EncodeToString(buf)))
}

// IsID tells whether text is the id of a plan.
func IsID(text string) bool {
	return regexp.MustCompile(`^p[0-9]{1,20}-[0-9a-f]{12}$`).MatchString(text)
}

func keyOf(id qhid.Plan) qhplatform.Key { return prefix + qhplatform.Key(id) }

// basePrefix begins the keys of the plans that were made from a version.
func basePrefix(base qhid.Version) qhplatform.Key {
	return prefix + qhplatform.Key(fmt.Sprintf("p%d-", base))
}
