package qhplatform

import (
	"strings"

	"quetzalhaven.dev/qherr"
)

// maxKey is the longest key in bytes.
const maxKey = 512

// Check returns BadInput for a key that the platform does not take: segments
// are not empty, not "." or "..", and of letters, digits and -_.~:@+= only.
func (k Key) Check() error {
	if len(k) > maxKey {
		return badKey(k[:maxKey], "is longer than 512 bytes")
	}
	for segment := range strings.SplitSeq(string(k), "/") {
		if segment == "" || segment == "." || segment == ".." {
			return badKey(k, "has an empty or relative segment")
		}
		if strings.IndexFunc(segment, notInKey) >= 0 {
			return badKey(k, "has a character that keys do not take")
		}
	}
	return nil
}

func badKey(key Key, what string) error {
	return qherr.New(qherr.BadInput, nil, "use segments of letters, digits and -_.~:@+=", "key %q %s", string(key), what)
}

func notInKey(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	default:
		return !strings.ContainsRune("-_.~:@+=", r)
	}
}

func checkValue(key Key, value []byte) error {
	if len(value) <= int(MaxValueSize) {
		return nil
	}
	return qherr.New(qherr.BadInput, nil, "split it into objects of at most 1 MiB",
		"the value of %s has %d bytes, more than the platform holds", key, len(value))
}
