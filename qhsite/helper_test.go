package qhsite_test

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhsite"
)

const (
	// eventTimeout bounds the wait for an expected event. It is not a limit on the
	// latency under test.
	eventTimeout = 30 * time.Second
	// specTimeout is the time after which a test counts as hung.
	specTimeout = 3 * time.Minute
	// logTailLines is the number of lines that a failed test prints of each log.
	logTailLines = 25
)

// fleet is a site and the newest version that was confirmed on it.
type fleet struct {
	*qhsite.Site
	version qhid.Version
}

// newFleet starts three nodes in each of three availability zones with the
// settings of the Ingoma example. The edits change the options before the start.
func newFleet(ctx context.Context, edits ...func(*qhsite.Options)) *fleet {
	GinkgoHelper()
	deployment, err := qhsite.LoadDeployment("../examples/ingoma")
	Expect(err).NotTo(HaveOccurred())
	for i, targets := range []int{4, 2, 3} {
		deployment.Services[i].TargetCount = targets
	}
	options := qhsite.Options{Programs: programs, Deployment: deployment}
	for _, edit := range edits {
		edit(&options)
	}
	site, stop, err := qhsite.New(ctx, options)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(stop)
	DeferCleanup(func() { checkLogs(site) })
	Expect(site.WaitMembers(ctx)).To(Succeed())
	return &fleet{Site: site}
}

// newServingFleet starts a fleet with the first two intents in force.
func newServingFleet(ctx context.Context, edits ...func(*qhsite.Options)) *fleet {
	GinkgoHelper()
	f := newFleet(ctx, edits...)
	f.applyIntents(ctx, "1-first.jsonc", f.Nodes)
	f.applyIntents(ctx, "2-certificates.jsonc", f.Nodes)
	return f
}

// applyIntents plans and confirms the intents of the file and waits until the
// nodes have the version in force.
func (f *fleet) applyIntents(ctx context.Context, intent string, nodes []*qhsite.Node) {
	GinkgoHelper()
	start := time.Now()
	plan := f.plan(ctx, intent)
	Expect(f.Confirm(ctx, plan)).To(Succeed())
	f.version++
	f.waitVersion(ctx, start, nodes)
}

// plan creates a plan from an intents file of the Ingoma example.
func (f *fleet) plan(ctx context.Context, intent string) qhid.Plan {
	GinkgoHelper()
	plan, err := f.Plan(ctx, "../examples/ingoma/intents/"+intent)
	Expect(err).NotTo(HaveOccurred())
	return plan
}

// waitVersion waits until the nodes have put the newest version in force after
// start.
func (f *fleet) waitVersion(ctx context.Context, start time.Time, nodes []*qhsite.Node) {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(ctx, eventTimeout)
	defer cancel()
	_, err := f.WaitVersion(ctx, f.version, start, nodes)
	Expect(err).NotTo(HaveOccurred(), "version %d", f.version)
}

// inZones returns the nodes in the availability zones.
func (f *fleet) inZones(zones ...qhid.Zone) []*qhsite.Node {
	var list []*qhsite.Node
	for _, node := range f.Nodes {
		for _, zone := range zones {
			if node.Settings.Zone == zone {
				list = append(list, node)
			}
		}
	}
	return list
}

// except returns all nodes other than the excluded ones.
func (f *fleet) except(excluded ...*qhsite.Node) []*qhsite.Node {
	var list []*qhsite.Node
	for _, node := range f.Nodes {
		keep := true
		for _, other := range excluded {
			keep = keep && node != other
		}
		if keep {
			list = append(list, node)
		}
	}
	return list
}

// target returns the target with the ID.
func (f *fleet) target(id qhid.Target) *qhsite.Target {
	GinkgoHelper()
	for _, target := range f.Targets {
		if target.ID == id {
			return target
		}
	}
	Fail("no target with the ID " + string(id))
	return nil
}

// executions returns how often the targets executed each request, by request ID
// and by idempotency key.
func (f *fleet) executions(ctx context.Context) (requests map[qhid.Request]int, keys map[string]int) {
	GinkgoHelper()
	requests, keys = make(map[qhid.Request]int), make(map[string]int)
	for _, target := range f.Targets {
		record, err := target.Record(ctx)
		Expect(err).NotTo(HaveOccurred())
		for id, count := range record.ExecutionsByRequest {
			requests[id] += count
		}
		for key, count := range record.ExecutionsByKey {
			keys[key] += count
		}
	}
	return requests, keys
}

// checkLogs fails the test if a node logged a data race or a panic, or if a node
// put an older version in force after a newer one, also across a restart. It
// prints the end of each log if the test has failed.
func checkLogs(site *qhsite.Site) {
	GinkgoHelper()
	for _, node := range site.Nodes {
		text, err := os.ReadFile(node.LogPath)
		Expect(err).NotTo(HaveOccurred())
		if CurrentSpecReport().Failed() {
			printLogTail(string(node.Settings.ID), string(text))
		}
		Expect(string(text)).NotTo(Or(ContainSubstring("DATA RACE"), ContainSubstring("panic:")), "log of %s", node.Settings.ID)
		versions, err := node.AppliedVersions()
		Expect(err).NotTo(HaveOccurred())
		for i := 1; i < len(versions); i++ {
			Expect(versions[i].Version).To(BeNumerically(">=", versions[i-1].Version), "%s returned to an older version", node.Settings.ID)
		}
	}
}

// printLogTail prints the last lines of a log to the output of the test.
func printLogTail(name, text string) {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	lines = lines[max(0, len(lines)-logTailLines):]
	_, _ = fmt.Fprintf(GinkgoWriter, "\n== %s\n%s\n", name, strings.Join(lines, "\n"))
}
