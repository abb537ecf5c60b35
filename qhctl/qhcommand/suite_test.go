package qhcommand_test

import (
	"path/filepath"
	"testing"

	"quetzalhaven.dev/qhsuite"
)

func TestSpecs(t *testing.T) {
	qhsuite.Run(t, "qhcommand")
}

// testdata is the absolute path of the golden files, since the tests change the
// working directory.
var testdata, _ = filepath.Abs("testdata")
