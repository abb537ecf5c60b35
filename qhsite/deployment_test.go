package qhsite_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhsite"
)

var _ = Describe("LoadDeployment", func() {
	DescribeTable("loads the example deployments with their fleet sizes",
		func(name string, zones, targets, slots, connections int) {
			deployment, err := qhsite.LoadDeployment("../examples/" + name)
			Expect(err).NotTo(HaveOccurred())
			Expect(deployment.Zones).To(HaveLen(zones))
			total := 0
			for _, service := range deployment.Services {
				total += service.TargetCount
				Expect(service.Slots).To(Equal(slots))
				Expect(service.MaxConnections).To(Equal(connections))
			}
			Expect(total).To(Equal(targets))
		},
		Entry("Ingoma", "ingoma", 3, 8+3, 9, 120),
		Entry("Feirarte", "feirarte", 3, 9+3, 6, 130),
	)

	It("returns BadInput for a folder that does not exist", func() {
		_, err := qhsite.LoadDeployment("../examples/absent")
		Expect(qherr.Is(err, qherr.BadInput)).To(BeTrue())
	})
})
