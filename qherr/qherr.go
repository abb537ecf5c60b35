// Package qherr has the typed error kinds of quetzalhaven. Every error tells
// what went wrong and what to do about it.
package qherr

import (
	"errors"
	"fmt"
	"strings"
	"unicode"

	"github.com/gravitational/trace"
)

// Kind classifies an error.
type Kind string

// The kinds of errors.
const (
	// BadInput is input that can never succeed as it is.
	BadInput Kind = "bad input"
	// NotFound is a name that does not exist.
	NotFound Kind = "not found"
	// Refused is a check that failed. Nothing was changed.
	Refused Kind = "refused"
	// Conflict is a base that has moved on. Nothing was changed.
	Conflict Kind = "conflict"
	// Unavailable is a peer or platform out of reach. Nothing was changed.
	Unavailable Kind = "unavailable"
	// Unknown is a lost answer: the change may or may not be in effect.
	Unknown Kind = "outcome unknown"
	// Internal is everything else.
	Internal Kind = "internal"
)

// Status is the exit status of a command.
type Status int

// The exit statuses of all commands.
const (
	StatusDone    Status = 0
	StatusFailed  Status = 1
	StatusBadUse  Status = 2
	StatusRefused Status = 3
	StatusUnknown Status = 4
)

// Error is an error with a kind and a remedy.
type Error struct {
	// Kind is never empty.
	Kind Kind
	// What says what went wrong and where, without a final period.
	What string
	// Remedy says what to do, without a final period.
	Remedy string
	// Cause may be nil.
	Cause error
}

// New returns an error of the kind with the trace of its caller. cause may be nil.
func New(kind Kind, cause error, remedy, format string, args ...any) error {
	return trace.Wrap(&Error{Kind: kind, What: fmt.Sprintf(format, args...), Remedy: remedy, Cause: cause})
}

// Error returns what went wrong, the cause and the remedy, on one line.
func (e *Error) Error() string {
	msg := e.What
	if e.Cause != nil {
		msg += ": " + trace.UserMessage(e.Cause)
	}
	if e.Remedy != "" {
		msg += "; " + e.Remedy
	}
	return strings.Map(printable, msg)
}

// printable puts a space for line breaks and other control characters, which
// input that an error repeats may hold.
func printable(r rune) rune {
	if unicode.IsControl(r) {
		return ' '
	}
	return r
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of err, or Internal where it has none.
func KindOf(err error) Kind {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Kind
	}
	return Internal
}

// Is tells whether err has the kind.
func Is(err error, kind Kind) bool { return err != nil && KindOf(err) == kind }

// StatusOf returns the exit status that reports err.
func StatusOf(err error) Status {
	if err == nil {
		return StatusDone
	}
	switch KindOf(err) {
	case BadInput, NotFound:
		return StatusBadUse
	case Refused, Conflict:
		return StatusRefused
	case Unknown:
		return StatusUnknown
	default:
		return StatusFailed
	}
}
