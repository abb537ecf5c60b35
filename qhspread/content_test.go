package qhspread

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhhold"
	"quetzalhaven.dev/qhid"
)

var _ = Describe("The content of a node that holds nothing", func() {
	// versionWith returns a configuration and the diff that leads to it.
	versionWith := func(base qhconfig.Config, before qhid.Version, service qhid.Service) (qhconfig.Config, qhconfig.Diff) {
		next := base.Ordered()
		next.Services = append(next.Services, qhconfig.Service{Name: service})
		diff := qhconfig.Compare(base, next)
		diff.Base, diff.Next, diff.Digest = before, before+1, next.Digest()
		return next, diff
	}
	first, toFirst := versionWith(qhconfig.Config{}, 0, "arrangements")
	second, toSecond := versionWith(first, 1, "booking")
	newNode := func() (*content, *qhhold.Holder) {
		holder := qhhold.New(qhhold.Options{})
		return newContent(holder, zap.NewNop()), holder
	}

	It("takes the newest version whole, and none of those before it", func() {
		peer, _ := newNode()
		Expect(peer.takeWhole(1, toFirst.Digest, first)).To(BeTrue())
		Expect(peer.takeDiff(toSecond)).To(BeTrue())
		sent, err := peer.answer(0)
		Expect(err).NotTo(HaveOccurred())
		Expect(sent.Diffs).To(BeEmpty())
		restarted, holder := newNode()
		changed := holder.Changed()
		Expect(restarted.take(sent)).To(BeTrue())
		Expect(changed).To(BeClosed())
		Expect(holder.Version()).To(Equal(qhid.Version(2)))
		Expect(holder.Current().Digest).To(Equal(second.Digest()))
	})

	It("asks for the whole version when it is sent the first diff", func() {
		node, holder := newNode()
		_, err := node.takeDiff(toFirst)
		Expect(qherr.Is(err, qherr.Conflict)).To(BeTrue())
		Expect(holder.Version()).To(BeZero())
	})
})
