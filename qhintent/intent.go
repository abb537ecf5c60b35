// Package qhintent parses operators' intents, written in JSON with comments, and
// applies them to a configuration.
package qhintent

import (
	"fmt"
	"slices"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
)

// Verb is the operation of an intent.
type Verb string

// The verbs.
const (
	// Add creates a service or route.
	Add Verb = "add"
	// Change sets the given fields of a service or route.
	Change Verb = "change"
	// Remove deletes a service or route.
	Remove Verb = "remove"
	// Shift moves a percentage of a route's calls between services, or replaces
	// all its shares.
	Shift Verb = "shift"
	// Retire stops new calls to targets of a service.
	Retire Verb = "retire"
	// Unretire allows new calls to retired targets again.
	Unretire Verb = "unretire"
	// Limit sets the limits of a service or route.
	Limit Verb = "limit"
	// Retry sets the retry policy of a route.
	Retry Verb = "repeat"
	// Rollback restores the content of an old version. It must be the only
	// intent of its file.
	Rollback Verb = "back"
)

// File is the content of an intent file.
type File struct {
	// Reason explains the change to other operators, on one line.
	Reason string `json:"reason" validate:"required,max=500"`
	// Intents are applied in order.
	Intents []Intent `json:"intents" validate:"min=1,max=10000,dive"`
}

// Intent is one change requested by an operator. The verb determines which fields
// may be set; a nil field is not set.
type Intent struct {
	Verb Verb `json:"do" validate:"required,oneof=add change remove shift retire unretire limit repeat back"`
	// Service or Route is the entry that the intent changes; exactly one is set,
	// except for Rollback.
	Service qhid.Service `json:"service"`
	Route   qhid.Route   `json:"route"`
	// Reason is the reason of this intent; if empty, File.Reason applies.
	Reason string `json:"why" validate:"max=500"`

	Slots          *int          `json:"slots"`
	MaxQueue       *int          `json:"queue"`
	MaxConnections *int          `json:"connections"`
	Targets        []qhid.Target `json:"targets"`

	Host             *string            `json:"host"`
	Prefix           *string            `json:"prefix"`
	Methods          []string           `json:"methods"`
	Shares           []qhconfig.Share   `json:"shares"`
	Retry            *string            `json:"repeat"`
	Timeout          *qhconfig.Duration `json:"timeout"`
	FirstByteTimeout *qhconfig.Duration `json:"silence"`
	MaxBodyBytes     *qhid.Bytes        `json:"body"`

	// From, To and Percent move percentage points of a route's calls from one
	// service to another.
	From    qhid.Service `json:"from"`
	To      qhid.Service `json:"to"`
	Percent qhid.Percent `json:"percent"`

	// Version is the version whose content Rollback restores.
	Version qhid.Version `json:"version"`
}

// NewRollback returns a file with the intent to restore the content of a version.
func NewRollback(version qhid.Version, reason string) File {
	return File{Reason: reason, Intents: []Intent{{Verb: Rollback, Version: version}}}
}

// RollbackVersion returns the version that the file rolls back to, 0 for none.
func (f File) RollbackVersion() qhid.Version {
	i := slices.IndexFunc(f.Intents, func(intent Intent) bool { return intent.Verb == Rollback })
	if i < 0 {
		return 0
	}
	return f.Intents[i].Version
}

// String returns the verb and the entry of the intent, as in `shift route "urns"`.
func (i Intent) String() string {
	switch {
	case i.Verb == Rollback:
		return fmt.Sprintf("back to version %d", i.Version)
	case i.Route != "":
		return fmt.Sprintf("%s route %q", i.Verb, i.Route)
	default:
		return fmt.Sprintf("%s service %q", i.Verb, i.Service)
	}
}
