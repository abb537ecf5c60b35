package main

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

func TestStand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "qhstand")
}

// binary is the path of the qhstand program under test.
var binary string

var _ = BeforeSuite(func() {
	var err error
	binary, err = gexec.Build("quetzalhaven.dev/qhstand")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
})
