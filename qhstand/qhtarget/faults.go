package qhtarget

import (
	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
)

// Faults are the switches of a target. The zero value has none on.
type Faults struct {
	// Next is how many calls the faults bite; 0 for all.
	Next int `json:"next,omitempty"`
	// Time replaces how long a call runs where it is not 0.
	Time qhconfig.Duration `json:"time,omitempty"`
	// Late holds the answer of a call that has run.
	Late qhconfig.Duration `json:"late,omitempty"`
	// Broken breaks the answer off half-way.
	Broken bool `json:"broken,omitempty"`
	// Hang runs the call and never answers.
	Hang bool `json:"hang,omitempty"`
	// Refuse sheds the call before it runs.
	Refuse bool `json:"refuse,omitempty"`
	// Cut runs the call and closes the connection without an answer.
	Cut bool `json:"cut,omitempty"`
	// Size pads the answer to at least so many bytes.
	Size qhid.Bytes `json:"size,omitempty"`
	// Chunked sends the answer in chunks, with its digest as a trailer.
	Chunked bool `json:"chunked,omitempty"`
	// Health is what the health endpoint says; empty for the truth.
	Health string `json:"health,omitempty"`
	// Load is what the health endpoint says of the running calls; 0 for the truth.
	Load int `json:"load,omitempty"`
}
