package main

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhsetting"
)

// nodeSettings returns valid settings of a node with a local target of the
// service.
func nodeSettings(service string) string {
	return `{
	// comments are allowed
	"id": "n1", "zone": "z1",
	"listen": {"callers": "127.0.0.1:7101", "calls": "127.0.0.1:7102", "peers": "127.0.0.1:7103", "targets": "127.0.0.1:7104", "operators": "127.0.0.1:7105", "ready": "127.0.0.1:7106"},
	"store": {"address": "http://127.0.0.1:7000", "writes": 400, "reads": 2000},
	"beside": {"service": "` + service + `", "address": "127.0.0.1:9001"},
}`
}

var _ = Describe("watchSettings", func() {
	var path string
	var updates <-chan qhsetting.Node
	write := func(text string) { Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed()) }
	BeforeEach(func() {
		path = filepath.Join(GinkgoT().TempDir(), "node.jsonc")
		write(nodeSettings("booking"))
		group, stop := qhgroup.New(context.Background())
		DeferCleanup(stop)
		updates = watchSettings(group, path, zap.NewNop())
	})
	expectService := func(service qhid.Service) {
		var settings qhsetting.Node
		Eventually(updates).WithTimeout(20 * time.Second).Should(Receive(&settings))
		Expect(settings.LocalTarget.Service).To(Equal(service))
	}

	It("delivers a change on SIGHUP and without it", func() {
		write(nodeSettings("arrangements"))
		Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
		expectService("arrangements")
		write(nodeSettings("portal"))
		expectService("portal")
	})

	It("skips invalid settings", func() {
		write(`{"id": 7}`)
		Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
		Consistently(updates).WithTimeout(300 * time.Millisecond).ShouldNot(Receive())
		write(nodeSettings("desk"))
		expectService("desk")
	})
})
