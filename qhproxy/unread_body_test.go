package qhproxy

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhheader"
)

// uploadCase is an upload whose body holds whole requests, and orders behind it on its
// connection.
type uploadCase struct {
	number  int
	chunked bool
	// expect makes the caller wait for 100 Continue.
	expect bool
	// target tells the target what to do with the upload.
	target string
	pieces int
	pause  time.Duration
	orders int
}

func (c uploadCase) id(part string) string { return fmt.Sprintf("%d-%s", c.number, part) }

// body returns the pieces of the body. Each has a whole request.
func (c uploadCase) body() []string {
	pieces := make([]string, c.pieces)
	for i := range pieces {
		request := fmt.Sprintf("POST /orders HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", qhheader.RequestID, c.id(fmt.Sprint("smuggled-", i)))
		pieces[i] = strings.Repeat("x", 2000) + "\r\n\r\n" + request
	}
	return pieces
}

// run sends the upload and the orders, and returns the responses.
func (c uploadCase) run(address string) ([]*http.Response, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	reader := bufio.NewReader(conn)
	pieces := c.body()
	head := fmt.Sprintf("POST /docs/%s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n", c.target, qhheader.RequestID, c.id("upload"))
	if c.chunked {
		head += "Transfer-Encoding: chunked\r\n"
	} else {
		head += "Content-Length: " + strconv.Itoa(len(strings.Join(pieces, ""))) + "\r\n"
	}
	if c.expect {
		head += "Expect: 100-continue\r\n"
	}
	_, _ = io.WriteString(conn, head+"\r\n")
	var responses []*http.Response
	if c.expect {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode != http.StatusContinue {
			return []*http.Response{resp}, nil
		}
	}
	var sending sync.WaitGroup
	sending.Go(func() { c.send(conn, pieces) })
	defer sending.Wait()
	for {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return responses, nil //nolint:nilerr // the connection has ended
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return responses, nil //nolint:nilerr // the same
		}
		if responses = append(responses, resp); resp.Close || len(responses) > c.orders {
			return responses, nil
		}
	}
}

// send sends the body and the orders. The node may close the connection meanwhile.
func (c uploadCase) send(conn net.Conn, pieces []string) {
	if c.chunked {
		_, _ = fmt.Fprintf(conn, "%x\r\n", len(strings.Join(pieces, "")))
	}
	for _, piece := range pieces {
		_, _ = io.WriteString(conn, piece)
		time.Sleep(c.pause)
	}
	if c.chunked {
		_, _ = io.WriteString(conn, "\r\n0\r\n\r\n")
	}
	for i := range c.orders {
		_, _ = fmt.Fprintf(conn, "POST /orders HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", qhheader.RequestID, c.id(fmt.Sprint("order-", i)))
	}
}

var _ = Describe("the rest of a request body", func() {
	var f *fleet
	var runs *executionRecorder
	var entry *node
	BeforeEach(func() {
		f = newFleet(GinkgoTB(),
			newRoute("docs", "/docs", "docs", func(r *qhconfig.Route) { r.Timeout = qhconfig.Duration(300 * time.Millisecond) }),
			newRoute("orders", "/orders", "orders"))
		entry = f.startNode("a", "kigali-a")
		f.startNode("b", "kigali-a")
		runs = &executionRecorder{}
		f.startTarget("d1", "docs", "b", 100, func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/docs/reads":
				_, _ = io.Copy(io.Discard, r.Body)
			case "/docs/answers":
				_, _ = io.ReadFull(r.Body, make([]byte, 100))
			case "/docs/hangs":
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
			}
		})
		f.startTarget("o1", "orders", "b", 100, func(_ http.ResponseWriter, r *http.Request) { runs.add(r) })
	})
	// check checks that the responses are those to the upload and the orders, in order, and
	// that nothing in the body ran.
	check := func(c uploadCase, responses []*http.Response) {
		want := []string{c.id("upload")}
		for i := range c.orders {
			want = append(want, c.id(fmt.Sprint("order-", i)))
		}
		for i, resp := range responses {
			Expect(i).To(BeNumerically("<", len(want)), "%+v: %d responses", c, len(responses))
			Expect(resp.Header.Get(qhheader.RequestID)).To(Equal(want[i]), "%+v: response %d has status %d", c, i, resp.StatusCode)
		}
		for i := range c.pieces {
			Expect(runs.count(c.id(fmt.Sprint("smuggled-", i)))).To(BeZero(), "%+v", c)
		}
		for i := range c.orders {
			ran := runs.count(c.id(fmt.Sprint("order-", i)))
			Expect(ran).To(BeNumerically("<=", 1), "%+v", c)
			if answered := slices.IndexFunc(responses, func(r *http.Response) bool { return r.Header.Get(qhheader.RequestID) == c.id(fmt.Sprint("order-", i)) }); answered >= 0 {
				Expect(ran == 1).To(Equal(responses[answered].StatusCode == http.StatusOK), "%+v: order %d has status %d", c, i, responses[answered].StatusCode)
			}
		}
	}

	// Guards against the rest of an upload that was answered early being taken for requests.
	DescribeTable("is never taken for further requests", func(c uploadCase) {
		responses, err := c.run(entry.callers.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		check(c, responses)
		if len(responses) > 0 && responses[0].StatusCode >= 500 {
			Expect(responses[0].Close).To(BeTrue(), "the response does not say that the connection closes")
		}
	},
		Entry("in chunks, asked for, at the route's timeout", uploadCase{chunked: true, expect: true, target: "reads", pieces: 5, pause: 150 * time.Millisecond, orders: 1}),
		Entry("with a length, asked for, at the route's timeout", uploadCase{expect: true, target: "reads", pieces: 40, pause: 20 * time.Millisecond, orders: 1}),
		Entry("in chunks, at the route's timeout", uploadCase{chunked: true, target: "reads", pieces: 5, pause: 150 * time.Millisecond, orders: 1}),
		Entry("in chunks, asked for, answered early", uploadCase{chunked: true, expect: true, target: "answers", pieces: 5, pause: 60 * time.Millisecond, orders: 1}),
	)

	It("is never taken for further requests, whatever its parts and whenever it is answered", func() {
		random := rand.New(rand.NewPCG(uint64(GinkgoRandomSeed()), 1))
		var cases sync.WaitGroup
		for i := range 120 {
			c := uploadCase{
				number: i, chunked: random.IntN(2) == 0, expect: random.IntN(2) == 0, target: []string{"reads", "answers", "hangs"}[random.IntN(3)],
				pieces: 1 + random.IntN(40), pause: time.Duration(random.IntN(40)) * time.Millisecond, orders: 1 + random.IntN(3),
			}
			cases.Go(func() {
				defer GinkgoRecover()
				responses, err := c.run(entry.callers.Listener.Addr().String())
				Expect(err).NotTo(HaveOccurred())
				check(c, responses)
			})
		}
		cases.Wait()
	})

	It("that does not come in time is refused as not executed, with a status that callers may repeat", func() {
		conn := dialCallers(entry)
		conn.send("POST /docs/reads HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nxx")
		resp := conn.read()
		Expect(resp.StatusCode).To(Equal(http.StatusRequestTimeout))
		Expect(resp.Header.Get(qhheader.Outcome)).To(Equal(qhheader.OutcomeNotExecuted))
		Expect(resp.Close).To(BeTrue())
	})
})
