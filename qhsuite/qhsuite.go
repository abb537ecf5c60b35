// Package qhsuite runs the specs of a package with the same random choices in
// every run, so that a test gives the same verdict each time.
package qhsuite

import (
	"flag"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	_ "pgregory.net/rapid" // registers its flags, which init sets
)

// seed fixes the random choices of ginkgo and, as text, of rapid.
const (
	seed     = 20261203
	seedText = "20261203"
)

// init fixes the random sequences of rapid. Flags on the command line still
// go first, since they are read later.
func init() {
	for name, value := range map[string]string{"rapid.seed": seedText, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// Run runs the specs of a package.
func Run(t *testing.T, name string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = seed
	ginkgo.RunSpecs(t, name, suite, reporter)
}
