// Package qhcrowd tests a fleet of processes beside crowds of clients that send as much
// as they can and release as little as they can. The programs are built without the race
// detector, which multiplies the memory of a process.
package qhcrowd_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhsite"
	"quetzalhaven.dev/qhsuite"
)

const (
	// maxMemory is the memory of a VM in the settings of the nodes, and the bound on each
	// process.
	maxMemory qhid.Bytes = 96_000_000
	// eventTimeout bounds the wait for an expected event. It is not a limit on the
	// latency under test.
	eventTimeout = 30 * time.Second
	// specTimeout is the time after which a test counts as hung.
	specTimeout = 3 * time.Minute
	// ordinaryCallCount is the number of ordinary calls that are answered one after the
	// other beside a crowd.
	ordinaryCallCount = 100
	// logTailBytes is how much a failed test prints of each log.
	logTailBytes = 3000
)

func TestCrowd(t *testing.T) {
	qhsuite.Run(t, "qhcrowd")
}

// programs are built once for all tests.
var programs qhsite.Programs

var _ = BeforeSuite(func() {
	dir, err := os.MkdirTemp("", "qhcrowd-programs-")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, dir)
	cmd := exec.Command("go", "build", "-o", dir, "./qhnode", "./qhctl", "./qhstand")
	cmd.Dir = ".."
	out, err := cmd.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	programs = qhsite.ProgramsIn(dir)
})

// fleet is a site of three nodes, each beside the only target of its service.
type fleet struct {
	*qhsite.Site
	maxFiles int
}

// newFleet starts a fleet whose nodes may open maxFiles files and have maxMemory.
func newFleet(ctx context.Context, maxFiles int) *fleet {
	GinkgoHelper()
	deployment, err := qhsite.LoadDeployment("../examples/ingoma")
	Expect(err).NotTo(HaveOccurred())
	for i := range deployment.Services {
		deployment.Services[i].TargetCount = 1
	}
	deployment.Node.Bounds.MaxMemory = maxMemory
	deployment.Node.Calls.Shed = true
	deployment.Node.Log.Format = "json"
	limited := programs
	limited.Node = limitFiles(programs.Node, maxFiles)
	site, stop, err := qhsite.New(ctx, qhsite.Options{Programs: limited, Deployment: deployment})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(stop)
	DeferCleanup(func() { printLogs(site) })
	Expect(site.WaitMembers(ctx)).To(Succeed())
	f := &fleet{Site: site, maxFiles: maxFiles}
	f.applyIntents(ctx, 1, "1-first.jsonc")
	f.applyIntents(ctx, 2, "2-certificates.jsonc")
	return f
}

// limitFiles returns a program that runs the given one with a limit on its open files.
func limitFiles(program string, maxFiles int) string {
	GinkgoHelper()
	script := filepath.Join(GinkgoT().TempDir(), "limited")
	text := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec %s \"$@\"\n", maxFiles, program)
	Expect(os.WriteFile(script, []byte(text), 0o700)).To(Succeed())
	return script
}

// applyIntents confirms the intents of a file of the Ingoma example and waits until the
// version that they lead to is in force.
func (f *fleet) applyIntents(ctx context.Context, version qhid.Version, intents string) {
	GinkgoHelper()
	start := time.Now()
	plan, err := f.Plan(ctx, "../examples/ingoma/intents/"+intents)
	Expect(err).NotTo(HaveOccurred())
	Expect(f.Confirm(ctx, plan)).To(Succeed())
	ctx, cancel := context.WithTimeout(ctx, eventTimeout)
	defer cancel()
	_, err = f.WaitVersion(ctx, version, start, f.Nodes)
	Expect(err).NotTo(HaveOccurred())
}

// target returns the target of a service.
func (f *fleet) target(service qhid.Service) *qhsite.Target {
	GinkgoHelper()
	for _, target := range f.Targets {
		if target.Service.Name == service {
			return target
		}
	}
	Fail("no target of " + string(service))
	return nil
}

// expectOrdinaryCalls makes calls of the service booking through the node, each on a
// connection of its own, and expects each to be answered in the end.
func (f *fleet) expectOrdinaryCalls(ctx context.Context, node *qhsite.Node, count int) {
	GinkgoHelper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: eventTimeout}
	for range count {
		Eventually(ctx, func(ctx context.Context) (int, error) {
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(node.Settings.Listen.Callers)+"/slots/today", nil)
			if err != nil {
				return 0, err
			}
			response, err := client.Do(request)
			if err != nil {
				return 0, err
			}
			return response.StatusCode, response.Body.Close()
		}, eventTimeout).Should(Equal(http.StatusOK))
	}
}

// expectWithinLimits expects that every node lives and is within the limits of its VM. A
// twentieth of the open files is left for new connections to targets and other nodes.
func (f *fleet) expectWithinLimits() {
	GinkgoHelper()
	for _, node := range f.Nodes {
		Expect(node.Done()).NotTo(BeClosed(), "node %s ended", node.Settings.ID)
		usage, err := node.Usage()
		Expect(err).NotTo(HaveOccurred())
		AddReportEntry("usage", fmt.Sprintf("%s: peak memory %d MB, %d open files", node.Settings.ID, usage.PeakMemory/1_000_000, usage.OpenFiles))
		Expect(usage.PeakMemory).To(BeNumerically("<=", maxMemory), "peak memory of %s", node.Settings.ID)
		Expect(usage.OpenFiles).To(BeNumerically("<=", f.maxFiles*19/20), "open files of %s", node.Settings.ID)
	}
}

// printLogs prints what each node holds for its clients and the end of its log if the test has
// failed.
func printLogs(site *qhsite.Site) {
	if !CurrentSpecReport().Failed() {
		return
	}
	for _, node := range site.Nodes {
		metrics, err := node.OperatorGet(context.Background(), "/metrics")
		for line := range strings.Lines(string(metrics)) {
			if strings.HasPrefix(line, "qh_held") || strings.HasPrefix(line, "qh_clients") {
				_, _ = fmt.Fprint(GinkgoWriter, line)
			}
		}
		if err != nil {
			_, _ = fmt.Fprintln(GinkgoWriter, "no metrics of", node.Settings.ID, err)
		}
		text, err := os.ReadFile(node.LogPath)
		Expect(err).NotTo(HaveOccurred())
		_, _ = fmt.Fprintf(GinkgoWriter, "\n== %s\n%s\n", node.Settings.ID, text[max(0, len(text)-logTailBytes):])
	}
}
