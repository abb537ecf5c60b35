// Package qhsuite runs the Ginkgo specs of a package with fixed random seeds for
// Ginkgo and rapid, so that every run makes the same random choices and a test
// result does not vary from run to run.
package qhsuite

import (
	"flag"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	_ "pgregory.net/rapid" // registers its flags, which init sets
)

// Fixed random seeds. Both have the same value; rapid's is set as a flag.
const (
	seed      = 20261203
	rapidSeed = "20261203"
)

// init sets the flags of rapid: a fixed seed, and no files for failed examples.
// Flags on the command line take precedence, since they are parsed later.
func init() {
	for name, value := range map[string]string{"rapid.seed": rapidSeed, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// Run runs the Ginkgo specs of the calling package with the fixed seed, as the
// suite with the given name. Call it from the package's only Test function.
func Run(t *testing.T, name string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = seed
	ginkgo.RunSpecs(t, name, suite, reporter)
}
