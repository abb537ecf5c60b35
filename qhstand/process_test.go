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

// limit bounds a wait for what has to happen.
const limit = 30 * time.Second

// start runs the program and returns the address that it prints.
func start(args ...string) (*gexec.Session, string) {
	GinkgoHelper()
	session, err := gexec.Start(exec.Command(binary, args...), GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { session.Kill().Wait(limit) })
	var ready qhserve.Ready
	Eventually(func() error { return json.Unmarshal(session.Out.Contents(), &ready) }).WithTimeout(limit).Should(Succeed())
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
	It("serves the object API and ends on SIGTERM though a watch waits", func() {
		session, base := start("platform", "--listen", "127.0.0.1:0")
		store, cleanUp := qhplatform.NewHTTP(qhplatform.HTTPOptions{BaseURL: base})
		defer cleanUp()
		ctx := context.Background()
		_, err := store.Create(ctx, "a", []byte("1"))
		Expect(err).NotTo(HaveOccurred())
		group, wait := qhgroup.New(ctx)
		defer wait()
		group.Go(func(ctx context.Context) { _, _ = store.Watch(ctx, "head", 0) })
		Eventually(func() string {
			counts, _ := get(base + "/v1/counts")
			return string(counts)
		}).WithTimeout(limit).Should(ContainSubstring(`"waiting":1`))
		session.Signal(syscall.SIGTERM)
		Eventually(session).WithTimeout(limit).Should(gexec.Exit(0))
		_, err = store.Create(ctx, "b", nil)
		Expect(err).To(WithTransform(qherr.KindOf, Equal(qherr.Unavailable)))
	})
})

var _ = Describe("qhstand target", func() {
	It("takes its announcement back on SIGTERM and ends the call in flight whole", func() {
		methods := make(chan string, 100)
		node := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			methods <- r.Method + " " + r.URL.Path
		}))
		defer node.Close()
		session, base := start("target", "--id", "booking-1", "--service", "booking", "--node", node.URL, "--time", "2s")
		Eventually(methods).WithTimeout(limit).Should(Receive(Equal("PUT /v1/targets/booking-1")))

		answers := make(chan []byte, 1)
		group, wait := qhgroup.New(context.Background())
		defer wait()
		group.Go(func(context.Context) {
			body, _ := get(base + "/urns")
			answers <- body
		})
		Eventually(func() int {
			var record qhtarget.Record
			body, _ := get(base + "/qhstand/record")
			_ = json.Unmarshal(body, &record)
			return record.Running
		}).WithTimeout(limit).Should(Equal(1))
		session.Signal(syscall.SIGTERM)
		Eventually(session).WithTimeout(limit).Should(gexec.Exit(0))
		var echo qhtarget.Echo
		Expect(json.Unmarshal(<-answers, &echo)).To(Succeed())
		Expect(echo.Path).To(Equal("/urns"))
		last := ""
		for len(methods) > 0 {
			last = <-methods
		}
		Expect(last).To(Equal("DELETE /v1/targets/booking-1"))
	})
})

var _ = DescribeTable("qhstand refuses bad use with one line and status 2", func(golden string, args ...string) {
	session, err := gexec.Start(exec.Command(binary, args...), GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	Eventually(session).WithTimeout(limit).Should(gexec.Exit(2))
	Expect(string(session.Err.Contents())).To(qhgolden.Match("testdata/" + golden))
	Expect(strings.Count(string(session.Err.Contents()), "\n")).To(Equal(1))
},
	Entry("an unknown flag", "flag.golden", "platform", "--odd"),
	Entry("an unknown command", "command.golden", "odd"),
	Entry("a target without an id", "target.golden", "target"),
	Entry("an address that is none", "listen.golden", "platform", "--listen", "nowhere"),
)
