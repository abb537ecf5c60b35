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

// programs are built once for all tests, with the race detector where the
// tests have it.
var programs qhsite.Programs

var _ = BeforeSuite(func() {
	dir, err := os.MkdirTemp("", "qhsite-programs-")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, dir)
	// Programs with the race detector else sleep a second when they end.
	Expect(os.Setenv("GORACE", "atexit_sleep_ms=0")).To(Succeed())
	args := append([]string{"build", "-o", dir}, buildFlags...)
	cmd := exec.Command("go", append(args, "./qhnode", "./qhctl", "./qhstand")...)
	cmd.Dir = ".."
	out, err := cmd.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	programs = qhsite.ProgramsIn(dir)
})
