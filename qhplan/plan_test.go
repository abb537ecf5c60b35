package qhplan_test

import (
	"context"
	"encoding/json"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgolden"
	"quetzalhaven.dev/qhhead"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhintent"
	"quetzalhaven.dev/qhplan"
	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhsample"
)

// The intents of the tests.
const (
	shiftToTrial = `{"do": "shift", "route": "urns", "from": "booking", "to": "trial", "percent": 10}`
	limitBooking = `{"do": "limit", "service": "booking", "slots": 4}`
	limitTrial   = `{"do": "limit", "service": "trial", "slots": 1}`
	limitDesk    = `{"do": "limit", "service": "desk", "slots": 6}`
	limitOrders  = `{"do": "limit", "route": "orders", "timeout": "2s"}`
)

var _ = Describe("Plan", func() {
	It("describes the changes with their reach and reasons, without changing the configuration", func(ctx SpecContext) {
		f := newFixture(reachInKigali)
		f.confirmFirstVersion(ctx)
		plan := f.plan(ctx, "try the new booking", shiftToTrial)
		text, err := json.MarshalIndent(plan, "", "  ")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(qhgolden.Match("testdata/plan.golden"))
		_, version := f.config(ctx)
		Expect(version).To(Equal(qhid.Version(1)))
		Expect(f.Get(ctx, plan.ID)).To(Equal(plan))
	})

	It("reports an unknown reach if no node is configured", func(ctx SpecContext) {
		f := newFixture(nil)
		f.confirmFirstVersion(ctx)
		plan := f.plan(ctx, "fewer", limitBooking)
		Expect(plan.Reach.UnknownReason).To(Equal("no node was asked"))
		Expect(plan.Reach.Services).To(Equal([]qhid.Service{"booking"}))
	})

	It("refuses intents that change nothing", func(ctx SpecContext) {
		f := newFixture(nil)
		f.confirmFirstVersion(ctx)
		_, err := f.Plan(ctx, "amara", fileWithIntent("same", `{"do": "limit", "service": "booking", "slots": 9}`))
		Expect(err).To(MatchError(ContainSubstring("the intents do not change version 1")))
		Expect(qherr.KindOf(err)).To(Equal(qherr.Refused))
	})

	It("is stored and confirmed if it exceeds the platform's value size, as a rollback can", func(ctx SpecContext) {
		f := newFixture(nil)
		f.confirmFirstVersion(ctx)
		largeFile := qhintent.File{Reason: "all at once"}
		for _, service := range qhsample.ConfigOfSize(5000).Services {
			largeFile.Intents = append(largeFile.Intents, qhintent.Intent{Verb: qhintent.Add, Service: service.Name, Slots: &service.Slots, MaxQueue: &service.MaxQueue})
		}
		plan, err := f.Plan(ctx, "amara", largeFile)
		Expect(err).NotTo(HaveOccurred())
		encoded, err := json.Marshal(plan)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(encoded)).To(BeNumerically(">", qhplatform.MaxValueSize))
		Expect(f.Confirm(ctx, plan.ID, "amara")).To(HaveField("Version", qhid.Version(2)))
		rollback, err := f.Plan(ctx, "amara", qhintent.NewRollback(1, "too many"))
		Expect(err).NotTo(HaveOccurred())
		Expect(f.Confirm(ctx, rollback.ID, "amara")).To(HaveField("Version", qhid.Version(3)))
		Expect(f.ExplainVersion(ctx, 2)).To(HaveField("Plan.Changes", HaveLen(5000)))
	})

	It("is stored if the response to the write is lost", func(ctx SpecContext) {
		f := newFixture(nil)
		f.platform.SetFaults(qhplatform.Faults{LostResponses: 1, Prefix: "plan/"})
		plan, err := f.Plan(ctx, "amara", parseIntents(firstIntents))
		Expect(err).NotTo(HaveOccurred())
		Expect(f.Get(ctx, plan.ID)).To(Equal(plan))
	})
})

var _ = Describe("Confirm", func() {
	var f fixture

	BeforeEach(func(ctx SpecContext) {
		f = newFixture(nil)
		f.confirmFirstVersion(ctx)
	})

	It("is committed once if another operator confirms the plan again", func(ctx SpecContext) {
		plan := f.plan(ctx, "fewer", limitBooking)
		Expect(f.Confirm(ctx, plan.ID, "amara")).To(Equal(qhplan.Confirmation{Plan: plan.ID, Version: 2, Base: 1}))
		other := newFixtureOn(f.platform, nil)
		Expect(other.Confirm(ctx, plan.ID, "bento")).To(Equal(qhplan.Confirmation{Plan: plan.ID, Version: 2, Base: 1, AlreadyCommitted: true}))
		_, version := f.config(ctx)
		Expect(version).To(Equal(qhid.Version(2)))
	})

	It("is committed once if the record in the plan was lost and other versions followed", func(ctx SpecContext) {
		plan := f.plan(ctx, "fewer", limitBooking)
		f.confirmWithoutRecord(ctx, plan)
		next := f.plan(ctx, "desk", limitDesk)
		Expect(f.Confirm(ctx, next.ID, "amara")).To(HaveField("Version", qhid.Version(3)))
		Expect(f.Confirm(ctx, plan.ID, "amara")).To(And(HaveField("Version", qhid.Version(2)), HaveField("AlreadyCommitted", true)))
	})

	It("reports a conflict if the base is too far behind to determine whether the plan has taken effect", func(ctx SpecContext) {
		plan := f.plan(ctx, "fewer", limitBooking)
		f.confirmWithoutRecord(ctx, plan)
		for i := range 256 {
			Expect(f.Confirm(ctx, f.plan(ctx, "desk", fmt.Sprintf(`{"do": "limit", "service": "desk", "slots": %d}`, i+1)).ID, "amara")).NotTo(BeNil())
		}
		_, err := f.Confirm(ctx, plan.ID, "amara")
		Expect(qherr.KindOf(err)).To(Equal(qherr.Conflict))
		Expect(err).To(MatchError(ContainSubstring("too far back to determine whether the plan has taken effect")))
		Expect(f.ExplainPlan(ctx, plan.ID)).To(HaveField("Version", qhid.Version(2)))
	})

	It("resolves the outcome if the response to the write of the head is lost", func(ctx SpecContext) {
		plan := f.plan(ctx, "fewer", limitBooking)
		f.platform.SetFaults(qhplatform.Faults{LostResponses: 1, Prefix: "head"})
		Expect(f.Confirm(ctx, plan.ID, "amara")).To(HaveField("Version", qhid.Version(2)))
	})

	It("reports an unknown outcome if the platform goes down after the write", func(ctx SpecContext) {
		plan := f.plan(ctx, "fewer", limitBooking)
		store := f.platform.Store()
		update := store.Update
		store.Update = func(ctx context.Context, key qhplatform.Key, value []byte, at qhplatform.Revision) (qhplatform.Revision, error) {
			f.platform.SetFaults(qhplatform.Faults{LostResponses: 1})
			_, err := update(ctx, key, value, at)
			f.platform.SetFaults(qhplatform.Faults{Down: true})
			return 0, err
		}
		chain := qhhead.New(qhhead.Options{Store: store})
		planner := qhplan.New(qhplan.Options{Store: store, Chain: chain})
		_, err := planner.Confirm(ctx, plan.ID, "amara")
		Expect(qherr.KindOf(err)).To(Equal(qherr.Unknown))
		Expect(err).To(MatchError(ContainSubstring("confirm it again, which is safe because it takes effect at most once, or run qhctl explain " + string(plan.ID))))
		f.platform.SetFaults(qhplatform.Faults{})
		Expect(f.ExplainPlan(ctx, plan.ID)).To(HaveField("Version", qhid.Version(2)))
	})

	It("reports that nothing was changed while the platform is down", func(ctx SpecContext) {
		plan := f.plan(ctx, "fewer", limitBooking)
		f.platform.SetFaults(qhplatform.Faults{Down: true})
		_, err := f.Confirm(ctx, plan.ID, "amara")
		Expect(qherr.KindOf(err)).To(Equal(qherr.Unavailable))
		Expect(err).To(MatchError(ContainSubstring("nothing was changed, confirm it again when the platform is available")))
		f.platform.SetFaults(qhplatform.Faults{})
		_, version := f.config(ctx)
		Expect(version).To(Equal(qhid.Version(1)))
	})

	DescribeTable("rebases a plan with an outdated base if the changes do not conflict",
		func(ctx SpecContext, first, second string) {
			a, b := f.plan(ctx, "first", first), f.plan(ctx, "second", second)
			Expect(f.Confirm(ctx, a.ID, "amara")).To(HaveField("Version", qhid.Version(2)))
			Expect(f.Confirm(ctx, b.ID, "bento")).To(Equal(qhplan.Confirmation{Plan: b.ID, Version: 3, Base: 1}))
		},
		Entry("services", limitBooking, limitDesk),
		Entry("routes", shiftToTrial, limitOrders),
		Entry("a service and a route to another", limitBooking, limitOrders),
		Entry("new routes to one service",
			`{"do": "add", "route": "a", "prefix": "/a", "shares": [{"service": "desk", "percent": 100}]}`,
			`{"do": "add", "route": "b", "prefix": "/b", "shares": [{"service": "desk", "percent": 100}]}`),
	)

	DescribeTable("refuses a plan with an outdated base if the changes conflict",
		func(ctx SpecContext, first, second, conflict string) {
			a, b := f.plan(ctx, "first", first), f.plan(ctx, "second", second)
			Expect(f.Confirm(ctx, a.ID, "amara")).To(HaveField("Version", qhid.Version(2)))
			_, err := f.Confirm(ctx, b.ID, "bento")
			Expect(qherr.KindOf(err)).To(Equal(qherr.Conflict))
			Expect(err).To(MatchError(And(ContainSubstring(conflict), ContainSubstring("make a new plan from the newest version"))))
			_, version := f.config(ctx)
			Expect(version).To(Equal(qhid.Version(2)))
		},
		Entry("a service", limitBooking, limitBooking, `service "booking"`),
		Entry("a route", shiftToTrial, `{"do": "repeat", "route": "urns", "repeat": "safe"}`, `route "urns"`),
		Entry("the service that a share is shifted to", limitTrial, shiftToTrial, `service "trial"`),
		Entry("a removed service that a newer version routes calls to",
			`{"do": "shift", "route": "orders", "shares": [{"service": "trial", "percent": 100}]}`,
			`{"do": "remove", "service": "trial"}`, `service "trial"`),
		Entry("the prefix of a new route",
			`{"do": "add", "route": "a", "prefix": "/new", "shares": [{"service": "desk", "percent": 100}]}`,
			`{"do": "add", "route": "b", "prefix": "/new", "shares": [{"service": "desk", "percent": 100}]}`, `the prefix "/new"`),
	)

	It("rolls back by a new version with the old content, and never rebases a rollback", func(ctx SpecContext) {
		first, _ := f.config(ctx)
		Expect(f.Confirm(ctx, f.plan(ctx, "fewer", limitBooking).ID, "amara")).To(HaveField("Version", qhid.Version(2)))
		rollback, err := f.Plan(ctx, "amara", qhintent.NewRollback(1, "too few slots"))
		Expect(err).NotTo(HaveOccurred())
		Expect(rollback.Changes[0].Reasons).To(Equal([]string{"back to version 1: too few slots"}))
		secondRollback, err := f.Plan(ctx, "amara", qhintent.NewRollback(1, "twice"))
		Expect(err).NotTo(HaveOccurred())
		Expect(f.Confirm(ctx, rollback.ID, "amara")).To(HaveField("Version", qhid.Version(3)))
		config, _ := f.config(ctx)
		Expect(config.Digest()).To(Equal(first.Digest()))
		_, err = f.Confirm(ctx, secondRollback.ID, "amara")
		Expect(qherr.KindOf(err)).To(Equal(qherr.Conflict))
		_, err = f.Plan(ctx, "amara", qhintent.NewRollback(9, "none"))
		Expect(qherr.KindOf(err)).To(Equal(qherr.NotFound))
	})

	It("refuses malformed and unknown plan ids", func(ctx SpecContext) {
		_, err := f.Confirm(ctx, "../head", "amara")
		Expect(qherr.KindOf(err)).To(Equal(qherr.BadInput))
		_, err = f.Confirm(ctx, "p1-0123456789ab", "amara")
		Expect(qherr.KindOf(err)).To(Equal(qherr.NotFound))
	})
})

// confirmWithoutRecord confirms a plan and removes the committed version from the
// stored plan, as if writing it had failed.
func (f fixture) confirmWithoutRecord(ctx context.Context, plan qhplan.Plan) {
	GinkgoHelper()
	_, err := f.Confirm(ctx, plan.ID, "amara")
	Expect(err).NotTo(HaveOccurred())
	object, err := f.platform.Store().Get(ctx, qhplatform.Key("plan/"+string(plan.ID)))
	Expect(err).NotTo(HaveOccurred())
	plan.Committed = nil
	data, err := json.Marshal(plan)
	Expect(err).NotTo(HaveOccurred())
	_, err = f.platform.Store().Update(ctx, object.Key, data, object.Revision)
	Expect(err).NotTo(HaveOccurred())
}

var _ = Describe("Explain", func() {
	It("describes the origin of a version and the state of a plan", func(ctx SpecContext) {
		f := newFixture(nil)
		f.confirmFirstVersion(ctx)
		first, rebased, conflicting := f.plan(ctx, "fewer", limitBooking), f.plan(ctx, "desk", limitDesk), f.plan(ctx, "more", `{"do": "limit", "service": "booking", "slots": 20}`)
		Expect(f.Confirm(ctx, first.ID, "amara")).To(HaveField("Version", qhid.Version(2)))
		Expect(f.Confirm(ctx, rebased.ID, "bento")).To(HaveField("Version", qhid.Version(3)))

		explanation, err := f.ExplainVersion(ctx, 3)
		Expect(err).NotTo(HaveOccurred())
		Expect(explanation.RebasedOver).To(Equal([]qhid.Version{2}))
		text, err := json.MarshalIndent(explanation, "", "  ")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(qhgolden.Match("testdata/explanation.golden"))

		refused, err := f.ExplainPlan(ctx, conflicting.ID)
		Expect(err).NotTo(HaveOccurred())
		Expect(refused.State).To(Equal(qhplan.StateRefused))
		Expect(refused.RefusalReason).To(ContainSubstring(`both write or read service "booking"`))
		Expect(refused.Concurrent).To(HaveLen(2))
		Expect(f.ExplainPlan(ctx, rebased.ID)).To(And(HaveField("State", qhplan.StateCommitted), HaveField("Version", qhid.Version(3))))
		open := f.plan(ctx, "orders", limitOrders)
		Expect(f.ExplainPlan(ctx, open.ID)).To(HaveField("State", qhplan.StateOpen))
		_, err = f.ExplainVersion(ctx, 4)
		Expect(qherr.KindOf(err)).To(Equal(qherr.NotFound))
	})

	It("lists the versions, newest first", func(ctx SpecContext) {
		f := newFixture(nil)
		Expect(f.History(ctx, 5)).To(BeEmpty())
		f.confirmFirstVersion(ctx)
		Expect(f.Confirm(ctx, f.plan(ctx, "fewer", limitBooking).ID, "amara")).To(HaveField("Version", qhid.Version(2)))
		records, err := f.History(ctx, 5)
		Expect(err).NotTo(HaveOccurred())
		Expect(records).To(HaveLen(2))
		Expect(records[0]).To(And(HaveField("Version", qhid.Version(2)), HaveField("Author", "amara"), HaveField("Reason", "fewer")))
	})
})
