package qhserve

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http/httptest"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"quetzalhaven.dev/qhannounce"
	"quetzalhaven.dev/qhgolden"
	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhsample"
	"quetzalhaven.dev/qhsetting"
)

var _ = Describe("Dump", func() {
	It("has the JSON structure that operators' tools read", func() {
		platform := httptest.NewServer(qhplatform.NewHandler(qhplatform.NewFake(qhplatform.FakeOptions{})))
		DeferCleanup(platform.Close)
		settings := qhsetting.DefaultNode()
		settings.ID, settings.Zone, settings.Platform = "kigali-a-1", "kigali-a", platform.URL
		settings.Listen = qhsetting.ListenAddresses{Callers: "127.0.0.1:0", ForwardedCalls: "127.0.0.1:0", Peers: "127.0.0.1:0", Targets: "127.0.0.1:0", Operators: "127.0.0.1:0"}
		node, cleanup, err := New(Options{Settings: settings, Build: "test", Log: zap.NewNop()})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(cleanup)
		Expect(node.targets.Put("booking-1", qhannounce.Announcement{Service: "booking", Address: "127.0.0.1:9", Slots: 9})).To(Succeed())
		Eventually(func() *int { return slotOf(node) }).WithTimeout(20 * time.Second).ShouldNot(BeNil())
		config := qhsample.ConfigOfSize(1)
		Expect(node.holder.Apply(1, config, config.Digest())).To(BeTrue())
		text, err := json.Marshal(node.Dump())
		Expect(err).NotTo(HaveOccurred())
		var value any
		Expect(json.Unmarshal(text, &value)).To(Succeed())
		lines := make(map[string]bool)
		collectShape("", value, lines)
		Expect(strings.Join(slices.Sorted(maps.Keys(lines)), "\n") + "\n").To(qhgolden.Match("testdata/dump.golden"))
	})
})

// slotOf returns the relay slot that a node holds, or nil.
func slotOf(node *Node) *int {
	slot := node.Dump().Spread.Slot
	if slot == nil {
		return nil
	}
	number := int(*slot)
	return &number
}

// collectShape adds the path and type of each value in a decoded JSON value to
// lines.
func collectShape(path string, value any, lines map[string]bool) {
	switch value := value.(type) {
	case map[string]any:
		for key, inner := range value {
			collectShape(path+"."+key, inner, lines)
		}
	case []any:
		lines[path+"[]"] = true
		for _, inner := range value {
			collectShape(path+"[]", inner, lines)
		}
	default:
		lines[fmt.Sprintf("%s %T", path, value)] = true
	}
}
