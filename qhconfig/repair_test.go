package qhconfig_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
)

var _ = Describe("Repair", func() {
	share := func(service qhid.Service, weight int) qhconfig.Share {
		return qhconfig.Share{Service: service, Weight: weight}
	}
	// good is the part of each configuration that has to stay as it is.
	good := qhconfig.Route{Name: "good", Prefix: "/good/", Shares: []qhconfig.Share{share("s1", 1)}, Retry: qhconfig.RetrySafe}
	repair := func(routes ...qhconfig.Route) (qhconfig.Config, []qhconfig.Problem) {
		config := qhconfig.Config{Services: []qhconfig.Service{{Name: "s1", Slots: 3}, {Name: "s2"}}, Routes: append(routes, good)}
		repaired, problems := config.Repair()
		Expect(repaired.Check()).To(Succeed())
		Expect(*repaired.FindRoute("good")).To(Equal(good))
		Expect(repaired.FindService("s1")).To(Equal(&qhconfig.Service{Name: "s1", Slots: 3}))
		return repaired, problems
	}

	DescribeTable("keeps what is certain of an invalid route", func(route, want qhconfig.Route) {
		config, problems := repair(route)
		Expect(problems).NotTo(BeEmpty())
		Expect(config.FindRoute(want.Name)).To(Equal(&want))
	},
		Entry("an unknown retry policy",
			qhconfig.Route{Name: "a", Prefix: "/a/", Shares: []qhconfig.Share{share("s1", 1)}, Retry: "perhaps"},
			qhconfig.Route{Name: "a", Prefix: "/a/", Shares: []qhconfig.Share{share("s1", 1)}}),
		Entry("values out of range",
			qhconfig.Route{Name: "a", Prefix: "/a/", Shares: []qhconfig.Share{share("s1", 1)}, Timeout: -1, Priority: -3, MaxAttempts: 99, MaxBodyBytes: -1},
			qhconfig.Route{Name: "a", Prefix: "/a/", Shares: []qhconfig.Share{share("s1", 1)}}),
		Entry("no share",
			qhconfig.Route{Name: "a", Prefix: "/a/"},
			qhconfig.Route{Name: "a", Prefix: "/a/", Unavailable: true}),
		Entry("weights of 0 and below",
			qhconfig.Route{Name: "a", Prefix: "/a/", Shares: []qhconfig.Share{share("s1", 0), share("s2", -4)}},
			qhconfig.Route{Name: "a", Prefix: "/a/", Unavailable: true}),
		Entry("one weight of 0",
			qhconfig.Route{Name: "a", Prefix: "/a/", Shares: []qhconfig.Share{share("s1", 0), share("s2", 4)}},
			qhconfig.Route{Name: "a", Prefix: "/a/", Shares: []qhconfig.Share{share("s2", 4)}}),
		Entry("weights above the limit",
			qhconfig.Route{Name: "a", Prefix: "/a/", Shares: []qhconfig.Share{share("s1", 2*qhconfig.MaxWeight), share("s2", qhconfig.MaxWeight)}},
			qhconfig.Route{Name: "a", Prefix: "/a/", Shares: []qhconfig.Share{share("s1", qhconfig.MaxWeight), share("s2", qhconfig.MaxWeight/2)}}),
		Entry("percentages that do not add up to 100",
			qhconfig.Route{Name: "a", Prefix: "/a/", Shares: []qhconfig.Share{{Service: "s1", Percent: 50}, {Service: "s2", Percent: 20}}},
			qhconfig.Route{Name: "a", Prefix: "/a/", Shares: []qhconfig.Share{share("s1", 50), share("s2", 20)}}),
		Entry("a share without a service",
			qhconfig.Route{Name: "a", Prefix: "/a/", Shares: []qhconfig.Share{share("", 1), share("s2", 1)}},
			qhconfig.Route{Name: "a", Prefix: "/a/", Unavailable: true}),
		Entry("a name that is not valid",
			qhconfig.Route{Name: "", Prefix: "/a/", Shares: []qhconfig.Share{share("s1", 1)}},
			qhconfig.Route{Name: "unnamed.2", Prefix: "/a/", Shares: []qhconfig.Share{share("s1", 1)}}),
	)

	It("adds a service that only a route names", func() {
		config, problems := repair(qhconfig.Route{Name: "a", Prefix: "/a/", Shares: []qhconfig.Share{share("s9", 1)}})
		Expect(problems).To(HaveLen(1))
		Expect(config.FindService("s9")).To(Equal(&qhconfig.Service{Name: "s9"}))
	})

	It("keeps two routes of one name apart", func() {
		a := qhconfig.Route{Name: "a", Prefix: "/a/", Shares: []qhconfig.Share{share("s1", 1)}}
		b := qhconfig.Route{Name: "a", Prefix: "/b/", Shares: []qhconfig.Share{share("s2", 1)}}
		config, problems := repair(a, b)
		Expect(problems).To(HaveLen(1))
		Expect(config.FindRoute("a").Prefix).To(Equal("/a/"))
		Expect(config.FindRoute("a.2").Prefix).To(Equal("/b/"))
	})

	It("refuses the calls that two routes send to different services", func() {
		a := qhconfig.Route{Name: "a", Prefix: "/a/", Shares: []qhconfig.Share{share("s1", 1)}}
		b := qhconfig.Route{Name: "b", Prefix: "/a/", Shares: []qhconfig.Share{share("s2", 1)}}
		config, _ := repair(a, b)
		Expect(config.FindRoute("a")).To(Equal(&qhconfig.Route{Name: "a", Prefix: "/a/", Unavailable: true}))
		Expect(config.FindRoute("b")).To(BeNil())
	})

	It("retries calls only if both of two equal routes do", func() {
		a := qhconfig.Route{Name: "a", Prefix: "/a/", Shares: []qhconfig.Share{share("s1", 1)}, Retry: qhconfig.RetrySafe}
		b := a
		b.Name, b.Retry = "b", qhconfig.RetryNever
		config, _ := repair(a, b)
		Expect(config.FindRoute("a").Retry).To(Equal(qhconfig.RetryNever))
	})

	DescribeTable("leaves out a route that cannot be matched", func(route qhconfig.Route) {
		route.Shares = []qhconfig.Share{share("s1", 1)}
		config, problems := repair(route)
		Expect(problems).To(HaveLen(1))
		Expect(config.Routes).To(HaveLen(1))
	},
		Entry("without a prefix", qhconfig.Route{Name: "a"}),
		Entry("without a slash", qhconfig.Route{Name: "a", Prefix: "a/"}),
		Entry("with a host that is none", qhconfig.Route{Name: "a", Prefix: "/a/", Host: "a b"}),
	)

	It("makes every configuration valid and changes no valid one", func() {
		names := rapid.SampledFrom([]string{"", "a", "b", "-", "s1"})
		numbers := rapid.SampledFrom([]int{-1, 0, 1, 50, 1 << 40})
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			config := qhconfig.Config{
				Services: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) qhconfig.Service {
					return qhconfig.Service{Name: qhid.Service(names.Draw(t, "service")), Slots: numbers.Draw(t, "slots")}
				}), 0, 4).Draw(t, "services"),
				Routes: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) qhconfig.Route {
					return qhconfig.Route{
						Name:   qhid.Route(names.Draw(t, "route")),
						Host:   names.Draw(t, "host"),
						Prefix: rapid.SampledFrom([]string{"", "/", "/a/", "a"}).Draw(t, "prefix"),
						Shares: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) qhconfig.Share {
							return qhconfig.Share{Service: qhid.Service(names.Draw(t, "service")), Weight: numbers.Draw(t, "weight"), Percent: qhid.Percent(numbers.Draw(t, "percent"))}
						}), 0, 3).Draw(t, "shares"),
						Retry:   rapid.SampledFrom([]qhconfig.RetryPolicy{"", "safe", "other"}).Draw(t, "retry"),
						Timeout: qhconfig.Duration(numbers.Draw(t, "timeout")),
					}
				}), 0, 5).Draw(t, "routes"),
			}
			repaired, _ := config.Repair()
			if err := repaired.CheckUsable(); err != nil {
				t.Fatal(err)
			}
			again, problems := repaired.Repair()
			if len(problems) != 0 || again.Digest() != repaired.Digest() {
				t.Fatalf("a valid configuration was changed: %v", problems)
			}
		})
	})
})
