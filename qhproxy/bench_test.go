package qhproxy

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// BenchmarkAdded measures calls that go straight to a target and calls over two
// nodes, by callers who rest as long as each call took. Times are in
// microseconds.
func BenchmarkAdded(b *testing.B) {
	f := newFleet(b, route("urns", "/urns", "booking"))
	entry := f.node("a", "kigali-a")
	f.node("b", "kigali-b")
	target := f.target("t1", "booking", "b", 256, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"urn":"oak","free":true}`)
	})
	f.nodes["b"].guards.Get("t1").Conns().SetLimit(256)
	for _, callers := range []int{1, 16, 128} {
		for name, url := range map[string]string{"direct": target.URL, "mesh": entry.callers.URL} {
			b.Run(fmt.Sprintf("%s/callers=%d", name, callers), func(b *testing.B) {
				transport := &http.Transport{MaxIdleConnsPerHost: callers, MaxConnsPerHost: callers}
				defer transport.CloseIdleConnections()
				load(b, transport, url+"/urns", callers, callers*20, false) // opens the connections
				b.ReportAllocs()
				b.ResetTimer()
				before := processorTime()
				report(b, load(b, transport, url+"/urns", callers, b.N, true))
				b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(b.N), "cpu-us/op")
			})
		}
	}
}

// processorTime returns what the process, with callers and target, has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// load sends calls from so many callers and returns their times.
func load(b *testing.B, transport http.RoundTripper, url string, callers, calls int, rest bool) *hdrhistogram.Histogram {
	var all sync.WaitGroup
	var mu sync.Mutex
	times := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for caller := range callers {
		all.Go(func() {
			own := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
			for i := caller; i < calls; i += callers {
				start := time.Now()
				if err := fetch(transport, url); err != nil {
					b.Error(err)
				}
				took := time.Since(start)
				_ = own.RecordValue(took.Microseconds())
				if rest {
					time.Sleep(took)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			times.Merge(own)
		})
	}
	all.Wait()
	return times
}

func fetch(transport http.RoundTripper, url string) error {
	req, err := http.NewRequest(http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

func report(b *testing.B, times *hdrhistogram.Histogram) {
	for name, quantile := range map[string]float64{"p50-us": 50, "p99-us": 99, "p99.9-us": 99.9} {
		b.ReportMetric(float64(times.ValueAtQuantile(quantile)), name)
	}
}
