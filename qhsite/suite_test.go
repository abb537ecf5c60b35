package qhsite_test

import (
	"os"
	"os/exec"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhsite"
	"quetzalhaven.dev/qhsuite"
)

func TestSite(t *testing.T) {
	qhsuite.Run(t, "qhsite")
}

// programs are built once for all tests, with the race detector if the tests are
// built with it.
var programs qhsite.Programs

var _ = BeforeSuite(func() {
	dir, err := os.MkdirTemp("", "qhsite-programs-")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, dir)
	// By default, programs with the race detector sleep for one second at exit.
	Expect(os.Setenv("GORACE", "atexit_sleep_ms=0")).To(Succeed())
	args := append([]string{"build", "-o", dir}, buildFlags...)
	cmd := exec.Command("go", append(args, "./qhnode", "./qhctl", "./qhstand")...)
	cmd.Dir = ".."
	out, err := cmd.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	programs = qhsite.ProgramsIn(dir)
})
