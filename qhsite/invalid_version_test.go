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

var _ = Describe("An invalid version on the platform", func() {
	It("is refused as a whole by every node, is reported to the operator and can be rolled back", func(ctx SpecContext) {
		f := newServingFleet(ctx)
		f.writeInvalidVersion(ctx)
		result, err := f.Ctl(ctx, "status", "--wait")
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Status).To(Equal(qherr.StatusRefused), result.Stdout+result.Stderr)
		Expect(result.Stdout + result.Stderr).To(ContainSubstring(`service "absent" does not exist`))
		for _, node := range f.Nodes {
			Expect(node.Version(ctx)).To(Equal(f.version))
		}
		f.expectResponses(ctx, http.MethodGet, "/slots/today")
		f.expectResponses(ctx, http.MethodPost, "/certificates")

		start := time.Now()
		rollback, err := f.CtlChecked(ctx, "back", "2", "--reason", "version 3 is invalid")
		Expect(err).NotTo(HaveOccurred())
		plan, err := qhsite.ParsePlanID(rollback.Stdout)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.Confirm(ctx, plan)).To(Succeed())
		f.version += 2 // the invalid version and the rollback
		f.waitVersion(ctx, start, f.Nodes)
		f.expectResponses(ctx, http.MethodGet, "/slots/today")
	}, SpecTimeout(specTimeout))
})

// writeInvalidVersion moves the head to a version with an additional route to a
// service that does not exist. It writes to the store directly, because
// qhhead.Chain refuses to write an invalid version.
func (f *fleet) writeInvalidVersion(ctx context.Context) {
	GinkgoHelper()
	store, stop := qhplatform.NewHTTP(qhplatform.HTTPOptions{BaseURL: f.PlatformURL})
	defer stop()
	chain := qhhead.New(qhhead.Options{Store: store})
	head, err := chain.ReadHead(ctx)
	Expect(err).NotTo(HaveOccurred())
	config, current, err := chain.Load(ctx, head)
	Expect(err).NotTo(HaveOccurred())

	invalid := config.Canonical()
	invalid.Routes = append(invalid.Routes, qhconfig.Route{
		Name:   "zoo",
		Prefix: "/zoo",
		Shares: []qhconfig.Share{{Service: "absent", Percent: qhconfig.TotalPercent}},
	})
	diff := qhconfig.Compare(config, invalid)
	diff.Base, diff.Next, diff.Digest = head.Version, head.Version+1, invalid.Digest()
	record := qhhead.Record{
		Version:        diff.Next,
		Plan:           "p2-bad",
		PreviousDigest: head.RecordDigest,
		ConfigDigest:   diff.Digest,
		Depth:          current.Depth + 1,
		Diff:           &diff,
	}
	data, err := json.Marshal(record)
	Expect(err).NotTo(HaveOccurred())
	sum := sha256.Sum256(data)
	newHead := qhhead.Head{Version: record.Version, RecordDigest: qhid.Digest(hex.EncodeToString(sum[:])), Plan: record.Plan}
	_, err = store.Create(ctx, qhplatform.Key("record/"+newHead.RecordDigest), data)
	Expect(err).NotTo(HaveOccurred())
	data, err = json.Marshal(newHead)
	Expect(err).NotTo(HaveOccurred())
	_, err = store.Update(ctx, "head", data, head.Revision)
	Expect(err).NotTo(HaveOccurred())
}
