package qhplatform_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhforward"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
)

var _ = Describe("HTTP client", func() {
	ctx := context.Background()

	connect := func(opts qhplatform.HTTPOptions, handler http.Handler) qhplatform.Store {
		server := httptest.NewServer(handler)
		opts.BaseURL = server.URL
		store, cleanUp := qhplatform.NewHTTP(opts)
		DeferCleanup(func() {
			cleanUp()
			server.CloseClientConnections()
			server.Close()
		})
		return store
	}

	It("reports a refused connection as unavailable, also for a write", func() {
		server := httptest.NewServer(http.NotFoundHandler())
		server.Close()
		store, cleanUp := qhplatform.NewHTTP(qhplatform.HTTPOptions{BaseURL: server.URL, MaxAttempts: 1})
		defer cleanUp()
		_, err := store.Create(ctx, "a", nil)
		Expect(err).To(beKind(qherr.Unavailable))
	})

	DescribeTable("sends a write once, whatever the platform does", func(fail http.HandlerFunc) {
		memory := qhplatform.NewMemory(qhplatform.MemoryOptions{})
		handler := qhplatform.NewHandler(memory)
		var puts atomic.Int64
		store := connect(qhplatform.HTTPOptions{}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPut && puts.Add(1) > 0 {
				fail(w, r)
				return
			}
			handler.ServeHTTP(w, r)
		}))
		_, err := store.Get(ctx, "a") // leaves an idle connection for the write
		Expect(err).To(beKind(qherr.NotFound))
		_, err = store.Create(ctx, "a", []byte("1"))
		Expect(err).To(beKind(qherr.Unknown))
		Expect(puts.Load()).To(Equal(int64(1)))
	},
		Entry("closes the connection", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		})),
		Entry("redirects", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		})),
		Entry("breaks its answer off", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("{"))
		})),
		Entry("answers with an error without a reason", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusBadGateway)
		})),
		Entry("answers with an unknown kind of error", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = w.Write([]byte(`{"kind":"odd"}`))
		})),
		Entry("answers with something else", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("<html>"))
		})),
	)

	It("does not call faster than its rate", func() {
		memory := qhplatform.NewMemory(qhplatform.MemoryOptions{})
		set := metrics.NewSet()
		store := connect(qhplatform.HTTPOptions{RateLimit: 1e-3, Metrics: set}, qhplatform.NewHandler(memory))
		_, err := store.Create(ctx, "a", nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Create(ctx, "b", nil)
		Expect(err).To(beKind(qherr.Unavailable))
		Expect(err).To(MatchError(ContainSubstring("was not sent")))
		Expect(memory.Counts().Total).To(Equal(1))
		var written bytes.Buffer
		set.WritePrometheus(&written)
		Expect(written.String()).To(ContainSubstring(`qh_platform_calls_total{op="create"} 1` + "\n"))
	})

	It("leaves a part of the rate to other keys than bulk ones", func() {
		memory := qhplatform.NewMemory(qhplatform.MemoryOptions{})
		store := connect(qhplatform.HTTPOptions{RateLimit: 1e-3, Burst: 5, BulkPrefix: "claim/"}, qhplatform.NewHandler(memory))
		for range 10 {
			_, _ = store.Get(ctx, "claim/urns/1")
		}
		Expect(memory.Counts().Total).To(Equal(4))
		_, err := store.Create(ctx, "relay/kigali-a/0", nil)
		Expect(err).NotTo(HaveOccurred())
	})

	It("has connections for other keys while those of bulk keys hang", func() {
		memory := qhplatform.NewMemory(qhplatform.MemoryOptions{})
		memory.SetFaults(qhplatform.Faults{Prefix: "claim/", Hang: true})
		store := connect(qhplatform.HTTPOptions{Timeout: time.Hour, MaxConnections: 1, BulkPrefix: "claim/"}, qhplatform.NewHandler(memory))
		group, stop := qhgroup.New(ctx)
		DeferCleanup(stop)
		group.Go(func(ctx context.Context) { _, _ = store.Create(ctx, "claim/urns/1", nil) })
		Eventually(func() int { return memory.Counts().Total }).WithTimeout(20 * time.Second).Should(Equal(1))
		bound, cancel := context.WithTimeout(ctx, 20*time.Second)
		defer cancel()
		_, err := store.Create(bound, "relay/kigali-a/0", nil)
		Expect(err).NotTo(HaveOccurred())
	})

	It("tries reads again, and stops to do so while the platform stays out", func() {
		memory := qhplatform.NewMemory(qhplatform.MemoryOptions{})
		store := connect(qhplatform.HTTPOptions{RateLimit: 1e6, MaxAttempts: 2}, qhplatform.NewHandler(memory))
		memory.SetFaults(qhplatform.Faults{Down: true})
		const reads, retries = 30, 10
		for range reads {
			_, err := store.Get(ctx, "a")
			Expect(err).To(beKind(qherr.Unavailable))
		}
		Expect(memory.Counts().Total).To(Equal(reads + retries))
	})

	It("takes new connections where the open ones went silent", func() {
		memory := qhplatform.NewMemory(qhplatform.MemoryOptions{})
		server := httptest.NewServer(qhplatform.NewHandler(memory))
		DeferCleanup(server.Close)
		forwarder, closeForwarder, err := qhforward.New(ctx, qhid.Address(server.Listener.Addr().String()))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(closeForwarder)
		const connections = 4
		store, cleanUp := qhplatform.NewHTTP(qhplatform.HTTPOptions{
			BaseURL: "http://" + string(forwarder.Address()), Timeout: 2 * time.Second, MaxAttempts: 2, MaxConnections: connections,
		})
		DeferCleanup(cleanUp)
		fillConnections(store, connections, memory)
		forwarder.Blackhole()
		_, err = store.Get(ctx, "a")
		Expect(err).To(beKind(qherr.NotFound))
	})

	It("reports a write as unavailable that found no free connection in its time", func() {
		memory := qhplatform.NewMemory(qhplatform.MemoryOptions{})
		memory.SetFaults(qhplatform.Faults{Prefix: "held", Hang: true})
		store := connect(qhplatform.HTTPOptions{Timeout: time.Hour, MaxConnections: 1}, qhplatform.NewHandler(memory))
		group, stop := qhgroup.New(ctx)
		DeferCleanup(stop)
		group.Go(func(ctx context.Context) { _, _ = store.Create(ctx, "held", nil) })
		Eventually(func() int { return memory.Counts().Total }).WithTimeout(20 * time.Second).Should(Equal(1))
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := store.Create(short, "a", nil)
		Expect(err).To(beKind(qherr.Unavailable))
		Expect(memory.Counts().Total).To(Equal(1))
	})
})

// fillConnections leaves so many idle connections to the platform.
func fillConnections(store qhplatform.Store, connections int, memory *qhplatform.Memory) {
	GinkgoHelper()
	memory.SetFaults(qhplatform.Faults{Delay: qhconfig.Duration(200 * time.Millisecond)})
	var done sync.WaitGroup
	group, stop := qhgroup.New(context.Background())
	defer stop()
	done.Add(connections)
	for range connections {
		group.Go(func(ctx context.Context) {
			defer done.Done()
			_, _ = store.Get(ctx, "a")
		})
	}
	done.Wait()
	memory.SetFaults(qhplatform.Faults{})
}
