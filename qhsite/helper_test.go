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
	// patience is how long a test waits for what has to happen. It is no bound
	// on how fast it happens.
	patience = 30 * time.Second
	// hang is when a test counts as hung.
	hang = 3 * time.Minute
	// tailLines is how much of each log a failed test shows.
	tailLines = 25
)

// fleet is a site with the versions that were confirmed on it.
type fleet struct {
	*qhsite.Site
	version qhid.Version
}

// newFleet starts three nodes in each of three availability zones, with the
// settings and intents of Ingoma, as changed by the edits.
func newFleet(ctx context.Context, edits ...func(*qhsite.Options)) *fleet {
	GinkgoHelper()
	deployment, err := qhsite.LoadDeployment("../examples/ingoma")
	Expect(err).NotTo(HaveOccurred())
	for i, endpoints := range []int{4, 2, 3} {
		deployment.Services[i].Endpoints = endpoints
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

// newServingFleet is newFleet with the first two intents in force.
func newServingFleet(ctx context.Context, edits ...func(*qhsite.Options)) *fleet {
	GinkgoHelper()
	f := newFleet(ctx, edits...)
	f.change(ctx, "1-first.jsonc", f.Nodes)
	f.change(ctx, "2-certificates.jsonc", f.Nodes)
	return f
}

// change confirms a plan of the intents and waits until the nodes have it in force.
func (f *fleet) change(ctx context.Context, intent string, nodes []*qhsite.Node) {
	GinkgoHelper()
	start := time.Now()
	plan := f.plan(ctx, intent)
	Expect(f.Confirm(ctx, plan)).To(Succeed())
	f.version++
	f.waitHeld(ctx, start, nodes)
}

func (f *fleet) plan(ctx context.Context, intent string) qhid.Plan {
	GinkgoHelper()
	plan, err := f.Plan(ctx, "../examples/ingoma/intents/"+intent)
	Expect(err).NotTo(HaveOccurred())
	return plan
}

// waitHeld waits until the nodes have put the newest version in force after start.
func (f *fleet) waitHeld(ctx context.Context, start time.Time, nodes []*qhsite.Node) {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	_, err := f.WaitHeld(ctx, f.version, start, nodes)
	Expect(err).NotTo(HaveOccurred(), "version %d", f.version)
}

// in returns the nodes of the availability zones.
func (f *fleet) in(zones ...qhid.Zone) []*qhsite.Node {
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

// others returns all nodes but those.
func (f *fleet) others(without ...*qhsite.Node) []*qhsite.Node {
	var list []*qhsite.Node
	for _, node := range f.Nodes {
		keep := true
		for _, other := range without {
			keep = keep && node != other
		}
		if keep {
			list = append(list, node)
		}
	}
	return list
}

// target returns the target with the id.
func (f *fleet) target(id qhid.Target) *qhsite.Target {
	GinkgoHelper()
	for _, target := range f.Targets {
		if target.ID == id {
			return target
		}
	}
	Fail("no target " + string(id))
	return nil
}

// records returns what the targets did, by request id and by key.
func (f *fleet) records(ctx context.Context) (requests map[qhid.Request]int, keys map[string]int) {
	GinkgoHelper()
	requests, keys = make(map[qhid.Request]int), make(map[string]int)
	for _, target := range f.Targets {
		record, err := target.Record(ctx)
		Expect(err).NotTo(HaveOccurred())
		for id, runs := range record.Requests {
			requests[id] += runs
		}
		for key, runs := range record.Keys {
			keys[key] += runs
		}
	}
	return requests, keys
}

// checkLogs fails the test where a program raced or panicked, or where a node
// went back to an older version, also over a restart. A failed test shows the
// ends of the logs.
func checkLogs(site *qhsite.Site) {
	GinkgoHelper()
	for _, node := range site.Nodes {
		text, err := os.ReadFile(node.Log)
		Expect(err).NotTo(HaveOccurred())
		if CurrentSpecReport().Failed() {
			showTail(string(node.Settings.ID), string(text))
		}
		Expect(string(text)).NotTo(Or(ContainSubstring("DATA RACE"), ContainSubstring("panic:")), "log of %s", node.Settings.ID)
		held, err := node.Held()
		Expect(err).NotTo(HaveOccurred())
		for i := 1; i < len(held); i++ {
			Expect(held[i].Version).To(BeNumerically(">=", held[i-1].Version), "%s went back", node.Settings.ID)
		}
	}
}

func showTail(name, text string) {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	lines = lines[max(0, len(lines)-tailLines):]
	_, _ = fmt.Fprintf(GinkgoWriter, "\n== %s\n%s\n", name, strings.Join(lines, "\n"))
}
