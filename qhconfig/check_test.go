package qhconfig_test

import (
	"encoding/json"
	"reflect"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgolden"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhsample"
)

// invalidConfigs are changes that each make a valid configuration of two services
// and two routes invalid.
var invalidConfigs = []struct {
	name   string
	mutate func(c *qhconfig.Config)
}{
	{"absent service", func(c *qhconfig.Config) { c.Routes[0].Shares[0].Service = "urn" }},
	{"shares below 100 percent", func(c *qhconfig.Config) { c.Routes[0].Shares[0].Percent = 90 }},
	{"share out of range", func(c *qhconfig.Config) {
		c.Routes[0].Shares = []qhconfig.Share{{Service: "service-00000", Percent: 110}, {Service: "service-00001", Percent: -10}}
	}},
	{"no shares", func(c *qhconfig.Config) { c.Routes[0].Shares = nil }},
	{"share twice", func(c *qhconfig.Config) {
		c.Routes[0].Shares = []qhconfig.Share{{Service: "service-00000", Percent: 50}, {Service: "service-00000", Percent: 50}}
	}},
	{"service twice", func(c *qhconfig.Config) {
		c.Services[1].Name = c.Services[0].Name
		c.Routes[1].Shares = c.Routes[0].Shares
	}},
	{"services out of order", func(c *qhconfig.Config) { c.Services[0], c.Services[1] = c.Services[1], c.Services[0] }},
	{"unknown retry policy", func(c *qhconfig.Config) { c.Routes[0].Retry = "often" }},
	{"prefix without slash", func(c *qhconfig.Config) { c.Routes[0].Prefix = "urns" }},
	{"prefix with dots", func(c *qhconfig.Config) { c.Routes[0].Prefix = "/urns/../deposits" }},
	{"lower case method", func(c *qhconfig.Config) { c.Routes[0].Methods = []string{"get"} }},
	{"host with port", func(c *qhconfig.Config) { c.Routes[0].Host = "booking.example:80" }},
	{"overlap", func(c *qhconfig.Config) { c.Routes[1].Prefix = c.Routes[0].Prefix; c.Routes[1].Methods = nil }},
	{"long timeout", func(c *qhconfig.Config) { c.Routes[0].Timeout = 2 * qhconfig.MaxTimeout }},
	{"first-byte timeout above timeout", func(c *qhconfig.Config) { c.Routes[0].FirstByteTimeout = c.Routes[0].Timeout + 1 }},
	{"large body", func(c *qhconfig.Config) { c.Routes[0].MaxBodyBytes = qhconfig.MaxBody + 1 }},
	{"negative slots", func(c *qhconfig.Config) { c.Services[0].Slots = -1 }},
	{"bad name", func(c *qhconfig.Config) { c.Services[0].Name = "-urn/" }},
	{"retired twice", func(c *qhconfig.Config) { c.Services[0].Retired = []qhid.Target{"a1", "a1"} }},
	{"too many services", func(c *qhconfig.Config) { c.Services = make([]qhconfig.Service, qhconfig.MaxServices+1) }},
	{"too many bytes", func(c *qhconfig.Config) {
		c.Routes = make([]qhconfig.Route, 17_000)
		for i := range c.Routes {
			c.Routes[i].Prefix = strings.Repeat("/urns", 200)
		}
	}},
	{"several problems", func(c *qhconfig.Config) { c.Routes[0].Prefix = ""; c.Routes[1].Retry = "often" }},
}

var _ = Describe("Check", func() {
	It("accepts a valid configuration", func() {
		Expect(qhsample.ConfigOfSize(50).Check()).To(Succeed())
		Expect(qhconfig.Config{}.Check()).To(Succeed())
	})

	It("reports location, value and remedy of every problem", func() {
		var golden strings.Builder
		for _, c := range invalidConfigs {
			config := qhsample.ConfigOfSize(2)
			c.mutate(&config)
			err := config.Check()
			Expect(qherr.KindOf(err)).To(Equal(qherr.Refused), c.name)
			golden.WriteString(c.name + ": " + err.Error() + "\n")
		}
		Expect(golden.String()).To(qhgolden.Match("testdata/check.golden"))
	})
})

var _ = Describe("Equal", func() {
	It("compares every field", func() {
		expectEveryFieldCompared(qhconfig.Service{}, (*qhconfig.Service).Equal)
		expectEveryFieldCompared(qhconfig.Route{}, (*qhconfig.Route).Equal)
	})
})

// expectEveryFieldCompared sets each field in turn and expects the values to be
// unequal.
func expectEveryFieldCompared[T any](zero T, equal func(a, b *T) bool) {
	kind := reflect.TypeFor[T]()
	for i := range kind.NumField() {
		changed := zero
		field := reflect.ValueOf(&changed).Elem().Field(i)
		switch field.Kind() {
		case reflect.String:
			field.SetString("x")
		case reflect.Int, reflect.Int64:
			field.SetInt(1)
		case reflect.Bool:
			field.SetBool(true)
		case reflect.Slice:
			field.Set(reflect.MakeSlice(field.Type(), 1, 1))
		default:
			Fail("no value for " + kind.Field(i).Name)
		}
		Expect(equal(&zero, &changed)).To(BeFalse(), kind.Field(i).Name)
		Expect(equal(&changed, &changed)).To(BeTrue())
	}
}

var _ = Describe("Decode", func() {
	DescribeTable("refuses", func(text string) {
		_, err := qhconfig.Decode[qhconfig.Config]([]byte(text))
		Expect(qherr.KindOf(err)).To(Equal(qherr.BadInput))
		Expect(err.Error()).NotTo(ContainSubstring("\n"))
	},
		Entry("an unknown field", `{"services":[],"urns":1}`),
		Entry("two values", `{} {}`),
		Entry("a truncated value", `{"services":[`),
		Entry("a duration without unit", `{"routes":[{"timeout":5}]}`),
		Entry("an invalid duration", `{"routes":[{"timeout":"soon"}]}`),
	)

	It("decodes an encoded configuration", func() {
		config := qhsample.ConfigOfSize(4)
		data, err := json.Marshal(config)
		Expect(err).NotTo(HaveOccurred())
		Expect(qhconfig.Decode[qhconfig.Config](data)).To(Equal(config))
	})
})
