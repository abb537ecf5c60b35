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

// sizes has the numbers of services, each with one route.
var sizes = []int{33, 330, 3300}

// BenchmarkApplyDiff measures applying a diff with one changed service: merge,
// digest, validation, index and swap.
func BenchmarkApplyDiff(b *testing.B) {
	for _, services := range sizes {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			holder, diffs := newHolder(b, services)
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

// newHolder returns a holder of a version, and the diffs to another configuration
// and back.
func newHolder(b *testing.B, services int) (*qhhold.Holder, [2]qhconfig.Diff) {
	config := qhsample.ConfigOfSize(services)
	next := config.Canonical()
	next.Services[services/2].Slots++
	holder := qhhold.New(qhhold.Options{})
	if _, err := holder.Apply(1, config, config.Digest()); err != nil {
		b.Fatal(err)
	}
	return holder, [2]qhconfig.Diff{qhconfig.Compare(config, next), qhconfig.Compare(next, config)}
}

// BenchmarkApply measures applying a full version.
func BenchmarkApply(b *testing.B) {
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

// BenchmarkCurrent measures reading the current snapshot, which each call does.
func BenchmarkCurrent(b *testing.B) {
	holder, _ := newHolder(b, sizes[len(sizes)-1])
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if holder.Current().Version != qhid.Version(1) {
				b.Error("unexpected version")
			}
		}
	})
}

// BenchmarkHeld reports the memory that the version in force occupies.
func BenchmarkHeld(b *testing.B) {
	for _, services := range sizes {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			var retained int64
			for b.Loop() {
				before := liveBytes()
				holder, _ := newHolder(b, services)
				retained = liveBytes() - before
				runtime.KeepAlive(holder)
			}
			b.ReportMetric(float64(retained), "held-B")
		})
	}
}

// liveBytes returns the size of the live heap objects.
func liveBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
