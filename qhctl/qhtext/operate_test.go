package qhtext_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhcrash"
	"quetzalhaven.dev/qhctl/qhtext"
	"quetzalhaven.dev/qhgolden"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhoperate"
)

var _ = Describe("Rollouts, Tenants and Crashes", func() {
	It("show why a roll-out waits, and whether keys may be used", func() {
		var text strings.Builder
		writer := qhtext.NewWriter(&text)
		writer.Rollouts(nil)
		writer.Rollouts([]qhoperate.RolloutView{
			{Service: "arrangements", Software: "v7", Duration: time.Minute},
			{Service: "booking", Software: "v2", Phase: "exposing", Elapsed: 12300 * time.Millisecond, Duration: 30 * time.Second, Exposed: 8,
				Answers: 410, Failures: 3, OldAnswers: 4020, OldFailures: 22, Reason: "sound so far; watched for a part of the order's time"},
		})
		tenants := []qhoperate.TenantView{
			{Tenant: "parish-1", Priority: 1, Rate: 627, Burst: 627, Demand: 41.26, Refused: 3, Keys: []string{"Zm9vYmFy", "YmFyZm9v"}},
			{Tenant: "parish-2", Keys: []string{}},
		}
		for _, view := range []qhoperate.TenantsView{
			{ProofAge: 812 * time.Millisecond, KeysUsable: true, Tenants: tenants},
			{ProofAge: -1, KeysUsable: true}, {ProofAge: -1}, {ProofAge: 7 * time.Second},
		} {
			writer.Tenants(view)
		}
		writer.Crashes(nil)
		writer.Crashes([]qhcrash.Verdict{
			{Request: "qm3JxTgA0bW1", Service: "booking", Targets: []qhid.Target{"t1", "t2", "t1"}, Quarantined: true, Remaining: 593 * time.Second},
			{Request: "s0yPx1M2b7Qw", Service: "booking", Targets: []qhid.Target{"t2"}},
			{Request: "x4Vn8kJc2eRt", Service: "booking"},
		})
		writer.Released("qm3JxTgA0bW1")
		Expect(writer.Err()).NotTo(HaveOccurred())
		Expect(text.String()).To(qhgolden.Match("testdata/operate.golden"))
	})
})
