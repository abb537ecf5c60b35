package qhcommand_test

import (
	"path/filepath"
	"testing"

	"quetzalhaven.dev/qhsuite"
)

func TestSpecs(t *testing.T) {
	qhsuite.Run(t, "qhcommand")
}

// testdata is the directory of the golden files, from any directory.
var testdata, _ = filepath.Abs("testdata")
