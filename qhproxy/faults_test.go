package qhproxy

import (
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
)

// unreliableHandler returns a handler that records the execution and then
// responds completely, late, with a truncated response, or not at all.
func (r *executionRecorder) unreliableHandler(random func(int) int) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		r.add(req)
		response := fmt.Sprintf("%s %08x", req.Header.Get(qhheader.RequestID), crc32.ChecksumIEEE(body))
		switch random(12) {
		case 0:
			panic(http.ErrAbortHandler)
		case 1:
			_, _ = io.WriteString(w, response[:3])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		case 2, 3:
			time.Sleep(time.Duration(random(30)) * time.Millisecond)
		}
		_, _ = io.WriteString(w, response)
	}
}

var _ = Describe("calls under faults", func() {
	// Under any fault, a complete response must belong to its call, a call
	// whose outcome is not executed must not have been executed, and a call
	// that must not be retried must be executed at most once.
	It("are executed at most once where required, and outcomes are reported correctly", func() {
		platform := qhplatform.NewFake(qhplatform.FakeOptions{})
		store := platform.Store()
		f := newFleet(GinkgoTB(),
			newRoute("never", "/never", "desk"),
			newRoute("safe", "/safe", "desk", func(r *qhconfig.Route) { r.Retry = qhconfig.RetrySafe }),
			newRoute("keyed", "/keyed", "desk", func(r *qhconfig.Route) { r.Retry = qhconfig.RetryKeyed }))
		f.store = &store
		rng, mu := rand.New(rand.NewPCG(3, 4)), sync.Mutex{}
		random := func(n int) int { mu.Lock(); defer mu.Unlock(); return rng.IntN(n) }
		executions := &executionRecorder{}
		for _, id := range []qhid.Node{"a", "b", "c"} {
			f.startNode(id, "recife-a")
			for i := range 2 {
				f.startTarget(qhid.Target(fmt.Sprint(id, i)), "desk", id, 3, executions.unreliableHandler(random))
			}
		}
		closed := unresponsiveListener(GinkgoTB())
		Expect(closed.Close()).To(Succeed())
		f.announceTarget("closed", "desk", "c", 3, qhid.Address(closed.Addr().String()))
		outcomes := f.runConcurrentCalls(random, func(i int) { platform.SetFaults(qhplatform.Faults{LostResponses: i % 3, Down: i%40 == 0}) }, executions)
		AddReportEntry("outcomes", outcomes)
		Expect(outcomes).To(HaveKey("complete"))
		Expect(outcomes).To(HaveKey(qhheader.OutcomeUnknown))
		Expect(outcomes).To(HaveKey("truncated"))
		Expect(outcomes).To(HaveKey(qhheader.OutcomeNotExecuted))
		Expect(outcomes).To(HaveKey(qhheader.OutcomeDone))
	})
})

// runConcurrentCalls sends calls of all kinds through all nodes at once, checks
// each of them, and counts the outcomes that callers saw.
func (f *fleet) runConcurrentCalls(random func(int) int, setFaults func(int), executions *executionRecorder) map[string]int {
	var callers sync.WaitGroup
	var mu sync.Mutex
	outcomes := make(map[string]int)
	nodes := []*node{f.nodes["a"], f.nodes["b"], f.nodes["c"]}
	for caller := range 24 {
		callers.Go(func() {
			defer GinkgoRecover()
			for i := range 40 {
				setFaults(caller*40 + i)
				kind := []string{"never", "safe", "keyed"}[random(3)]
				id := fmt.Sprintf("%s-%d-%d", kind, caller, i)
				body := strings.Repeat(id, 1+random(9000))
				times := 1
				if kind == "keyed" {
					times += random(3) // callers retry calls with a key
				}
				for range times {
					outcome := classifyResult(f.sendKind(nodes[random(3)], kind, id, body), id, body)
					mu.Lock()
					outcomes[outcome]++
					mu.Unlock()
					if outcome == qhheader.OutcomeNotExecuted && kind != "keyed" {
						Expect(executions.count(id)).To(BeZero(), id)
					}
				}
				if kind != "safe" {
					Expect(executions.count(id)).To(BeNumerically("<=", 1), id)
				}
			}
		})
	}
	callers.Wait()
	return outcomes
}

func (f *fleet) sendKind(n *node, kind, id, body string) callResult {
	return doCall(context.Background(), n, "POST", "/"+kind, id, strings.NewReader(body), func(r *http.Request) {
		if kind == "keyed" {
			r.Header.Set(qhheader.IdempotencyKey, id)
		}
	})
}

// classifyResult returns the outcome that the caller saw. It fails the test if
// the response belongs to another call.
func classifyResult(result callResult, id, body string) string {
	switch {
	case result.err != nil:
		return "truncated"
	case result.header.Get(qhheader.Outcome) != "":
		return result.header.Get(qhheader.Outcome)
	}
	Expect(result.status).To(Equal(http.StatusOK))
	Expect(result.body).To(Equal(fmt.Sprintf("%s %08x", id, crc32.ChecksumIEEE([]byte(body)))))
	return "complete"
}
