package qhintent_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgolden"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhintent"
	"quetzalhaven.dev/qhsample"
)

// firstIntents creates the configuration that the tests change.
const firstIntents = `{
  // Families look up slots and order urns.
  "reason": "open the mesh",
  "intents": [
    {"do": "add", "service": "booking", "slots": 9, "connections": 120},
    {"do": "add", "service": "trial"},
    {"do": "add", "route": "urns", "prefix": "/urns", "methods": ["POST", "GET"], "timeout": "5s",
      "shares": [{"service": "booking", "percent": 100}]},
  ],
}`

func parseAndApply(base qhconfig.Config, intents string) (qhintent.Result, error) {
	file, err := qhintent.Parse("intents.jsonc", []byte(intents))
	if err != nil {
		return qhintent.Result{}, err
	}
	return file.Apply(base)
}

func firstConfig() qhconfig.Config {
	GinkgoHelper()
	result, err := parseAndApply(qhconfig.Config{}, firstIntents)
	Expect(err).NotTo(HaveOccurred())
	return result.Config
}

// fileWithIntent returns the content of an intent file with one intent.
func fileWithIntent(intent string) string { return `{"reason": "test", "intents": [` + intent + `]}` }

var _ = Describe("Apply", func() {
	DescribeTable("changes only the entry and the fields that the intent names", func(intent string, want string) {
		result, err := parseAndApply(firstConfig(), fileWithIntent(intent))
		Expect(err).NotTo(HaveOccurred())
		diff := qhconfig.Compare(firstConfig(), result.Config)
		diff.Digest = ""
		text, err := json.Marshal(diff)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(Equal(`{"base":0,"next":0,"digest":"",` + want + `}`))
	},
		Entry("add", `{"do": "add", "service": "desk", "slots": 6}`, `"services":[{"name":"desk","slots":6}]`),
		Entry("change a service", `{"do": "change", "service": "booking", "slots": 0}`, `"services":[{"name":"booking","connections":120}]`),
		Entry("change a route", `{"do": "change", "route": "urns", "methods": [], "timeout": "0s"}`,
			`"routes":[{"name":"urns","prefix":"/urns","shares":[{"service":"booking","percent":100}]}]`),
		Entry("remove a service", `{"do": "remove", "service": "trial"}`, `"noservices":["trial"]`),
		Entry("remove a route", `{"do": "remove", "route": "urns"}`, `"noroutes":["urns"]`),
		Entry("shift part of a share", `{"do": "shift", "route": "urns", "from": "booking", "to": "trial", "percent": 10}`,
			`"routes":[{"name":"urns","prefix":"/urns","methods":["GET","POST"],"shares":[{"service":"booking","percent":90},{"service":"trial","percent":10}],"timeout":"5s"}]`),
		Entry("shift a whole share", `{"do": "shift", "route": "urns", "from": "booking", "to": "trial", "percent": 100}`,
			`"routes":[{"name":"urns","prefix":"/urns","methods":["GET","POST"],"shares":[{"service":"trial","percent":100}],"timeout":"5s"}]`),
		Entry("replace all shares", `{"do": "shift", "route": "urns", "shares": [{"service": "trial", "percent": 100}]}`,
			`"routes":[{"name":"urns","prefix":"/urns","methods":["GET","POST"],"shares":[{"service":"trial","percent":100}],"timeout":"5s"}]`),
		Entry("retire", `{"do": "retire", "service": "booking", "targets": ["b2", "a1", "b2"]}`,
			`"services":[{"name":"booking","slots":9,"connections":120,"retired":["a1","b2"]}]`),
		Entry("limit", `{"do": "limit", "route": "urns", "body": 1024, "silence": "2s"}`,
			`"routes":[{"name":"urns","prefix":"/urns","methods":["GET","POST"],"shares":[{"service":"booking","percent":100}],"timeout":"5s","silence":"2s","body":1024}]`),
		Entry("repeat", `{"do": "repeat", "route": "urns", "repeat": "keyed"}`,
			`"routes":[{"name":"urns","prefix":"/urns","methods":["GET","POST"],"shares":[{"service":"booking","percent":100}],"repeat":"keyed","timeout":"5s"}]`),
	)

	It("reverts a retirement by unretire", func() {
		retired, err := parseAndApply(firstConfig(), fileWithIntent(`{"do": "retire", "service": "booking", "targets": ["a1"]}`))
		Expect(err).NotTo(HaveOccurred())
		back, err := parseAndApply(retired.Config, fileWithIntent(`{"do": "unretire", "service": "booking", "targets": ["a1"]}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(back.Config.Digest()).To(Equal(firstConfig().Digest()))
	})

	It("returns the reason of every intent", func() {
		result, err := parseAndApply(firstConfig(), `{"reason": "spring", "intents": [
			{"do": "shift", "route": "urns", "from": "booking", "to": "trial", "percent": 5, "why": "try it"},
			{"do": "repeat", "route": "urns", "repeat": "safe"}]}`)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.RouteReasons["urns"]).To(Equal([]string{
			`shift route "urns" by 5% from booking to trial: try it`, `repeat route "urns": spring`}))
	})
})

var _ = Describe("Errors", func() {
	It("report location and remedy", func() {
		var golden strings.Builder
		for _, intents := range []string{
			`{"reason": "no intents", "intents": []}`,
			`{"intents": [{"do": "remove", "route": "urns"}]}`,
			"{\"reason\": \"second line\",\n\"intents\": [{\"do\": \"remove\", \"rout\": \"urns\"}]}",
			`{"reason": "cut`,
			fileWithIntent(`{"do": "polish", "route": "urns"}`),
			fileWithIntent(`{"do": "remove"}`),
			fileWithIntent(`{"do": "repeat", "service": "booking", "repeat": "safe"}`),
			fileWithIntent(`{"do": "add", "route": "slots", "prefix": "/slots"}`),
			fileWithIntent(`{"do": "add", "route": "slots", "prefix": 7, "shares": []}`),
			fileWithIntent(`{"do": "add", "service": "desk", "prefix": "/desk"}`),
			fileWithIntent(`{"do": "change", "route": "urns"}`),
			fileWithIntent(`{"do": "limit", "route": "urns", "timeout": 5}`),
			fileWithIntent(`{"do": "repeat", "route": "urns", "repeat": "often"}`),
			fileWithIntent(`{"do": "retire", "service": "booking"}`),
			fileWithIntent(`{"do": "shift", "route": "urns"}`),
			fileWithIntent(`{"do": "shift", "route": "urns", "from": "booking", "to": "trial"}`),
			fileWithIntent(`{"do": "shift", "route": "urns", "from": "booking", "percent": 5}`),
			fileWithIntent(`{"do": "back"}`),
			fileWithIntent(`{"do": "back", "version": 3}, {"do": "remove", "route": "urns"}`),
			fileWithIntent(`{"do": "add", "service": "booking"}`),
			fileWithIntent(`{"do": "remove", "route": "slots"}`),
			fileWithIntent(`{"do": "remove", "service": "booking"}`),
			fileWithIntent(`{"do": "shift", "route": "urns", "from": "trial", "to": "booking", "percent": 5}`),
			fileWithIntent(`{"do": "shift", "route": "urns", "from": "booking", "to": "absent", "percent": 5}`),
			fileWithIntent(`{"do": "unretire", "service": "booking", "targets": ["a1"]}`),
			fileWithIntent(`{"do": "shift", "route": "urns", "shares": [{"service": "booking", "percent": 90}]}`),
		} {
			_, err := parseAndApply(firstConfig(), intents)
			Expect(err).To(HaveOccurred(), intents)
			fmt.Fprintf(&golden, "%s\n  %s: %s\n", intents, qherr.KindOf(err), err)
		}
		Expect(golden.String()).To(qhgolden.Match("testdata/errors.golden"))
	})
})

func TestApplyReturnsAValidConfigOrIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := qhsample.DrawConfig(t, "base")
		before := base.Digest()
		file := qhintent.File{Reason: "random"}
		for range rapid.IntRange(1, 4).Draw(t, "intents") {
			file.Intents = append(file.Intents, drawIntent(t))
		}
		result, err := file.Apply(base)
		if base.Digest() != before {
			t.Fatalf("the base was changed")
		}
		if err != nil {
			if !qherr.Is(err, qherr.Refused) {
				t.Fatalf("%v is not of kind Refused", err)
			}
			return
		}
		if err := result.Config.Check(); err != nil {
			t.Fatalf("the resulting configuration is invalid: %v", err)
		}
	})
}

func drawIntent(t *rapid.T) qhintent.Intent {
	service := rapid.Custom(func(t *rapid.T) qhid.Service {
		return qhid.Service(fmt.Sprintf("service-%05d", rapid.IntRange(0, 9).Draw(t, "service")))
	})
	prefix := "/new"
	intent := qhintent.Intent{
		Verb: rapid.SampledFrom([]qhintent.Verb{qhintent.Add, qhintent.Remove, qhintent.Shift, qhintent.Retire, qhintent.Unretire}).Draw(t, "do"),
	}
	if intent.Verb == qhintent.Shift || rapid.Bool().Draw(t, "about a route") {
		intent.Route = qhid.Route(fmt.Sprintf("route-%05d", rapid.IntRange(0, 9).Draw(t, "route")))
		intent.From, intent.To = service.Draw(t, "from"), service.Draw(t, "to")
		intent.Percent = qhid.Percent(rapid.IntRange(1, 100).Draw(t, "percent"))
		intent.Prefix = &prefix
		return intent
	}
	intent.Service = service.Draw(t, "about")
	intent.Targets = []qhid.Target{rapid.SampledFrom([]qhid.Target{"a1", "b1"}).Draw(t, "target")}
	return intent
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(firstIntents))
	f.Add([]byte(fileWithIntent(`{"do": "back", "version": 3}`)))
	f.Add([]byte(fileWithIntent(`{"do": "shift", "route": "urns", "from": "booking", "to": "trial", "percent": 5}`)))
	base := qhsample.ConfigOfSize(2)
	f.Fuzz(func(t *testing.T, data []byte) {
		file, err := qhintent.Parse("intents.jsonc", data)
		if err != nil {
			if !qherr.Is(err, qherr.BadInput) || strings.Contains(err.Error(), "\n") {
				t.Fatalf("the error is not a single line of kind BadInput: %q", err)
			}
			return
		}
		result, err := file.Apply(base)
		if err == nil && result.Config.Check() != nil {
			t.Fatalf("the resulting configuration of %q is invalid", data)
		}
	})
}
