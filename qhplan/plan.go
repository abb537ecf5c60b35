// Package qhplan turns operators' intents into plans, and confirmed plans into
// configuration versions. A plan changes nothing until it is confirmed.
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

// keyPrefix is the prefix of the keys of all plans on the platform.
const keyPrefix qhplatform.Key = "plan/"

// Plan is a proposed change to a version: a diff with its reach and its reasons.
// It is stored on the platform as object "plan/<id>".
type Plan struct {
	// ID starts with the base version, so that the plans made from one version
	// can be listed by key prefix.
	ID qhid.Plan `json:"id"`
	// Base is the version that the plan was made from, 0 before the first version.
	Base qhid.Version `json:"base"`
	// BaseRecordDigest is the digest of the base version's record; empty if Base is 0.
	BaseRecordDigest qhid.Digest `json:"record,omitempty"`
	Author           string      `json:"author"`
	Reason           string      `json:"reason"`
	Time             time.Time   `json:"time"`
	// RollbackTo is the version whose content the plan restores, 0 for none.
	RollbackTo qhid.Version `json:"back,omitempty"`
	// Diff is the change to the base version.
	Diff qhconfig.Diff `json:"diff"`
	// Changes describe the diff with its reasons, services first, ordered by name.
	Changes []EntryChange `json:"lines"`
	Reach   Reach         `json:"reach"`
	// Committed is set after the plan was confirmed. It may be nil for a plan
	// that is committed, since it is written after the commit: the version
	// chain is authoritative.
	Committed *CommittedVersion `json:"done,omitempty"`
}

// CommittedVersion identifies the version that a plan created.
type CommittedVersion struct {
	Version qhid.Version `json:"version"`
	// RecordDigest is the digest of the version's record.
	RecordDigest qhid.Digest `json:"record"`
}

// planIDBytes is the number of random bytes in a plan id.
const planIDBytes qhid.Bytes = 6

func newPlanID(base qhid.Version) qhid.Plan {
	buf := make([]byte, planIDBytes)
	_, _ = rand.Read(buf) // crypto/rand.Read never returns an error
	return qhid.Plan(fmt.Sprintf("p%d-%s", base, hex.EncodeToString(buf)))
}

// IsID reports whether text has the form of a plan id.
func IsID(text string) bool {
	return regexp.MustCompile(`^p[0-9]{1,20}-[0-9a-f]{12}$`).MatchString(text)
}

func planKey(id qhid.Plan) qhplatform.Key { return keyPrefix + qhplatform.Key(id) }

// baseKeyPrefix returns the key prefix of the plans that were made from a
// version.
func baseKeyPrefix(base qhid.Version) qhplatform.Key {
	return keyPrefix + qhplatform.Key(fmt.Sprintf("p%d-", base))
}
