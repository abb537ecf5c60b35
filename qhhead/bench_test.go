package qhhead_test

import (
	"context"
	"fmt"
	"testing"

	"quetzalhaven.dev/qhhead"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
)

// BenchmarkChange measures the platform traffic of one small change: bytes and
// calls to write it, and to load it by a reader that has the previous version.
func BenchmarkChange(b *testing.B) {
	for _, services := range []int{33, 330, 3300} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) { benchmarkChange(b, services) })
	}
}

func benchmarkChange(b *testing.B, services int) {
	ctx := context.Background()
	platform := qhplatform.NewFake(qhplatform.FakeOptions{})
	writer := qhhead.New(qhhead.Options{Store: platform.Store()})
	reader := qhhead.New(qhhead.Options{Store: platform.Store()})
	config := configOfSize(services)
	head, err := writer.Commit(ctx, change(qhhead.Head{}, "first", config))
	if err != nil {
		b.Fatal(err)
	}
	initial := platform.Counts()
	var written, read, calls, reads float64
	for i := range b.N {
		before := platform.Counts()
		config = withSlots(config, i%services, i%1000+10)
		if head, err = writer.Commit(ctx, change(head, qhid.Plan(fmt.Sprintf("p%d", i)), config)); err != nil {
			b.Fatal(err)
		}
		middle := platform.Counts()
		seen, err := reader.ReadHead(ctx)
		if err != nil {
			b.Fatal(err)
		}
		if _, _, err := reader.Load(ctx, seen); err != nil {
			b.Fatal(err)
		}
		after := platform.Counts()
		written += float64(middle.BytesWritten - before.BytesWritten)
		calls += float64(middle.Total - before.Total)
		read += float64(after.BytesRead - middle.BytesRead)
		reads += float64(after.Total - middle.Total)
	}
	n := float64(b.N)
	b.ReportMetric(float64(initial.BytesWritten), "whole-B")
	b.ReportMetric(written/n, "written-B/change")
	b.ReportMetric(calls/n, "calls/change")
	b.ReportMetric(read/n, "read-B/change")
	b.ReportMetric(reads/n, "reads/change")
}

// BenchmarkColdLoad measures what a reader without any version reads to load a
// version with the greatest possible number of diffs since its parts.
func BenchmarkColdLoad(b *testing.B) {
	for _, services := range []int{33, 330, 3300} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) { benchmarkColdLoad(b, services) })
	}
}

func benchmarkColdLoad(b *testing.B, services int) {
	const changes = 16
	ctx := context.Background()
	platform := qhplatform.NewFake(qhplatform.FakeOptions{})
	writer := qhhead.New(qhhead.Options{Store: platform.Store()})
	var head qhhead.Head
	for i := range changes {
		var err error
		config := withSlots(configOfSize(services), 0, i+1)
		if head, err = writer.Commit(ctx, change(head, qhid.Plan(fmt.Sprintf("p%d", i)), config)); err != nil {
			b.Fatal(err)
		}
	}
	before := platform.Counts()
	for b.Loop() {
		if _, _, err := qhhead.New(qhhead.Options{Store: platform.Store()}).Load(ctx, head); err != nil {
			b.Fatal(err)
		}
	}
	after := platform.Counts()
	b.ReportMetric(float64(after.BytesRead-before.BytesRead)/float64(b.N), "read-B/load")
	b.ReportMetric(float64(after.Total-before.Total)/float64(b.N), "reads/load")
}
