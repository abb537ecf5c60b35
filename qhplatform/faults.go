package qhplatform

import (
	"strings"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
)

// AllCalls makes a counted fault bite every call until it is switched off.
const AllCalls = -1

// Faults are the switches of a Memory. The zero value has none on.
type Faults struct {
	// Prefix limits the faults to keys that begin with it.
	Prefix Key `json:"prefix,omitempty"`
	// Down refuses every call as Unavailable.
	Down bool `json:"down,omitempty"`
	// Hang leaves every call without an answer and without effect.
	Hang bool `json:"hang,omitempty"`
	// Delay holds each call before it takes effect. A write whose caller goes
	// away meanwhile takes effect all the same.
	Delay qhconfig.Duration `json:"delay,omitempty"`
	// LostResponses is how many writes take effect without an answer; Every for all.
	LostResponses int `json:"lost,omitempty"`
	// SilentWatches leaves watches without an answer, also after the object changed.
	SilentWatches bool `json:"silent,omitempty"`
	// StaleBy makes reads answer with the object as it was so many writes ago, or
	// as it was first.
	StaleBy int `json:"stale,omitempty"`
	// RateLimit is the calls a second above which calls are refused; 0 for no bound.
	RateLimit float64 `json:"rate,omitempty"`
}

// Check returns BadInput for values that make no sense.
func (f *Faults) Check() error {
	if f.Delay < 0 || f.LostResponses < AllCalls || f.StaleBy < 0 || f.RateLimit < 0 {
		return qherr.New(qherr.BadInput, nil, "use 0 to switch a fault off", "a fault has a negative value")
	}
	return nil
}

func (f *Faults) bite(key Key) bool { return strings.HasPrefix(string(key), string(f.Prefix)) }

// takeLost tells whether the answer to a write of key is lost, and counts it.
func (f *Faults) takeLost(key Key) bool {
	if f.LostResponses == 0 || !f.bite(key) {
		return false
	}
	if f.LostResponses > 0 {
		f.LostResponses--
	}
	return true
}
