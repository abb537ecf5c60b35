package qhconfig

import (
	"fmt"
	"slices"
	"strings"
	"unicode"
)

// maxQuotedBytes limits how much of an invalid value an error message quotes.
const maxQuotedBytes = 64

// isValidName reports whether text can be the name of a service, route or target.
func isValidName(text string) bool {
	return text != "" && len(text) <= MaxNameBytes && !strings.ContainsFunc(text, isInvalidInName) && !strings.ContainsAny(text[:1], "-_.")
}

// isUsableName reports whether text can be a name in a header, unchanged.
func isUsableName(text string) bool {
	return text != "" && len(text) <= MaxUsableNameBytes && strings.TrimSpace(text) == text && !strings.ContainsFunc(text, unicode.IsControl)
}

func remedyUsableName() string {
	return fmt.Sprintf("use 1 to %d bytes without control characters and without spaces at either end", MaxUsableNameBytes)
}

// isInvalidInHostHeader reports whether r occurs in no Host header (RFC 9110, section 7.2).
func isInvalidInHostHeader(r rune) bool {
	return !isLetterOrDigit(r) && !strings.ContainsRune("!$%&'()*+,-.:;=[]_~", r)
}

func isInvalidInName(r rune) bool { return !isLetterOrDigit(r) && r != '-' && r != '_' && r != '.' }

// isInvalidInHost reports whether r occurs in no host name or IPv4 address.
func isInvalidInHost(r rune) bool { return !isLetterOrDigit(r) && r != '-' && r != '.' }

func isInvalidInMethod(r rune) bool { return (r < 'A' || r > 'Z') && r != '-' }

func isLetterOrDigit(r rune) bool {
	return (r >= 'a' && r <= 'z') || (r >= 'A' && r <= 'Z') || (r >= '0' && r <= '9')
}

// hasDotSegment reports whether a path has a segment "." or "..".
func hasDotSegment(path string) bool {
	return slices.ContainsFunc(strings.Split(path, "/"), func(segment string) bool {
		return segment == "." || segment == ".."
	})
}

// truncate shortens text for an error message.
func truncate(text string) string {
	if len(text) <= maxQuotedBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxQuotedBytes], "") + "..."
}
