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

// ExitStatus is the exit status of a command.
type ExitStatus int

// The exit statuses of all commands.
const (
	StatusOK      ExitStatus = 0
	StatusFailed  ExitStatus = 1
	StatusUsage   ExitStatus = 2
	StatusRefused ExitStatus = 3
	StatusUnknown ExitStatus = 4
)

// Error is an error with a kind and a remedy.
type Error struct {
	// Kind is never empty.
	Kind Kind
	// Message says what went wrong and where, without a final period.
	Message string
	// Remedy says what to do, without a final period.
	Remedy string
	// Cause may be nil.
	Cause error
}

// New returns an error of the kind with the trace of its caller. cause may be nil.
func New(kind Kind, cause error, remedy, format string, args ...any) error {
	return trace.Wrap(&Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy, Cause: cause})
}

// Error returns what went wrong, the cause and the remedy, on one line.
func (e *Error) Error() string {
	msg := e.Message
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
func StatusOf(err error) ExitStatus {
	if err == nil {
		return StatusOK
	}
	switch KindOf(err) {
	case BadInput, NotFound:
		return StatusUsage
	case Refused, Conflict:
		return StatusRefused
	case Unknown:
		return StatusUnknown
	default:
		return StatusFailed
	}
}
