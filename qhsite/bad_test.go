package qhsite_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhhead"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhsite"
)

var _ = Describe("A bad version that got onto the platform", func() {
	It("is kept out whole by every node, told to the operator, and followed by a good one", func(ctx SpecContext) {
		f := newServingFleet(ctx)
		f.putBadVersion(ctx)
		result, err := f.Ctl(ctx, "status", "--wait")
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Status).To(Equal(qherr.StatusRefused), result.Out+result.Err)
		Expect(result.Out + result.Err).To(ContainSubstring(`service "absent" does not exist`))
		for _, node := range f.Nodes {
			Expect(node.Version(ctx)).To(Equal(f.version))
		}
		f.expectAnswers(ctx, http.MethodGet, "/slots/today")
		f.expectAnswers(ctx, http.MethodPost, "/certificates")

		start := time.Now()
		back, err := f.Done(ctx, "back", "2", "--reason", "version 3 is bad")
		Expect(err).NotTo(HaveOccurred())
		plan, err := qhsite.PlanOf(back.Out)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.Confirm(ctx, plan)).To(Succeed())
		f.version += 2 // the bad one and the one after it
		f.waitHeld(ctx, start, f.Nodes)
		f.expectAnswers(ctx, http.MethodGet, "/slots/today")
	}, SpecTimeout(hang))
})

// putBadVersion moves the head to a version with one more route, to a service
// that does not exist. It writes what the chain itself would refuse to write.
func (f *fleet) putBadVersion(ctx context.Context) {
	GinkgoHelper()
	store, stop := qhplatform.NewHTTP(qhplatform.HTTPOptions{BaseURL: f.Platform})
	defer stop()
	chain := qhhead.New(qhhead.Options{Store: store})
	head, err := chain.Read(ctx)
	Expect(err).NotTo(HaveOccurred())
	config, before, err := chain.Load(ctx, head)
	Expect(err).NotTo(HaveOccurred())

	bad := config.Canonical()
	bad.Routes = append(bad.Routes, qhconfig.Route{
		Name:   "zoo",
		Prefix: "/zoo",
		Shares: []qhconfig.Share{{Service: "absent", Percent: qhconfig.TotalPercent}},
	})
	diff := qhconfig.Compare(config, bad)
	diff.Base, diff.Next, diff.Digest = head.Version, head.Version+1, bad.Digest()
	record := qhhead.Record{
		Version:        diff.Next,
		Plan:           "p2-bad",
		PreviousDigest: head.RecordDigest,
		ConfigDigest:   diff.Digest,
		Depth:          before.Depth + 1,
		Diff:           &diff,
	}
	data, err := json.Marshal(record)
	Expect(err).NotTo(HaveOccurred())
	sum := sha256.Sum256(data)
	next := qhhead.Head{Version: record.Version, RecordDigest: qhid.Digest(hex.EncodeToString(sum[:])), Plan: record.Plan}
	_, err = store.Create(ctx, qhplatform.Key("record/"+next.RecordDigest), data)
	Expect(err).NotTo(HaveOccurred())
	data, err = json.Marshal(next)
	Expect(err).NotTo(HaveOccurred())
	_, err = store.Update(ctx, "head", data, head.Revision)
	Expect(err).NotTo(HaveOccurred())
}
