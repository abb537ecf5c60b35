package qhcommand_test

import (
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSpecs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "qhcommand")
}

// testdata is the directory of the golden files, from any directory.
var testdata, _ = filepath.Abs("testdata")
