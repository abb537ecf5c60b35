package qhproxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
)

// newRawTarget returns a listener whose connections are each handed to serve once the head of
// a request was read from them.
func newRawTarget(serve func(conn *net.TCPConn, reader *bufio.Reader)) net.Listener {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	group, stop := qhgroup.New(context.Background())
	DeferCleanup(stop)
	DeferCleanup(listener.Close)
	group.Go(func(context.Context) {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func(ctx context.Context) {
				defer func() { _ = conn.Close() }()
				defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
				_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
				reader := bufio.NewReader(conn)
				if _, err := http.ReadRequest(reader); err == nil {
					serve(conn.(*net.TCPConn), reader)
				}
			})
		}
	})
	return listener
}

// newResponder returns a target that sends response to each request. Its connections are
// closed by the node, or after the response if keepOpen is not set; a response with an end of
// its own has to say so then (Connection: close). closed counts the closed
// ones.
func newResponder(response string, keepOpen bool) (address qhid.Address, closed *atomic.Int64) {
	GinkgoHelper()
	closed = new(atomic.Int64)
	listener := newRawTarget(func(conn *net.TCPConn, reader *bufio.Reader) {
		_, err := io.WriteString(conn, response)
		for keepOpen && err == nil {
			if _, err = http.ReadRequest(reader); err == nil {
				_, err = io.WriteString(conn, response)
			}
		}
		closed.Add(1)
	})
	return qhid.Address(listener.Addr().String()), closed
}

// uploadPart and uploadParts are the size and the number of the writes of an upload, and
// uploadInterval is the time between two of them.
const (
	uploadPart     = 4000
	uploadParts    = 100
	uploadInterval = 6 * time.Millisecond
)

// slowUpload sends an upload in parts and returns the response as soon as it has ended. An
// error means that it is not complete.
func slowUpload(n *node, chunked bool) (status int, body string, err error) {
	conn, err := net.Dial("tcp", n.callers.Listener.Addr().String())
	if err != nil {
		return 0, "", err
	}
	var uploading sync.WaitGroup
	defer uploading.Wait()
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	uploading.Go(func() {
		framing, part := fmt.Sprintf("Content-Length: %d", uploadPart*uploadParts), strings.Repeat("u", uploadPart)
		if chunked {
			framing, part = "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n", uploadPart, part)
		}
		_, err := fmt.Fprintf(conn, "POST /urns HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n", framing)
		for i := 0; i < uploadParts && err == nil; i++ {
			_, err = io.WriteString(conn, part)
			time.Sleep(uploadInterval)
		}
		if chunked && err == nil {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}
	})
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	content, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(content), err
}

// uploadFleet has a node with a target and one without.
type uploadFleet struct {
	nodes []*node
}

// newUploadFleet returns a fleet whose target answers each upload with response once it has
// read its head, and then calls end.
func newUploadFleet(slots int, response string, end func(*net.TCPConn, *bufio.Reader)) *uploadFleet {
	GinkgoHelper()
	f := newFleet(GinkgoTB(), newRoute("urns", "/urns", "booking"))
	nodes := []*node{f.startNode("a", "kigali-a"), f.startNode("b", "kigali-a")}
	target := newRawTarget(func(conn *net.TCPConn, reader *bufio.Reader) {
		_, _ = io.WriteString(conn, response)
		end(conn, reader)
	})
	f.announceTarget("t1", "booking", "b", slots, qhid.Address(target.Addr().String()))
	return &uploadFleet{nodes: nodes}
}

// completeResponses makes uploads at both nodes, a number of calls by each of several callers
// at once. It returns how many of them got a status of 200 and a body that ended without an
// error, and the bodies that they got.
func (f *uploadFleet) completeResponses(callers, calls int) (complete int, bodies map[string]int) {
	var mu sync.Mutex
	bodies = make(map[string]int)
	var running sync.WaitGroup
	for i := range callers {
		running.Go(func() {
			for call := range calls {
				status, body, err := slowUpload(f.nodes[(i+call)%2], call%4 < 2)
				if err != nil || status != http.StatusOK {
					continue
				}
				mu.Lock()
				complete++
				bodies[body]++
				mu.Unlock()
			}
		})
	}
	running.Wait()
	return complete, bodies
}

var _ = Describe("a target that responds before it has read an upload", func() {
	const callers = 8
	part := strings.Repeat("p", 3000)
	reset := func(conn *net.TCPConn, _ *bufio.Reader) {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}

	DescribeTable("and resets the connection gives no complete response", func(response string) {
		const calls = 60
		complete, _ := newUploadFleet(2*callers, response, reset).completeResponses(callers, calls)
		Expect(complete).To(BeZero(), "of %d responses", callers*calls)
	},
		Entry("without a length", "HTTP/1.1 200\r\n\r\n"+part),
		Entry("in HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n"+part),
		Entry("without a length, longer than the buffers", "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat(part, 100)),
		Entry("with a longer length", "HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n"+part),
		Entry("in chunks without the last one", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nbb8\r\n"+part+"\r\n"),
	)

	readRest := func(conn *net.TCPConn, reader *bufio.Reader) {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, reader)
	}
	resetLater := func(conn *net.TCPConn, reader *bufio.Reader) {
		_ = conn.CloseWrite()
		time.Sleep(100 * time.Millisecond)
		reset(conn, reader)
	}
	DescribeTable("and ends its stream gives all of the response", func(response, body string, end func(*net.TCPConn, *bufio.Reader)) {
		const calls = 6
		complete, bodies := newUploadFleet(2*callers, response, end).completeResponses(callers, calls)
		Expect(complete).To(Equal(callers * calls))
		Expect(bodies[body]).To(Equal(callers * calls))
	},
		Entry("without a length, then reads the rest", "HTTP/1.1 200\r\n\r\n"+part, part, readRest),
		Entry("without a length, then resets the connection", "HTTP/1.1 200\r\n\r\n"+part, part, resetLater),
		Entry("in HTTP/1.0, then reads the rest", "HTTP/1.0 200 OK\r\n\r\n"+part, part, readRest),
		Entry("with a length, then reads the rest", "HTTP/1.1 200 OK\r\nContent-Length: 3000\r\nConnection: close\r\n\r\n"+part, part, readRest),
		Entry("with a length, then resets the connection", "HTTP/1.1 200 OK\r\nContent-Length: 3000\r\n\r\n"+part, part, resetLater),
		Entry("in chunks, then resets the connection", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nbb8\r\n"+part+"\r\n0\r\n\r\n", part, resetLater),
	)
})

// callInHTTP10 makes a call in HTTP/1.0. An error means that the response is not complete.
func callInHTTP10(n *node) (status int, body string, err error) {
	conn, err := net.Dial("tcp", n.callers.Listener.Addr().String())
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(conn, "GET /urns HTTP/1.0\r\nHost: h\r\n\r\n"); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	content, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(content), err
}

var _ = Describe("a caller of HTTP/1.0, whose responses end with their connection", func() {
	// newNodes returns nodes, one of them with a target that closes the connection after
	// response.
	newNodes := func(response string) []*node {
		GinkgoHelper()
		f := newFleet(GinkgoTB(), newRoute("urns", "/urns", "booking"))
		nodes := []*node{f.startNode("a", "kigali-a"), f.startNode("b", "kigali-a")}
		address, _ := newResponder(response, false)
		f.announceTarget("t1", "booking", "b", 4, address)
		return nodes
	}

	DescribeTable("gets no complete response if the target's", func(response string) {
		for _, n := range newNodes(response) {
			status, body, err := callInHTTP10(n)
			if status != http.StatusBadGateway { // of a node that knew it before it sent a byte
				Expect(err).To(HaveOccurred(), body)
			}
		}
	},
		Entry("lacks chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"),
		Entry("lacks bytes", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"),
	)

	DescribeTable("gets a complete response if the target's is complete", func(response string) {
		for _, n := range newNodes(response) {
			status, body, err := callInHTTP10(n)
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(http.StatusOK), body)
			Expect(body).To(Equal("all"))
		}
	},
		Entry("with a length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\nall"),
		Entry("in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n3\r\nall\r\n0\r\n\r\n"),
		Entry("without a length", "HTTP/1.1 200 OK\r\n\r\nall"),
	)
})
