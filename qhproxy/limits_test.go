package qhproxy

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the known rate limits of targets", func() {
	It("hold until a response without one comes after their TTL", func() {
		l := newTargetLimits()
		now := time.Now()
		_, changed := l.record("t", 0, false, now)
		Expect(changed).To(BeFalse())
		_, changed = l.record("t", 12.5, true, now)
		Expect(changed).To(BeTrue())
		_, changed = l.record("t", 12.5, true, now.Add(time.Second))
		Expect(changed).To(BeFalse())
		before, changed := l.record("t", 3, true, now.Add(2*time.Second))
		Expect(changed).To(BeTrue())
		Expect(before).To(BeEquivalentTo(12.5))
		_, changed = l.record("t", 0, false, now.Add(2*time.Second+rateLimitTTL/2))
		Expect(changed).To(BeFalse())
		Expect(l.count()).To(Equal(1))
		_, changed = l.record("t", 0, false, now.Add(2*time.Second+rateLimitTTL))
		Expect(changed).To(BeTrue())
		Expect(l.count()).To(BeZero())
	})

	It("are forgotten some time after the last response of a target", func() {
		l := newTargetLimits()
		now := time.Now()
		l.record("gone", 1, true, now)
		l.record("t", 1, true, now.Add(2*rateLimitMemory))
		Expect(l.count()).To(Equal(1))
	})
})
