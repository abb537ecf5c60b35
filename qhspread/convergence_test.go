package qhspread

import (
	"bytes"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhstatus"
)

var _ = Describe("Convergence", func() {
	It("is measured once, when the version is in force on the last node", func() {
		set := metrics.NewSet()
		c := newConvergence(set)
		now := time.Unix(1000, 0)
		c.start(3, now)
		c.observe(qhstatus.Summary{Versions: []qhstatus.VersionCount{{Version: 2, Nodes: 1}, {Version: 3, Nodes: 6}}}, now.Add(time.Second))
		complete := qhstatus.Summary{Versions: []qhstatus.VersionCount{{Version: 3, Nodes: 7}}}
		c.observe(complete, now.Add(2*time.Second))
		c.observe(complete, now.Add(5*time.Second))
		var text bytes.Buffer
		set.WritePrometheus(&text)
		Expect(text.String()).To(ContainSubstring("qh_spread_convergence_seconds_sum 2\n"))
		Expect(text.String()).To(ContainSubstring("qh_spread_convergence_seconds_count 1\n"))
	})
})
