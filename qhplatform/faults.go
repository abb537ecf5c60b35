package qhplatform

import (
	"strings"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
)

// AllCalls makes a counted fault apply to every call until it is switched off.
const AllCalls = -1

// Faults are the faults that a fake platform injects. The zero value has none.
type Faults struct {
	// Prefix limits the faults, except RateLimit, to keys that begin with it.
	Prefix Key `json:"prefix,omitempty"`
	// Down makes every call fail as Unavailable.
	Down bool `json:"down,omitempty"`
	// Hang leaves every call without a response and without effect.
	Hang bool `json:"hang,omitempty"`
	// Delay delays each call before it takes effect. A write whose caller goes away
	// meanwhile still takes effect.
	Delay qhconfig.Duration `json:"delay,omitempty"`
	// LostResponses is the number of writes that take effect without a response;
	// AllCalls for all.
	LostResponses int `json:"lost,omitempty"`
	// SilentWatches leaves watches of an object without a response, and makes
	// watches of a prefix return no changes, even after the objects changed.
	SilentWatches bool `json:"silent,omitempty"`
	// StaleBy makes reads return the object as it was so many writes ago, or its
	// oldest known state.
	StaleBy int `json:"stale,omitempty"`
	// RateLimit is the number of calls per second above which calls are refused; 0
	// for no limit.
	RateLimit float64 `json:"rate,omitempty"`
}

// Check returns BadInput if a value is out of range.
func (f *Faults) Check() error {
	if f.Delay < 0 || f.LostResponses < AllCalls || f.StaleBy < 0 || f.RateLimit < 0 {
		return qherr.New(qherr.BadInput, nil, "use 0 to switch a fault off", "a fault has a negative value")
	}
	return nil
}

func (f *Faults) matches(key Key) bool { return strings.HasPrefix(string(key), string(f.Prefix)) }

// loseResponse reports whether the response to a write of key is lost, and counts
// it.
func (f *Faults) loseResponse(key Key) bool {
	if f.LostResponses == 0 || !f.matches(key) {
		return false
	}
	if f.LostResponses > 0 {
		f.LostResponses--
	}
	return true
}
