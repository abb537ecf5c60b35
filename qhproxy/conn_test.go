package qhproxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhconfig"
)

var _ = Describe("a caller's connection", func() {
	It("cancels the current call when the caller disconnects after sending more requests", func() {
		f := newFleet(GinkgoTB(), newRoute("urns", "/urns", "booking"))
		f.settings.Timeout = qhconfig.Duration(time.Minute) // only the disconnect may end the call, neither timeout
		f.settings.FirstByteTimeout = qhconfig.Duration(time.Minute)
		n := f.startNode("a", "kigali-a")
		started, cancelled := make(chan struct{}), make(chan struct{})
		f.startTarget("t1", "booking", "a", 1, func(_ http.ResponseWriter, r *http.Request) {
			close(started)
			<-r.Context().Done()
			close(cancelled)
		})
		conn, err := net.Dial("tcp", n.callers.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		const get = "GET /urns HTTP/1.1\r\nHost: h\r\n\r\n"
		_, err = io.WriteString(conn, get)
		Expect(err).NotTo(HaveOccurred())
		Eventually(started).WithTimeout(20 * time.Second).Should(BeClosed())
		_, err = io.WriteString(conn, get+get)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(50 * time.Millisecond) // lets the requests arrive before the close
		Expect(conn.Close()).To(Succeed())
		Eventually(cancelled).WithTimeout(20 * time.Second).Should(BeClosed())
	})

	It("answers pipelined requests in order", func() {
		f := newFleet(GinkgoTB(), newRoute("urns", "/urns", "booking"))
		n := f.startNode("a", "kigali-a")
		f.startTarget("t1", "booking", "a", 4, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(w, r.URL.Path)
		})
		conn, err := net.Dial("tcp", n.callers.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		paths := []string{"/urns/1", "/urns/2", "/urns/3"}
		for _, path := range paths {
			_, err = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(5 * time.Millisecond)
		}
		for _, path := range paths {
			resp, err := http.ReadResponse(reader, nil)
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body)).To(Equal(path))
		}
	})

	It("is closed after a request with both Content-Length and Transfer-Encoding", func() {
		f := newFleet(GinkgoTB(), newRoute("urns", "/urns", "booking"))
		n := f.startNode("a", "kigali-a")
		var runs atomic.Int64
		f.startTarget("t1", "booking", "a", 4, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
		conn, err := net.Dial("tcp", n.callers.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "POST /urns HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /urns/hidden HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		reader := bufio.NewReader(conn)
		resp, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusBadRequest))
		Expect(resp.Close).To(BeTrue())
		_, err = io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		_, err = reader.ReadByte()
		Expect(err).To(HaveOccurred())
		Expect(runs.Load()).To(BeZero())
	})
})
