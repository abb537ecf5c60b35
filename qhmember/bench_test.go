package qhmember_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

// newEntries returns the entries of n nodes with a target each, in 26 availability
// zones.
func newEntries(n int) []qhmember.Entry {
	entries := make([]qhmember.Entry, n)
	for i := range entries {
		entries[i] = newEntry(qhid.Node(fmt.Sprintf("node-%05d", i)), 1_800_000_000_000_000_000, 1, qhmember.Up)
		entries[i].Zone = qhid.Zone(fmt.Sprintf("zone-%02d", i%26))
		entries[i].Targets[0].Service = qhid.Service(fmt.Sprintf("service-%03d", i%33))
	}
	return entries
}

func BenchmarkMergeOne(b *testing.B) {
	for _, size := range []int{100, 730, 19000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			entries := newEntries(size)
			table := qhmember.NewTable(qhmember.Options{})
			table.Merge(entries)
			data, _ := json.Marshal(entries[0])
			b.ReportMetric(float64(len(data)), "entrybytes")
			b.ResetTimer()
			for i := range b.N {
				entry := entries[i%size]
				entry.Sequence = qhid.Sequence(i + 2)
				table.Merge([]qhmember.Entry{entry})
			}
		})
	}
}

func BenchmarkMemory(b *testing.B) {
	for _, size := range []int{100, 730, 19000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			data, _ := json.Marshal(newEntries(size))
			var used uint64
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				var entries []qhmember.Entry
				_ = json.Unmarshal(data, &entries)
				table := qhmember.NewTable(qhmember.Options{})
				table.Merge(entries)
				entries = nil
				runtime.GC()
				runtime.ReadMemStats(&after)
				used += after.HeapAlloc - before.HeapAlloc
				runtime.KeepAlive(table)
			}
			b.ReportMetric(float64(used)/float64(b.N), "heapbytes")
			b.ReportMetric(float64(used)/float64(b.N)/float64(size), "heapbytes/node")
		})
	}
}
