package qhconfig

import (
	"slices"
	"strings"
)

// maxClip bounds the bytes of a value that an error repeats.
const maxClip = 64

// isName tells whether text can be the name of a service, route or target.
func isName(text string) bool {
	return text != "" && len(text) <= MaxName && !strings.ContainsFunc(text, notInName) && !strings.ContainsAny(text[:1], "-_.")
}

func notInName(r rune) bool { return !isLetterOrDigit(r) && r != '-' && r != '_' && r != '.' }

// notInHost lets host names and IP numbers of version 4 pass.
func notInHost(r rune) bool { return !isLetterOrDigit(r) && r != '-' && r != '.' }

func notInMethod(r rune) bool { return (r < 'A' || r > 'Z') && r != '-' }

func isLetterOrDigit(r rune) bool {
	return (r >= 'a' && r <= 'z') || (r >= 'A' && r <= 'Z') || (r >= '0' && r <= '9')
}

// hasDots tells whether a path has a segment . or ..
func hasDots(path string) bool {
	return slices.ContainsFunc(strings.Split(path, "/"), func(segment string) bool {
		return segment == "." || segment == ".."
	})
}

// clip shortens text for an error.
func clip(text string) string {
	if len(text) <= maxClip {
		return text
	}
	return strings.ToValidUTF8(text[:maxClip], "") + "..."
}
