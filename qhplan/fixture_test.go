package qhplan_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhhead"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhintent"
	"quetzalhaven.dev/qhoperate"
	"quetzalhaven.dev/qhplan"
	"quetzalhaven.dev/qhplatform"
)

// fixture is a planner on a fake platform.
type fixture struct {
	*qhplan.Planner
	platform *qhplatform.Fake
	chain    *qhhead.Chain
}

func newFixture(reach qhplan.ReachFunc) fixture {
	platform := qhplatform.NewFake(qhplatform.FakeOptions{})
	return newFixtureOn(platform, reach)
}

// newFixtureOn returns a planner on an existing fake platform, so that two
// operators can share it. Plan ids are derived from the number of objects.
func newFixtureOn(platform *qhplatform.Fake, reach qhplan.ReachFunc) fixture {
	chain := qhhead.New(qhhead.Options{Store: platform.Store()})
	planner := qhplan.New(qhplan.Options{
		Store: platform.Store(),
		Chain: chain,
		Reach: reach,
		Now:   func() time.Time { return time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC) },
		NewID: func(base qhid.Version) qhid.Plan {
			return qhid.Plan(fmt.Sprintf("p%d-%012x", base, platform.Counts().Objects))
		},
	})
	return fixture{Planner: planner, platform: platform, chain: chain}
}

const firstIntents = `{"reason": "open the mesh", "intents": [
	{"do": "add", "service": "booking", "slots": 9, "connections": 120},
	{"do": "add", "service": "trial"},
	{"do": "add", "service": "desk"},
	{"do": "add", "route": "urns", "prefix": "/urns", "timeout": "5s", "shares": [{"service": "booking", "percent": 100}]},
	{"do": "add", "route": "orders", "prefix": "/orders", "shares": [{"service": "desk", "percent": 100}]}]}`

func parseIntents(text string) qhintent.File {
	GinkgoHelper()
	file, err := qhintent.Parse("intents.jsonc", []byte(text))
	Expect(err).NotTo(HaveOccurred())
	return file
}

// fileWithIntent returns a file with one intent.
func fileWithIntent(reason, intent string) qhintent.File {
	GinkgoHelper()
	return parseIntents(fmt.Sprintf(`{"reason": %q, "intents": [%s]}`, reason, intent))
}

// plan makes a plan of one intent.
func (f fixture) plan(ctx context.Context, reason, intent string) qhplan.Plan {
	GinkgoHelper()
	plan, err := f.Plan(ctx, "amara", fileWithIntent(reason, intent))
	Expect(err).NotTo(HaveOccurred())
	return plan
}

// confirmFirstVersion plans and confirms the first version.
func (f fixture) confirmFirstVersion(ctx context.Context) {
	GinkgoHelper()
	plan, err := f.Plan(ctx, "amara", parseIntents(firstIntents))
	Expect(err).NotTo(HaveOccurred())
	Expect(f.Confirm(ctx, plan.ID, "amara")).To(HaveField("Version", qhid.Version(1)))
}

// config returns the newest configuration and its version.
func (f fixture) config(ctx context.Context) (qhconfig.Config, qhid.Version) {
	GinkgoHelper()
	head, err := f.chain.ReadHead(ctx)
	Expect(err).NotTo(HaveOccurred())
	config, _, err := f.chain.Load(ctx, head)
	Expect(err).NotTo(HaveOccurred())
	return config, head.Version
}

func reachInKigali(_ context.Context, services []qhid.Service) (qhid.Address, qhoperate.AffectedCounts, error) {
	return "127.0.0.1:7105", qhoperate.AffectedCounts{Nodes: 6, Zones: []qhoperate.ZoneCounts{
		{Zone: "kigali-a", Nodes: 2, Targets: len(services)}, {Zone: "kigali-b", Nodes: 4, Targets: 3},
	}}, nil
}
