// Package qhintent has what operators ask for: intents, read from JSON with
// comments, and what they make of a configuration.
package qhintent

import (
	"fmt"
	"slices"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
)

// Verb says what an intent does.
type Verb string

// The verbs.
const (
	// Add makes a new service or route.
	Add Verb = "add"
	// Change sets the fields that it gives of a service or route.
	Change Verb = "change"
	// Remove takes a service or route away.
	Remove Verb = "remove"
	// Shift moves a share of a route's calls, or sets all of its shares.
	Shift Verb = "shift"
	// Retire gives targets of a service no new calls.
	Retire Verb = "retire"
	// Unretire takes targets back into use.
	Unretire Verb = "unretire"
	// Limit sets the limits of a service or route.
	Limit Verb = "limit"
	// Retry says which calls of a route may be repeated.
	Retry Verb = "repeat"
	// Rollback returns to the content of an old version. It stands alone.
	Rollback Verb = "back"
)

// File is the intents of one file.
type File struct {
	// Reason tells colleagues why, on one line.
	Reason string `json:"reason" validate:"required,max=500"`
	// Intents are done in their order.
	Intents []Intent `json:"intents" validate:"min=1,max=10000,dive"`
}

// Intent is one thing that an operator asks for. Which fields it takes depends
// on its verb; a field that is nil is not given.
type Intent struct {
	Verb Verb `json:"do" validate:"required,oneof=add change remove shift retire unretire limit repeat back"`
	// Service or Route names what the intent is about, one of them.
	Service qhid.Service `json:"service"`
	Route   qhid.Route   `json:"route"`
	// Reason is the reason of this intent; the file's goes for one without.
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

	// From, To and Percent move points of a route's calls between services.
	From    qhid.Service `json:"from"`
	To      qhid.Service `json:"to"`
	Percent qhid.Percent `json:"percent"`

	// Version is the one whose content Back returns to.
	Version qhid.Version `json:"version"`
}

// NewRollback returns the intents that return to the content of a version.
func NewRollback(version qhid.Version, reason string) File {
	return File{Reason: reason, Intents: []Intent{{Verb: Rollback, Version: version}}}
}

// RollbackVersion returns the version that the file returns to, 0 for none.
func (f File) RollbackVersion() qhid.Version {
	i := slices.IndexFunc(f.Intents, func(intent Intent) bool { return intent.Verb == Rollback })
	if i < 0 {
		return 0
	}
	return f.Intents[i].Version
}

// String names the intent, as in `shift route "urns"`.
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
