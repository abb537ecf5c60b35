package qhhold_test

import (
	"fmt"
	"runtime"
	"testing"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhhold"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhsample"
)

// sizes are the numbers of services, each with one route.
var sizes = []int{33, 330, 3300}

// BenchmarkOfferDiff takes one changed service in force: merge, digest, check,
// index and swap.
func BenchmarkOfferDiff(b *testing.B) {
	for _, services := range sizes {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			holder, diffs := held(b, services)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				diff := diffs[i%2]
				diff.Base = holder.Version()
				diff.Next = diff.Base + 1
				if applied, err := holder.ApplyDiff(diff); !applied {
					b.Fatal(err)
				}
			}
		})
	}
}

// held returns a holder of a version, and the differences to another content
// and back.
func held(b *testing.B, services int) (*qhhold.Holder, [2]qhconfig.Diff) {
	config := qhsample.ConfigOfSize(services)
	next := config.Canonical()
	next.Services[services/2].Slots++
	holder := qhhold.New(qhhold.Options{})
	if _, err := holder.Apply(1, config, config.Digest()); err != nil {
		b.Fatal(err)
	}
	return holder, [2]qhconfig.Diff{qhconfig.Compare(config, next), qhconfig.Compare(next, config)}
}

// BenchmarkOffer takes a whole version in force.
func BenchmarkOffer(b *testing.B) {
	for _, services := range sizes {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			config := qhsample.ConfigOfSize(services)
			digest := config.Digest()
			b.ReportAllocs()
			for b.Loop() {
				holder := qhhold.New(qhhold.Options{})
				if applied, err := holder.Apply(1, config, digest); !applied {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkCurrent is what each call pays to read its snapshot.
func BenchmarkCurrent(b *testing.B) {
	holder, _ := held(b, sizes[len(sizes)-1])
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if holder.Current().Version != qhid.Version(1) {
				b.Error("another version")
			}
		}
	})
}

// BenchmarkHeld reports the memory that a version keeps while it is held.
func BenchmarkHeld(b *testing.B) {
	for _, services := range sizes {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			var kept int64
			for b.Loop() {
				before := live()
				holder, _ := held(b, services)
				kept = live() - before
				runtime.KeepAlive(holder)
			}
			b.ReportMetric(float64(kept), "held-B")
		})
	}
}

// live returns the bytes of live objects.
func live() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
