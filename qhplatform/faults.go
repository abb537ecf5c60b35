package qhplatform

import (
	"strings"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
)

// Every makes a counted fault bite every call until it is switched off.
const Every = -1

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
	// Lost is how many writes take effect without an answer; Every for all.
	Lost int `json:"lost,omitempty"`
	// Silent leaves watches without an answer, also after the object changed.
	Silent bool `json:"silent,omitempty"`
	// Stale makes reads answer with the object as it was so many writes ago, or
	// as it was first.
	Stale int `json:"stale,omitempty"`
	// Rate is the calls a second above which calls are refused; 0 for no bound.
	Rate float64 `json:"rate,omitempty"`
}

// Check returns BadInput for values that make no sense.
func (f *Faults) Check() error {
	if f.Delay < 0 || f.Lost < Every || f.Stale < 0 || f.Rate < 0 {
		return qherr.New(qherr.BadInput, nil, "use 0 to switch a fault off", "a fault has a negative value")
	}
	return nil
}

func (f *Faults) bite(key Key) bool { return strings.HasPrefix(string(key), string(f.Prefix)) }

// takeLost tells whether the answer to a write of key is lost, and counts it.
func (f *Faults) takeLost(key Key) bool {
	if f.Lost == 0 || !f.bite(key) {
		return false
	}
	if f.Lost > 0 {
		f.Lost--
	}
	return true
}
