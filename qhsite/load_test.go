package qhsite_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhsite"
)

const (
	// callerCount is the number of concurrent callers.
	callerCount = 8
	// failurePause is how long a caller waits after a failed call.
	failurePause = 10 * time.Millisecond
)

// call is a call and the result that its caller received.
type call struct {
	id       qhid.Request
	key      string
	node     qhid.Node
	sent     time.Time
	response qhsite.Response
	err      error
}

// ok reports whether the call returned status 200 with a complete response.
func (c call) ok() bool { return c.err == nil && c.response.Status == http.StatusOK }

// notExecuted reports whether the response states that the call was not executed.
func (c call) notExecuted() bool {
	return c.err == nil && c.response.Header.Get(qhheader.Outcome) == qhheader.OutcomeNotExecuted
}

func (c call) String() string {
	return fmt.Sprintf("call %s through node %s: status %d, outcome %q, reason %q, error %v, body %.200s", c.id, c.node, c.response.Status,
		c.response.Header.Get(qhheader.Outcome), c.response.Header.Get(qhheader.Reason), c.err, c.response.Body)
}

// Traffic of the tests: POST calls without and with an idempotency key, and GET
// calls.
var (
	certificates = traffic{method: http.MethodPost, path: "/certificates"}
	deposits     = traffic{method: http.MethodPost, path: "/deposits", keyed: true}
	lookups      = traffic{method: http.MethodGet, path: "/slots/today"}
)

// loadGenerator sends calls until finish and records their results.
type loadGenerator struct {
	mu    sync.Mutex
	calls []call
	// succeeded counts the calls that returned status 200.
	succeeded atomic.Int64
	stop      func()
}

// traffic describes the calls that a load generator sends.
type traffic struct {
	method, path string
	// keyed sends two calls with each idempotency key, like a caller that retries
	// after it received no response.
	keyed bool
	// deadline is the timeout of a call; 0 for the client timeout of the site.
	deadline time.Duration
}

// startLoad starts callers that send calls through the nodes round-robin.
func startLoad(ctx context.Context, nodes []*qhsite.Node, traffic traffic) *loadGenerator {
	group, stop := qhgroup.New(ctx)
	l := &loadGenerator{stop: stop}
	DeferCleanup(stop)
	for caller := range callerCount {
		group.Go(func(ctx context.Context) {
			for i := 0; ctx.Err() == nil; i++ {
				node := nodes[(i+caller)%len(nodes)]
				c := call{id: qhid.Request(fmt.Sprintf("caller-%d-call-%d", caller, i)), node: node.Settings.ID, sent: time.Now()}
				header := http.Header{}
				header.Set(qhheader.RequestID, string(c.id))
				if traffic.keyed {
					c.key = fmt.Sprintf("caller-%d-key-%d", caller, i/2)
					header.Set(qhheader.IdempotencyKey, c.key)
				}
				c.response, c.err = traffic.call(ctx, node, header, string(c.id))
				l.add(c)
				if !c.ok() {
					waitAfterFailure(ctx) // backoff before the retry
				}
			}
		})
	}
	return l
}

// waitAfterFailure waits for failurePause or until ctx is done.
func waitAfterFailure(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(failurePause):
	}
}

// call sends one call. It is not cancelled when the load generator stops, so that
// every call has a result.
func (t traffic) call(ctx context.Context, node *qhsite.Node, header http.Header, body string) (qhsite.Response, error) {
	ctx = context.WithoutCancel(ctx)
	if t.deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, t.deadline)
		defer cancel()
	}
	return node.Call(ctx, t.method, t.path, header, body)
}

func (l *loadGenerator) add(c call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, c)
	if c.ok() {
		l.succeeded.Add(1)
	}
}

// waitCalls waits until count more calls have succeeded.
func (l *loadGenerator) waitCalls(count int64) {
	GinkgoHelper()
	want := l.succeeded.Load() + count
	Eventually(l.succeeded.Load, eventTimeout).Should(BeNumerically(">=", want))
}

// finish stops the callers and returns all calls.
func (l *loadGenerator) finish() []call {
	l.stop()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// expectIntactResponses checks that each successful response is complete and
// belongs to its call.
func expectIntactResponses(calls []call) {
	GinkgoHelper()
	for _, c := range calls {
		if !c.ok() {
			continue
		}
		var echo struct {
			Request qhid.Request `json:"request"`
			Body    string       `json:"body"`
		}
		Expect(json.Unmarshal([]byte(c.response.Body), &echo)).To(Succeed(), c.String())
		Expect(echo.Request).To(Equal(c.id), c.String())
		Expect(echo.Body).To(Equal(string(c.id)), c.String())
	}
}

// expectAtMostOnce compares the calls with the executions at the targets: a
// successful call was executed once, a call with the outcome not-run was not
// executed, and no call was executed twice.
func expectAtMostOnce(calls []call, executions map[qhid.Request]int) {
	GinkgoHelper()
	succeeded := 0
	for _, c := range calls {
		switch {
		case c.ok():
			succeeded++
			Expect(executions[c.id]).To(Equal(1), c.String())
		case c.notExecuted():
			Expect(executions[c.id]).To(BeZero(), c.String())
		default:
			Expect(executions[c.id]).To(BeNumerically("<=", 1), c.String())
		}
	}
	Expect(succeeded).NotTo(BeZero(), "no call succeeded, first call: %v", calls[0])
}
