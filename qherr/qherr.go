// Package qherr defines errors with a kind, a message and a remedy, and the exit
// statuses of commands.
package qherr

import (
	"errors"
	"fmt"
	"strings"
	"unicode"

	"github.com/gravitational/trace"
)

// Kind classifies an error by its effect and by who can fix it.
type Kind string

// Error kinds.
const (
	// BadInput is invalid input. The same input fails every time.
	BadInput Kind = "bad input"
	// NotFound is a reference to something that does not exist.
	NotFound Kind = "not found"
	// Refused is a request that a check rejected. Nothing was changed.
	Refused Kind = "refused"
	// Conflict is a condition that did not hold, such as the expected revision of
	// a write. Nothing was changed.
	Conflict Kind = "conflict"
	// Unavailable is an unreachable peer or platform. Nothing was changed.
	Unavailable Kind = "unavailable"
	// Unknown is a lost response: the change may or may not have taken effect.
	Unknown Kind = "outcome unknown"
	// Internal is any other error.
	Internal Kind = "internal"
)

// ExitStatus is the exit status of a command.
type ExitStatus int

// Exit statuses of commands.
const (
	StatusOK      ExitStatus = 0
	StatusFailed  ExitStatus = 1
	StatusUsage   ExitStatus = 2
	StatusRefused ExitStatus = 3
	StatusUnknown ExitStatus = 4
)

// Error is an error with a kind, a message and a remedy.
type Error struct {
	// Kind is always set.
	Kind Kind
	// Message says what went wrong and where, without a final period.
	Message string
	// Remedy says how to fix it, without a final period.
	Remedy string
	// Cause is the underlying error, or nil.
	Cause error
}

// New returns an error of the kind, with the stack trace of its caller. cause may
// be nil.
func New(kind Kind, cause error, remedy, format string, args ...any) error {
	return trace.Wrap(&Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy, Cause: cause})
}

// Error returns the message, the cause and the remedy on one line.
func (e *Error) Error() string {
	msg := e.Message
	if e.Cause != nil {
		msg += ": " + trace.UserMessage(e.Cause)
	}
	if e.Remedy != "" {
		msg += "; " + e.Remedy
	}
	return strings.Map(replaceControl, msg)
}

// replaceControl replaces control characters such as line breaks by spaces.
// Messages may quote input that contains them.
func replaceControl(r rune) rune {
	if unicode.IsControl(r) {
		return ' '
	}
	return r
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of err, or Internal if it has none.
func KindOf(err error) Kind {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Kind
	}
	return Internal
}

// Is reports whether err has the kind.
func Is(err error, kind Kind) bool { return err != nil && KindOf(err) == kind }

// StatusOf returns the exit status for err.
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
