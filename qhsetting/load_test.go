package qhsetting_test

import (
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgolden"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhsetting"
)

var _ = Describe("LoadNode", func() {
	It("uses the defaults of keys that a file does not set", func() {
		node, err := qhsetting.LoadNode("testdata/good/least.jsonc")
		Expect(err).NotTo(HaveOccurred())
		want := qhsetting.DefaultNode()
		want.ID, want.Zone = "kigali-a-1", "kigali-a"
		want.Platform = "http://127.0.0.1:7000"
		want.Seeds = []qhid.Address{"127.0.0.1:7203"}
		want.Listen = qhsetting.ListenAddresses{
			Callers:        "127.0.0.1:7101",
			ForwardedCalls: "127.0.0.1:7102",
			Peers:          "127.0.0.1:7103",
			Targets:        "127.0.0.1:7104",
			Operators:      "127.0.0.1:7105",
		}
		want.Spread.BatchDelay = qhconfig.Duration(20 * time.Millisecond)
		want.Spread.Fanout = 12
		Expect(node).To(Equal(want))
	})

	It("advertises the listen addresses unless others are set", func() {
		node, err := qhsetting.LoadNode("testdata/good/announce.jsonc")
		Expect(err).NotTo(HaveOccurred())
		Expect(node.AdvertisedAddresses()).To(Equal(qhsetting.AdvertisedAddresses{
			ForwardedCalls: "10.0.0.4:7102", Peers: "10.0.0.4:7103", Operators: "127.0.0.1:7105",
		}))
	})

	It("reports a missing file", func() {
		_, err := qhsetting.LoadNode("testdata/absent.jsonc")
		Expect(qherr.Is(err, qherr.BadInput)).To(BeTrue())
		Expect(err).To(MatchError(ContainSubstring("absent.jsonc")))
	})

	paths, err := filepath.Glob("testdata/bad/*.jsonc")
	if err != nil || len(paths) == 0 {
		panic("testdata/bad holds no settings")
	}
	for _, path := range paths {
		name := strings.TrimSuffix(path, ".jsonc")
		It("refuses "+filepath.Base(name), func() {
			_, err := qhsetting.LoadNode(path)
			Expect(err).To(HaveOccurred())
			Expect(qherr.StatusOf(err)).To(Equal(qherr.StatusUsage))
			Expect(err.Error()).NotTo(ContainSubstring("\n"))
			Expect(err.Error() + "\n").To(qhgolden.Match(name + ".golden"))
		})
	}
})

var _ = Describe("Parse", func() {
	type pair struct {
		Name string `json:"name"`
		On   bool   `json:"on"`
	}

	It("reads settings of any type", func() {
		got, err := qhsetting.Parse("a.jsonc", []byte(`{"on": true /* and no name */}`), qhsetting.Spec[pair]{Defaults: pair{Name: "x"}})
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(pair{Name: "x", On: true}))
	})

	It("refuses bytes after the settings", func() {
		_, err := qhsetting.Parse("a.jsonc", []byte("{}\n{}"), qhsetting.Spec[pair]{})
		Expect(err).To(MatchError(ContainSubstring("a.jsonc:2: column 1")))
	})

	It("reports the first of several problems", func() {
		_, err := qhsetting.Parse("a.jsonc", []byte("{\n\"on\": 1,\n\"name\": 2}"), qhsetting.Spec[pair]{})
		Expect(err).To(MatchError(HavePrefix("a.jsonc:2: on: ")))
	})
})

var _ = Describe("The example settings", func() {
	It("are valid", func() {
		paths, err := filepath.Glob("../examples/*/node.jsonc")
		Expect(err).NotTo(HaveOccurred())
		for _, path := range paths {
			_, err := qhsetting.LoadNode(path)
			Expect(err).NotTo(HaveOccurred(), path)
			Expect(os.Stat(path)).NotTo(BeNil())
		}
	})
})
