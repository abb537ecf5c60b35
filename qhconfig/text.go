package qhconfig

import (
	"slices"
	"strings"
)

const (
	hostCharacters   = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-.[]"
	methodCharacters = "ABCDEFGHIJKLMNOPQRSTUVWXYZ-"
	nameCharacters   = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."
	// maxClip bounds the bytes of a value that an error repeats.
	maxClip = 64
)

// isName tells whether text can be the name of a service, route or target.
func isName(text string) bool {
	return text != "" && len(text) <= MaxName && only(text, nameCharacters) && !strings.ContainsAny(text[:1], "-_.")
}

// only tells whether text has no other characters than those of set.
func only(text, set string) bool {
	return !strings.ContainsFunc(text, func(r rune) bool { return !strings.ContainsRune(set, r) })
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

func names[T ~string](values []T) []string {
	texts := make([]string, len(values))
	for i, value := range values {
		texts[i] = string(value)
	}
	return texts
}
