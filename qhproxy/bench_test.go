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

// BenchmarkAdded measures the latency that two nodes add: it compares calls
// sent directly to a target with calls through two nodes. Each caller pauses
// after a call for as long as the call took. Times are in microseconds.
func BenchmarkAdded(b *testing.B) {
	f := newFleet(b, newRoute("urns", "/urns", "booking"))
	entry := f.startNode("a", "kigali-a")
	f.startNode("b", "kigali-b")
	target := f.startTarget("t1", "booking", "b", 256, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"urn":"oak","free":true}`)
	})
	f.nodes["b"].guards.Get("t1").Conns().SetLimit(256)
	for _, callers := range []int{1, 16, 128} {
		for name, url := range map[string]string{"direct": target.URL, "mesh": entry.callers.URL} {
			b.Run(fmt.Sprintf("%s/callers=%d", name, callers), func(b *testing.B) {
				transport := &http.Transport{MaxIdleConnsPerHost: callers, MaxConnsPerHost: callers}
				defer transport.CloseIdleConnections()
				runLoad(b, transport, url+"/urns", callers, callers*20, false) // warm-up: opens the connections
				b.ReportAllocs()
				b.ResetTimer()
				before := cpuTime()
				report(b, runLoad(b, transport, url+"/urns", callers, b.N, true))
				b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpu-us/op")
			})
		}
	}
}

// cpuTime returns the CPU time of the process, which includes callers and
// target.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// runLoad sends calls from the given number of callers and returns their times.
// With pause, each caller waits after a call for as long as the call took.
func runLoad(b *testing.B, transport http.RoundTripper, url string, callers, calls int, pause bool) *hdrhistogram.Histogram {
	var wg sync.WaitGroup
	var mu sync.Mutex
	times := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for caller := range callers {
		wg.Go(func() {
			callerTimes := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
			for i := caller; i < calls; i += callers {
				start := time.Now()
				if err := fetch(transport, url); err != nil {
					b.Error(err)
				}
				took := time.Since(start)
				_ = callerTimes.RecordValue(took.Microseconds())
				if pause {
					time.Sleep(took)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			times.Merge(callerTimes)
		})
	}
	wg.Wait()
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
