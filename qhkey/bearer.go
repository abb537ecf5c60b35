// Package qhkey authenticates callers by the keys of their tenants, and limits how long
// a node may do so without proof that its configuration is the newest.
package qhkey

import "strings"

const (
	// scheme is the authentication scheme, in lower case (RFC 6750).
	scheme = "bearer"
	// maxKeyLength bounds a key. Longer ones are not looked up.
	maxKeyLength = 4 << 10
)

// Problem says why no key could be taken from a request. It never contains the key.
type Problem string

// Problems with credentials.
const (
	Missing   Problem = "the request has no key"
	Ambiguous Problem = "the request has several Authorization headers"
	NotBearer Problem = "the Authorization header does not use the scheme Bearer"
	Malformed Problem = "the Authorization header has no valid key"
	Unknown   Problem = "the key is not known"
)

// Challenge returns the value of the WWW-Authenticate header of the response to the
// problem (RFC 6750, section 3).
func (p Problem) Challenge() string {
	switch p {
	case Missing:
		return `Bearer realm="mesh"`
	case Unknown:
		return `Bearer realm="mesh", error="invalid_token"`
	default:
		return `Bearer realm="mesh", error="invalid_request"`
	}
}

// IsUsable reports whether a caller can send the key.
func IsUsable(key string) bool { return key != "" && len(key) <= maxKeyLength && isToken68(key) }

// FromAuthorization returns the key in the Authorization headers of a request, or the
// problem with them.
func FromAuthorization(values []string) (string, Problem) {
	switch len(values) {
	case 0:
		return "", Missing
	case 1:
	default:
		return "", Ambiguous
	}
	name, key, _ := strings.Cut(values[0], " ")
	if !strings.EqualFold(name, scheme) {
		return "", NotBearer
	}
	key = strings.Trim(key, " ")
	if !IsUsable(key) {
		return "", Malformed
	}
	return key, ""
}

// isToken68 reports whether the text has the form of credentials (RFC 9110, section
// 11.2).
func isToken68(text string) bool {
	text = strings.TrimRight(text, "=")
	for i := range len(text) {
		switch c := text[i]; {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', strings.IndexByte("-._~+/", c) >= 0:
		default:
			return false
		}
	}
	return text != ""
}
