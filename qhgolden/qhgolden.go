// Package qhgolden provides a Gomega matcher that compares text with golden
// files.
package qhgolden

import (
	"os"

	"github.com/onsi/gomega"
	"github.com/onsi/gomega/types"
)

// updateVariable is the environment variable that, if not empty, makes Match
// write golden files instead of comparing with them.
const updateVariable = "UPDATE_GOLDEN"

const fileMode = 0o644

// Match returns a matcher that succeeds if a string equals the content of the
// golden file at path, relative to the folder of the test's package. With
// UPDATE_GOLDEN set, it writes the string to the file instead.
func Match(path string) types.GomegaMatcher {
	return gomega.WithTransform(func(got string) ([2]string, error) {
		if os.Getenv(updateVariable) != "" {
			return [2]string{got, got}, os.WriteFile(path, []byte(got), fileMode)
		}
		want, err := os.ReadFile(path)
		return [2]string{got, string(want)}, err
	}, gomega.Satisfy(func(pair [2]string) bool { return pair[0] == pair[1] }))
}
