package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgolden"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhstand/qhserve"
	"quetzalhaven.dev/qhstand/qhtarget"
)

// eventTimeout bounds the wait for an expected event.
const eventTimeout = 30 * time.Second

// startProgram starts qhstand and returns its session and the base URL from the
// address that it prints.
func startProgram(args ...string) (*gexec.Session, string) {
	GinkgoHelper()
	session, err := gexec.Start(exec.Command(binary, args...), GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { session.Kill().Wait(eventTimeout) })
	var ready qhserve.Ready
	Eventually(func() error { return json.Unmarshal(session.Out.Contents(), &ready) }).WithTimeout(eventTimeout).Should(Succeed())
	return session, "http://" + string(ready.Address)
}

func get(url string) ([]byte, error) {
	resp, err := http.Get(url)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return io.ReadAll(resp.Body)
}

var _ = Describe("qhstand platform", func() {
	It("serves the object API and exits on SIGTERM despite a waiting watch", func() {
		session, baseURL := startProgram("platform", "--listen", "127.0.0.1:0")
		store, cleanup := qhplatform.NewHTTP(qhplatform.HTTPOptions{BaseURL: baseURL})
		defer cleanup()
		ctx := context.Background()
		_, err := store.Create(ctx, "a", []byte("1"))
		Expect(err).NotTo(HaveOccurred())
		group, wait := qhgroup.New(ctx)
		defer wait()
		group.Go(func(ctx context.Context) { _, _ = store.WatchObject(ctx, "head", 0) })
		Eventually(func() string {
			counts, _ := get(baseURL + "/v1/counts")
			return string(counts)
		}).WithTimeout(eventTimeout).Should(ContainSubstring(`"waiting":1`))
		session.Signal(syscall.SIGTERM)
		Eventually(session).WithTimeout(eventTimeout).Should(gexec.Exit(0))
		_, err = store.Create(ctx, "b", nil)
		Expect(err).To(WithTransform(qherr.KindOf, Equal(qherr.Unavailable)))
	})
})

var _ = Describe("qhstand target", func() {
	It("withdraws its announcement on SIGTERM and completes the in-flight call", func() {
		requests := make(chan string, 100)
		node := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			requests <- r.Method + " " + r.URL.Path
		}))
		defer node.Close()
		session, baseURL := startProgram("target", "--id", "booking-1", "--service", "booking", "--node", node.URL, "--time", "2s")
		Eventually(requests).WithTimeout(eventTimeout).Should(Receive(Equal("PUT /v1/targets/booking-1")))

		responses := make(chan []byte, 1)
		group, wait := qhgroup.New(context.Background())
		defer wait()
		group.Go(func(context.Context) {
			body, _ := get(baseURL + "/urns")
			responses <- body
		})
		Eventually(func() int {
			var record qhtarget.Record
			body, _ := get(baseURL + "/qhstand/record")
			_ = json.Unmarshal(body, &record)
			return record.Running
		}).WithTimeout(eventTimeout).Should(Equal(1))
		session.Signal(syscall.SIGTERM)
		Eventually(session).WithTimeout(eventTimeout).Should(gexec.Exit(0))
		var echo qhtarget.Echo
		Expect(json.Unmarshal(<-responses, &echo)).To(Succeed())
		Expect(echo.Path).To(Equal("/urns"))
		lastRequest := ""
		for len(requests) > 0 {
			lastRequest = <-requests
		}
		Expect(lastRequest).To(Equal("DELETE /v1/targets/booking-1"))
	})
})

var _ = DescribeTable("qhstand rejects invalid usage with one line and status 2", func(golden string, args ...string) {
	session, err := gexec.Start(exec.Command(binary, args...), GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	Eventually(session).WithTimeout(eventTimeout).Should(gexec.Exit(2))
	Expect(string(session.Err.Contents())).To(qhgolden.Match("testdata/" + golden))
	Expect(strings.Count(string(session.Err.Contents()), "\n")).To(Equal(1))
},
	Entry("an unknown flag", "flag.golden", "platform", "--odd"),
	Entry("an unknown command", "command.golden", "odd"),
	Entry("a target without an id", "target.golden", "target"),
	Entry("an invalid address", "listen.golden", "platform", "--listen", "nowhere"),
)
