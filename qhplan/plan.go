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

// keyPrefix begins the keys of plans on the platform.
const keyPrefix qhplatform.Key = "plan/"

// Plan is a difference to a version, with its reach and its reasons. It is kept
// on the platform as object "plan/<id>".
type Plan struct {
	// ID begins with the base, so that the plans of one base can be listed.
	ID qhid.Plan `json:"id"`
	// Base is the version that the plan was made from, 0 for the first.
	Base qhid.Version `json:"base"`
	// BaseRecordDigest is the digest of the base's record; empty for the first.
	BaseRecordDigest qhid.Digest `json:"record,omitempty"`
	Author           string      `json:"author"`
	Reason           string      `json:"reason"`
	Time             time.Time   `json:"time"`
	// RollbackTo is the version whose content the plan returns to, 0 for none.
	RollbackTo qhid.Version `json:"back,omitempty"`
	// Diff is what the plan does to its base.
	Diff qhconfig.Diff `json:"diff"`
	// Changes tell what changes and why, services first, ordered by name.
	Changes []EntryChange `json:"lines"`
	Reach   Reach         `json:"reach"`
	// Committed is noted after the confirm, and may be missing for a plan that is
	// in effect: the chain of versions decides.
	Committed *CommittedVersion `json:"done,omitempty"`
}

// CommittedVersion tells which version a plan made.
type CommittedVersion struct {
	Version qhid.Version `json:"version"`
	// RecordDigest is the digest of the version's record.
	RecordDigest qhid.Digest `json:"record"`
}

// planIDBytes is the random size of a plan's id.
const planIDBytes qhid.Bytes = 6

func newPlanID(base qhid.Version) qhid.Plan {
	buf := make([]byte, planIDBytes)
	_, _ = rand.Read(buf) // never fails, see crypto/rand
	return qhid.Plan(fmt.Sprintf("p%d-%s", base, hex.EncodeToString(buf)))
}

// IsID tells whether text is the id of a plan.
func IsID(text string) bool {
	return regexp.MustCompile(`^p[0-9]{1,20}-[0-9a-f]{12}$`).MatchString(text)
}

func planKey(id qhid.Plan) qhplatform.Key { return keyPrefix + qhplatform.Key(id) }

// baseKeyPrefix begins the keys of the plans that were made from a version.
func baseKeyPrefix(base qhid.Version) qhplatform.Key {
	return keyPrefix + qhplatform.Key(fmt.Sprintf("p%d-", base))
}
