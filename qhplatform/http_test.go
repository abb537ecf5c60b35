package qhplatform_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
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
		store, cleanup := qhplatform.NewHTTP(opts)
		DeferCleanup(func() {
			cleanup()
			server.CloseClientConnections()
			server.Close()
		})
		return store
	}

	DescribeTable("returns the era of responses, or 0 if it is missing or malformed", func(header string, era int) {
		fake := qhplatform.NewFake(qhplatform.FakeOptions{})
		handler := qhplatform.NewHandler(fake)
		store := connect(qhplatform.HTTPOptions{}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, r)
			w.Header().Set("Content-Type", "application/json")
			if header != "" {
				w.Header().Set("Era", header)
			}
			_, _ = w.Write(recorder.Body.Bytes())
		}))
		listing, err := store.ListAt(ctx, "k/")
		Expect(err).NotTo(HaveOccurred())
		Expect(listing.Era).To(BeEquivalentTo(era))
		changes, err := store.WatchPrefix(ctx, "k/", 0, time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(changes.Era).To(BeEquivalentTo(era))
	}, Entry("named", "3", 3), Entry("missing", "", 0), Entry("malformed", "x", 0))

	It("reports the bytes of a response that does not end", func() {
		store := connect(qhplatform.HTTPOptions{Timeout: 300 * time.Millisecond, MaxAttempts: 1}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("begins"))
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}))
		var received atomic.Int64
		_, err := store.ListAt(qhplatform.WithReceipt(ctx, qhplatform.Receipt{OnBytes: func(bytes int) { received.Add(int64(bytes)) }}), "k/")
		Expect(qherr.Is(err, qherr.Unavailable)).To(BeTrue())
		Expect(received.Load()).To(BeEquivalentTo(len("begins")))
	})

	DescribeTable("does not receive a response that is too long", func(tellsLength bool) {
		written := make(chan int, 1)
		store := connect(qhplatform.HTTPOptions{}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			body := bytes.Repeat([]byte(" "), 64<<20)
			if tellsLength {
				w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			}
			n, _ := w.Write(body)
			written <- n
		}))
		_, err := store.WatchPrefix(qhplatform.WithReceipt(ctx, qhplatform.Receipt{MaxSize: 1000}), "k/", 1, time.Millisecond)
		Expect(qherr.Is(err, qherr.Conflict)).To(BeTrue())
		Expect(errors.Is(err, qhplatform.ErrTooLong)).To(BeTrue())
		Expect(<-written).To(BeNumerically("<", 64<<20))
	}, Entry("with its length told", true), Entry("in chunks", false))

	It("reports a refused connection as Unavailable, even for a write", func() {
		server := httptest.NewServer(http.NotFoundHandler())
		server.Close()
		store, cleanup := qhplatform.NewHTTP(qhplatform.HTTPOptions{BaseURL: server.URL, MaxAttempts: 1})
		defer cleanup()
		_, err := store.Create(ctx, "a", nil)
		Expect(err).To(haveKind(qherr.Unavailable))
	})

	DescribeTable("sends a write only once, however the platform fails", func(fail http.HandlerFunc) {
		fake := qhplatform.NewFake(qhplatform.FakeOptions{})
		handler := qhplatform.NewHandler(fake)
		var puts atomic.Int64
		store := connect(qhplatform.HTTPOptions{}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPut && puts.Add(1) > 0 {
				fail(w, r)
				return
			}
			handler.ServeHTTP(w, r)
		}))
		_, err := store.Get(ctx, "a") // opens an idle connection that the write reuses
		Expect(err).To(haveKind(qherr.NotFound))
		_, err = store.Create(ctx, "a", []byte("1"))
		Expect(err).To(haveKind(qherr.Unknown))
		Expect(puts.Load()).To(Equal(int64(1)))
	},
		Entry("closes the connection", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		})),
		Entry("redirects", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		})),
		Entry("truncates its response", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("{"))
		})),
		Entry("responds with an error without a body", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusBadGateway)
		})),
		Entry("responds with an unknown kind of error", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = w.Write([]byte(`{"kind":"odd"}`))
		})),
		Entry("responds with HTML instead of JSON", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("<html>"))
		})),
	)

	It("does not exceed its rate limit", func() {
		fake := qhplatform.NewFake(qhplatform.FakeOptions{})
		set := metrics.NewSet()
		store := connect(qhplatform.HTTPOptions{RateLimit: 1e-3, Metrics: set}, qhplatform.NewHandler(fake))
		_, err := store.Create(ctx, "a", nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Create(ctx, "b", nil)
		Expect(err).To(haveKind(qherr.Unavailable))
		Expect(err).To(MatchError(ContainSubstring("was not sent")))
		Expect(fake.Counts().Total).To(Equal(1))
		var written bytes.Buffer
		set.WritePrometheus(&written)
		Expect(written.String()).To(ContainSubstring(`qh_platform_calls_total{op="create"} 1` + "\n"))
	})

	It("reserves a share of the rate limit for keys outside BulkPrefix", func() {
		fake := qhplatform.NewFake(qhplatform.FakeOptions{})
		store := connect(qhplatform.HTTPOptions{RateLimit: 1e-3, Burst: 5, BulkPrefix: "claim/"}, qhplatform.NewHandler(fake))
		for range 10 {
			_, _ = store.Get(ctx, "claim/urns/1")
		}
		Expect(fake.Counts().Total).To(Equal(4))
		_, err := store.Create(ctx, "relay/kigali-a/0", nil)
		Expect(err).NotTo(HaveOccurred())
	})

	It("has free connections for other keys while calls for keys under BulkPrefix hang", func() {
		fake := qhplatform.NewFake(qhplatform.FakeOptions{})
		fake.SetFaults(qhplatform.Faults{Prefix: "claim/", Hang: true})
		store := connect(qhplatform.HTTPOptions{Timeout: time.Hour, MaxConnections: 1, BulkPrefix: "claim/"}, qhplatform.NewHandler(fake))
		group, stop := qhgroup.New(ctx)
		DeferCleanup(stop)
		group.Go(func(ctx context.Context) { _, _ = store.Create(ctx, "claim/urns/1", nil) })
		Eventually(func() int { return fake.Counts().Total }).WithTimeout(20 * time.Second).Should(Equal(1))
		timeoutCtx, cancel := context.WithTimeout(ctx, 20*time.Second)
		defer cancel()
		_, err := store.Create(timeoutCtx, "relay/kigali-a/0", nil)
		Expect(err).NotTo(HaveOccurred())
	})

	It("retries reads, but stops retrying while the platform stays down", func() {
		fake := qhplatform.NewFake(qhplatform.FakeOptions{})
		store := connect(qhplatform.HTTPOptions{RateLimit: 1e6, MaxAttempts: 2}, qhplatform.NewHandler(fake))
		fake.SetFaults(qhplatform.Faults{Down: true})
		const reads, retries = 30, 10
		for range reads {
			_, err := store.Get(ctx, "a")
			Expect(err).To(haveKind(qherr.Unavailable))
		}
		Expect(fake.Counts().Total).To(Equal(reads + retries))
	})

	It("opens new connections when the open ones stop responding", func() {
		fake := qhplatform.NewFake(qhplatform.FakeOptions{})
		server := httptest.NewServer(qhplatform.NewHandler(fake))
		DeferCleanup(server.Close)
		forwarder, closeForwarder, err := qhforward.New(ctx, qhid.Address(server.Listener.Addr().String()))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(closeForwarder)
		const connections = 4
		store, cleanup := qhplatform.NewHTTP(qhplatform.HTTPOptions{
			BaseURL: "http://" + string(forwarder.Address()), Timeout: 2 * time.Second, MaxAttempts: 2, MaxConnections: connections,
		})
		DeferCleanup(cleanup)
		fillConnections(store, connections, fake)
		forwarder.Blackhole()
		_, err = store.Get(ctx, "a")
		Expect(err).To(haveKind(qherr.NotFound))
	})

	It("gives up a watch of an object on a silent connection long before the timeout of a call", func() {
		store := connect(qhplatform.HTTPOptions{Timeout: time.Hour, WatchTimeout: time.Millisecond}, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
		}))
		watchCtx, cancel := context.WithTimeout(ctx, time.Minute)
		defer cancel()
		_, err := store.WatchObject(watchCtx, "a", 1)
		Expect(err).To(haveKind(qherr.Unavailable))
		Expect(watchCtx.Err()).NotTo(HaveOccurred())
	})

	It("reports a write that got no connection before its deadline as Unavailable", func() {
		fake := qhplatform.NewFake(qhplatform.FakeOptions{})
		fake.SetFaults(qhplatform.Faults{Prefix: "held", Hang: true})
		store := connect(qhplatform.HTTPOptions{Timeout: time.Hour, MaxConnections: 1}, qhplatform.NewHandler(fake))
		group, stop := qhgroup.New(ctx)
		DeferCleanup(stop)
		group.Go(func(ctx context.Context) { _, _ = store.Create(ctx, "held", nil) })
		Eventually(func() int { return fake.Counts().Total }).WithTimeout(20 * time.Second).Should(Equal(1))
		timeoutCtx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := store.Create(timeoutCtx, "a", nil)
		Expect(err).To(haveKind(qherr.Unavailable))
		Expect(fake.Counts().Total).To(Equal(1))
	})
})

// fillConnections leaves the given number of idle connections to the platform.
func fillConnections(store qhplatform.Store, connections int, fake *qhplatform.Fake) {
	GinkgoHelper()
	fake.SetFaults(qhplatform.Faults{Delay: qhconfig.Duration(200 * time.Millisecond)})
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
	fake.SetFaults(qhplatform.Faults{})
}
