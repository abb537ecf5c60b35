package qhroute

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhsuite"
)

func TestRoute(t *testing.T) {
	qhsuite.Run(t, "qhroute")
}

// linearMatch is the reference implementation of Match: it checks every route.
func linearMatch(routes []qhconfig.Route, host, method, path string) *qhconfig.Route {
	var best *qhconfig.Route
	rank := func(r *qhconfig.Route) int {
		return len(r.Prefix)*4 + min(len(r.Methods), 1) + 1<<20*min(len(r.Host), 1)
	}
	for i := range routes {
		r := &routes[i]
		if r.Host != "" && !strings.EqualFold(r.Host, host) || len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
			continue
		}
		segmentsMatch := path == r.Prefix || strings.HasPrefix(path, strings.TrimSuffix(r.Prefix, "/")+"/")
		if segmentsMatch && (best == nil || rank(r) > rank(best)) {
			best = r
		}
	}
	return best
}

var _ = Describe("Index", func() {
	It("matches the same route as a linear scan of all routes", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			path := rapid.StringMatching(`(/[ab]?){1,4}`)
			hosts := rapid.SampledFrom([]string{"", "a.example", "B.example"})
			methods := rapid.SampledFrom([]string{"GET", "POST", "PUT"})
			routes := rapid.SliceOf(rapid.Custom(func(t *rapid.T) qhconfig.Route {
				r := qhconfig.Route{Host: hosts.Draw(t, "host"), Prefix: path.Draw(t, "prefix")}
				if rapid.Bool().Draw(t, "limited") {
					r.Methods = []string{methods.Draw(t, "method")}
				}
				return r
			})).Draw(t, "routes")
			index := NewIndex(routes)
			host, method, call := hosts.Draw(t, "call's host"), methods.Draw(t, "call's method"), path.Draw(t, "path")
			if got, want := index.Match(strings.ToUpper(host), method, call), linearMatch(routes, host, method, call); got != want {
				t.Fatalf("%s %s%s: got %v, want %v", method, host, call, got, want)
			}
		})
	})

	DescribeTable("matches whole path segments", func(path, want string) {
		index := NewIndex([]qhconfig.Route{{Name: "urn", Prefix: "/urn"}, {Name: "urns/", Prefix: "/urns/"}, {Name: "oak", Prefix: "/urn/oak"}})
		got := qhid.Route("none")
		if route := index.Match("h", "GET", path); route != nil {
			got = route.Name
		}
		Expect(got).To(Equal(qhid.Route(want)))
	},
		Entry(nil, "/urn", "urn"), Entry(nil, "/urn/", "urn"), Entry(nil, "/urn/ash", "urn"), Entry(nil, "/urn/oak/1", "oak"),
		Entry(nil, "/urns", "none"), Entry(nil, "/urns/1", "urns/"), Entry(nil, "/", "none"), Entry(nil, "", "none"), Entry(nil, "*", "none"))

	It("chooses services by their shares", func() {
		route := &qhconfig.Route{Shares: []qhconfig.Share{{Service: "new", Percent: 7}, {Service: "old", Percent: 93}}}
		counts := make(map[qhid.Service]int)
		for draw := range 100 {
			counts[ChooseService(route, draw)]++
		}
		Expect(counts).To(Equal(map[qhid.Service]int{"new": 7, "old": 93}))
	})
})

func FuzzMatch(f *testing.F) {
	routes := []qhconfig.Route{{Prefix: "/"}, {Prefix: "/a", Methods: []string{"GET"}}, {Prefix: "/a/b/"}, {Host: "h", Prefix: "/a//b"}}
	index := NewIndex(routes)
	f.Add("h", "GET", "/a/b/c")
	f.Add("H", "PUT", "//")
	f.Fuzz(func(t *testing.T, host, method, path string) {
		if got, want := index.Match(host, method, path), linearMatch(routes, host, method, path); got != want {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

func BenchmarkMatch(b *testing.B) {
	for _, size := range []int{33, 330, 3300} {
		routes := make([]qhconfig.Route, size)
		for i := range routes {
			routes[i] = qhconfig.Route{Host: "mesh.example", Prefix: fmt.Sprintf("/services/%d/calls", i)}
		}
		index := NewIndex(routes)
		path := routes[size/2].Prefix + "/urns/17"
		b.Run(fmt.Sprintf("routes=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if index.Match("mesh.example", "GET", path) == nil {
					b.Fatal("no route")
				}
			}
		})
	}
}
