package qhconfig_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhsample"
)

// serviceCounts are the sizes of the benchmarks: numbers of services, each with
// one route.
var serviceCounts = []int{33, 330, 3300}

// forEachSize runs a benchmark for each size and reports the size of the encoded
// configuration.
func forEachSize(b *testing.B, bench func(b *testing.B, config qhconfig.Config, encoded []byte)) {
	for _, services := range serviceCounts {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			config := qhsample.ConfigOfSize(services)
			encoded, err := json.Marshal(config)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			bench(b, config, encoded)
			b.ReportMetric(float64(len(encoded)), "encoded-B")
		})
	}
}

func BenchmarkDecode(b *testing.B) {
	forEachSize(b, func(b *testing.B, _ qhconfig.Config, encoded []byte) {
		for b.Loop() {
			if _, err := qhconfig.Decode[qhconfig.Config](encoded); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkCheck(b *testing.B) {
	forEachSize(b, func(b *testing.B, config qhconfig.Config, _ []byte) {
		for b.Loop() {
			if err := config.Check(); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkDigestUncached digests a configuration without cached hashes.
func BenchmarkDigestUncached(b *testing.B) {
	forEachSize(b, func(b *testing.B, config qhconfig.Config, _ []byte) {
		for b.Loop() {
			config.Digest()
		}
	})
}

// BenchmarkDigestOneChange digests a version in which one service changed, with the
// hashes of the previous version cached.
func BenchmarkDigestOneChange(b *testing.B) {
	forEachSize(b, func(b *testing.B, config qhconfig.Config, _ []byte) {
		var digester qhconfig.Digester
		digester.Digest(config)
		next := config.Canonical()
		for slots := 0; b.Loop(); slots++ {
			next.Services[len(next.Services)/2].Slots = slots % 1000
			digester.Digest(next)
		}
	})
}

// BenchmarkMerge merges a diff that changes one service.
func BenchmarkMerge(b *testing.B) {
	forEachSize(b, func(b *testing.B, config qhconfig.Config, _ []byte) {
		next := config.Canonical()
		next.Services[len(next.Services)/2].Slots++
		diff := qhconfig.Compare(config, next)
		encoded, err := json.Marshal(diff)
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			diff.Merge(config)
		}
		b.ReportMetric(float64(len(encoded)), "diff-B")
	})
}
