package qhproxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhroute"
)

// sendRaw sends bytes to the callers' listener and returns the status line, the
// sorted headers and the body of the response.
func sendRaw(n *node, request string) string {
	conn, err := net.Dial("tcp", n.callers.Listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, request)
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no response"
	}
	body, err := io.ReadAll(resp.Body)
	lines := []string{resp.Status}
	for name, values := range resp.Header {
		if name != "Date" && name != qhheader.RequestID {
			lines = append(lines, name+": "+strings.Join(values, ", "))
		}
	}
	slices.Sort(lines[1:])
	text := strings.Join(lines, "\n") + "\n\n" + string(body)
	if err != nil {
		text += "\n(truncated)"
	}
	return regexp.MustCompile(`Retry-After: \d+`).ReplaceAllString(text, "Retry-After: N")
}

var _ = Describe("callers' input", func() {
	const target = "GET /urns HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
	DescribeTable("gets a defined response", func(name, request string) {
		f := newFleet(GinkgoTB(), newRoute("urns", "/urns", "booking", func(r *qhconfig.Route) { r.MaxBodyBytes = 8 }))
		f.settings.MaxHeaderBytes = 4 << 10
		n := f.startNode("a", "kigali-a")
		f.startTarget("t1", "booking", "a", 1, func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			_, _ = fmt.Fprintf(w, "%s %q %v %v", r.Method, body, err, r.Header[http.CanonicalHeaderKey(qhheader.InternalPrefix+"Target")])
		})
		got := sendRaw(n, request)
		file := filepath.Join("testdata", name+".golden")
		if os.Getenv("UPDATE_GOLDEN") != "" {
			Expect(os.WriteFile(file, []byte(got), 0o644)).To(Succeed())
		}
		want, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(string(want)))
	},
		Entry("plain", "plain", target+"Qh-Node-Target: t9\r\nQh-Outcome: not-run\r\n\r\n"),
		Entry("upgrade", "upgrade", target+"Upgrade: websocket\r\n\r\n"),
		Entry("expect", "expect", "POST /urns HTTP/1.1\r\nHost: h\r\nConnection: close\r\nExpect: 200-maybe\r\nContent-Length: 1\r\n\r\nx"),
		Entry("connect", "connect", "CONNECT h:80 HTTP/1.1\r\nHost: h:80\r\nConnection: close\r\n\r\n"),
		Entry("headers too large", "headers", target+"Big: "+strings.Repeat("x", 16<<10)+"\r\n\r\n"),
		Entry("body too large", "body", "POST /urns HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 9\r\n\r\n123456789"),
		Entry("body that grows too large", "chunked", "POST /urns HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n123456789\r\n0\r\n\r\n"),
		Entry("malformed chunk", "chunk", "POST /urns HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"),
		Entry("two lengths", "lengths", "POST /urns HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx"),
		Entry("no host", "host", "GET /urns HTTP/1.1\r\n\r\n"),
		Entry("dot segments", "dots", "GET /urns/%2e%2e/admin HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"),
		Entry("bad deadline", "deadline", target+"Request-Timeout: -1\r\n\r\n"),
		Entry("no time left", "late", target+"Request-Timeout: 0\r\n\r\n"),
		Entry("HTTP/1.0", "old", "GET /urns HTTP/1.0\r\n\r\n"),
	)

	It("with many headers is forwarded by both nodes, and so is a response with many headers", func() {
		f := newFleet(GinkgoTB(), newRoute("urns", "/urns", "booking"))
		f.settings.MaxHeaderBytes = 4 << 10
		n := f.startNode("a", "kigali-a")
		f.startNode("b", "kigali-b")
		f.startTarget("t1", "booking", "b", 1, func(w http.ResponseWriter, r *http.Request) {
			for name, values := range r.Header {
				w.Header()[name] = values
			}
			for i := range 5000 {
				w.Header().Set(fmt.Sprint("Y", i), "")
			}
		})
		many := "GET /urns HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
		for i := range 500 {
			many += fmt.Sprintf("X%d:\r\n", i)
		}
		Expect(sendRaw(n, many+"\r\n")).To(And(HavePrefix("200 OK"), ContainSubstring("X499"), ContainSubstring("Y4999")))
	})

	It("that arrives slowly times out without occupying a slot", func() {
		f := newFleet(GinkgoTB(), newRoute("urns", "/urns", "booking", func(r *qhconfig.Route) { r.Timeout = qhconfig.Duration(100 * time.Millisecond) }))
		n := f.startNode("a", "kigali-a")
		executions := &executionRecorder{}
		f.startTarget("t1", "booking", "a", 1, func(_ http.ResponseWriter, r *http.Request) { executions.add(r) })
		got := sendRaw(n, "POST /urns HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nConnection: close\r\nContent-Length: 5\r\n\r\nab")
		Expect(got).To(ContainSubstring("bad-body (not-run)"))
		Expect(executions.count("r1")).To(BeZero())
	})

	It("that is truncated does not reach the target as a complete body", func() {
		f := newFleet(GinkgoTB(), newRoute("urns", "/urns", "booking"))
		n := f.startNode("a", "kigali-a")
		f.startNode("b", "kigali-b")
		begun, bodyErr := make(chan struct{}, 2), make(chan error, 2)
		f.startTarget("t1", "booking", "b", 1, func(_ http.ResponseWriter, r *http.Request) {
			begun <- struct{}{}
			_, err := io.Copy(io.Discard, r.Body)
			bodyErr <- err
		})
		conn, err := net.Dial("tcp", n.callers.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		_, _ = io.WriteString(conn, "POST /urns HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n")
		Eventually(begun).WithTimeout(20 * time.Second).Should(Receive()) // a slot is occupied before the request is sent
		Expect(conn.Close()).To(Succeed())
		Eventually(bodyErr).WithTimeout(20 * time.Second).Should(Receive(HaveOccurred()))
	})

	It("with a large body is streamed while the response is streamed back", func() {
		f := newFleet(GinkgoTB(), newRoute("urns", "/urns", "booking"))
		n := f.startNode("a", "kigali-a")
		f.startNode("b", "kigali-b")
		f.startTarget("t1", "booking", "b", 9, func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).EnableFullDuplex()
			_, _ = io.Copy(w, r.Body)
		})
		text := strings.Repeat("0123456789abcdef", 1<<17)
		got := doCall(context.Background(), n, "POST", "/urns", "r1", io.NopCloser(strings.NewReader(text)))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body == text).To(BeTrue())
	})
})

// FuzzHeaders checks for arbitrary headers that no internal and no hop-by-hop
// header is forwarded, and that other headers are kept.
func FuzzHeaders(f *testing.F) {
	f.Add("Connection", "X-Secret, Te")
	f.Add("Qh-Node-Target", "t1")
	f.Add("Upgrade", "h2c")
	f.Fuzz(func(t *testing.T, name, value string) {
		header := http.Header{"Kept": {"1"}}
		header.Add(name, value)
		removeHopByHopHeaders(header)
		removeReservedHeaders(header)
		for left := range header {
			if strings.HasPrefix(left, qhheader.InternalPrefix) || slices.Contains(hopByHopHeaders(), left) {
				t.Fatalf("%q was not removed", left)
			}
		}
		if !strings.Contains(strings.ToLower(name+value), "kept") && header.Get("Kept") != "1" {
			t.Fatal("another header was removed")
		}
		_ = qhroute.StripPort(value)
	})
}
