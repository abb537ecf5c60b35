package qhplatform

import (
	"strings"

	"quetzalhaven.dev/qherr"
)

// maxKeyLength is the length of the longest key in bytes.
const maxKeyLength = 512

// Check returns BadInput if the key is invalid. Segments must not be empty, "." or
// "..", and consist of letters, digits and -_.~:@+= only.
func (k Key) Check() error {
	if len(k) > maxKeyLength {
		return invalidKeyError(k[:maxKeyLength], "is longer than 512 bytes")
	}
	for segment := range strings.SplitSeq(string(k), "/") {
		if segment == "" || segment == "." || segment == ".." {
			return invalidKeyError(k, "has an empty or relative segment")
		}
		if strings.IndexFunc(segment, isInvalidInKey) >= 0 {
			return invalidKeyError(k, "has a character that is not allowed in keys")
		}
	}
	return nil
}

func invalidKeyError(key Key, problem string) error {
	return qherr.New(qherr.BadInput, nil, "use segments of letters, digits and -_.~:@+=", "key %q %s", string(key), problem)
}

func isInvalidInKey(r rune) bool {
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
		"the value of %s has %d bytes, more than the platform stores", key, len(value))
}
