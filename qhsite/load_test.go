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
	// callers is how many callers send calls at a time.
	callers = 8
	// failurePause is how long a caller waits after a call that failed.
	failurePause = 10 * time.Millisecond
)

// call is one call as its caller saw it.
type call struct {
	id     qhid.Request
	key    string
	node   qhid.Node
	answer qhsite.Answer
	err    error
}

func (c call) ok() bool { return c.err == nil && c.answer.Status == http.StatusOK }

func (c call) notRun() bool {
	return c.err == nil && c.answer.Header.Get(qhheader.Outcome) == qhheader.OutcomeNotExecuted
}

func (c call) String() string {
	return fmt.Sprintf("call %s by %s: status %d, outcome %q, reason %q, error %v, body %.200s", c.id, c.node, c.answer.Status,
		c.answer.Header.Get(qhheader.Outcome), c.answer.Header.Get(qhheader.Reason), c.err, c.answer.Body)
}

// The traffic of the tests.
var (
	certificates = traffic{method: http.MethodPost, path: "/certificates"}
	deposits     = traffic{method: http.MethodPost, path: "/deposits", keys: true}
	lookups      = traffic{method: http.MethodGet, path: "/slots/today"}
)

// load sends calls until it is stopped.
type load struct {
	mu    sync.Mutex
	calls []call
	// done counts calls that were answered.
	done atomic.Int64
	stop func()
}

// traffic is what the callers of a load send.
type traffic struct {
	method, path string
	// keys sends every key twice, as a caller does that repeats what it had no
	// answer for.
	keys bool
	// deadline is when a caller gives a call up; 0 leaves that to the site.
	deadline time.Duration
}

// startLoad sends calls through the nodes in turn.
func startLoad(ctx context.Context, nodes []*qhsite.Node, traffic traffic) *load {
	group, stop := qhgroup.New(ctx)
	l := &load{stop: stop}
	DeferCleanup(stop)
	for caller := range callers {
		group.Go(func(ctx context.Context) {
			for i := 0; ctx.Err() == nil; i++ {
				node := nodes[(i+caller)%len(nodes)]
				c := call{id: qhid.Request(fmt.Sprintf("caller-%d-call-%d", caller, i)), node: node.Settings.ID}
				header := http.Header{}
				header.Set(qhheader.RequestID, string(c.id))
				if traffic.keys {
					c.key = fmt.Sprintf("caller-%d-key-%d", caller, i/2)
					header.Set(qhheader.IdempotencyKey, c.key)
				}
				c.answer, c.err = traffic.call(ctx, node, header, string(c.id))
				l.add(c)
				if !c.ok() {
					pause(ctx) // as a caller does that repeats
				}
			}
		})
	}
	return l
}

// pause waits before the next call of a caller whose call failed.
func pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(failurePause):
	}
}

// call sends one call. One that was begun ends, also when the load is stopped.
func (t traffic) call(ctx context.Context, node *qhsite.Node, header http.Header, body string) (qhsite.Answer, error) {
	ctx = context.WithoutCancel(ctx)
	if t.deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, t.deadline)
		defer cancel()
	}
	return node.Call(ctx, t.method, t.path, header, body)
}

func (l *load) add(c call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, c)
	if c.ok() {
		l.done.Add(1)
	}
}

// waitMore waits until so many more calls were answered.
func (l *load) waitMore(more int64) {
	GinkgoHelper()
	want := l.done.Load() + more
	Eventually(l.done.Load, patience).Should(BeNumerically(">=", want))
}

// end stops the load and returns its calls.
func (l *load) end() []call {
	l.stop()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// expectWhole checks that each answer is whole and the caller's own.
func expectWhole(calls []call) {
	GinkgoHelper()
	for _, c := range calls {
		if !c.ok() {
			continue
		}
		var echo struct {
			Request qhid.Request `json:"request"`
			Body    string       `json:"body"`
		}
		Expect(json.Unmarshal([]byte(c.answer.Body), &echo)).To(Succeed(), c.String())
		Expect(echo.Request).To(Equal(c.id), c.String())
		Expect(echo.Body).To(Equal(string(c.id)), c.String())
	}
}

// expectOnce checks the calls against the runs at the targets: what was
// answered ran once, what was refused as not run did not run, and nothing ran
// twice.
func expectOnce(calls []call, runs map[qhid.Request]int) {
	GinkgoHelper()
	answered := 0
	for _, c := range calls {
		switch {
		case c.ok():
			answered++
			Expect(runs[c.id]).To(Equal(1), c.String())
		case c.notRun():
			Expect(runs[c.id]).To(BeZero(), c.String())
		default:
			Expect(runs[c.id]).To(BeNumerically("<=", 1), c.String())
		}
	}
	Expect(answered).NotTo(BeZero(), "no call was answered, such as %v", calls[0])
}
