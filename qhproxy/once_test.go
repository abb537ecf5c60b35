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

// unreliable is a target that records what ran and then answers whole, late, in
// parts that break off, or not at all.
func (r *record) unreliable(random func(int) int) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		r.add(req)
		whole := fmt.Sprintf("%s %08x", req.Header.Get(qhheader.RequestID), crc32.ChecksumIEEE(body))
		switch random(12) {
		case 0:
			panic(http.ErrAbortHandler)
		case 1:
			_, _ = io.WriteString(w, whole[:3])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		case 2, 3:
			time.Sleep(time.Duration(random(30)) * time.Millisecond)
		}
		_, _ = io.WriteString(w, whole)
	}
}

var _ = Describe("calls under faults", func() {
	// What must hold for every call, whatever happened to it: a whole answer is
	// the call's own, not run is true, and what may not be repeated runs once.
	It("run at most once where that matters, and are told the truth", func() {
		memory := qhplatform.NewMemory(qhplatform.MemoryOptions{})
		store := memory.Store()
		f := newFleet(GinkgoTB(),
			route("never", "/never", "desk"),
			route("safe", "/safe", "desk", func(r *qhconfig.Route) { r.Retry = qhconfig.RetrySafe }),
			route("keyed", "/keyed", "desk", func(r *qhconfig.Route) { r.Retry = qhconfig.RetryKeyed }))
		f.store = &store
		random, draw := rand.New(rand.NewPCG(3, 4)), sync.Mutex{}
		choose := func(n int) int { draw.Lock(); defer draw.Unlock(); return random.IntN(n) }
		runs := &record{}
		for _, id := range []qhid.Node{"a", "b", "c"} {
			f.node(id, "recife-a")
			for i := range 2 {
				f.target(qhid.Target(fmt.Sprint(id, i)), "desk", id, 3, runs.unreliable(choose))
			}
		}
		dead := silent(GinkgoTB())
		Expect(dead.Close()).To(Succeed())
		f.announce("dead", "desk", "c", 3, qhid.Address(dead.Addr().String()))
		seen := f.storm(choose, func(i int) { memory.SetFaults(qhplatform.Faults{LostResponses: i % 3, Down: i%40 == 0}) }, runs)
		AddReportEntry("outcomes", seen)
		Expect(seen).To(HaveKey("answer"))
		Expect(seen).To(HaveKey(qhheader.OutcomeUnknown))
		Expect(seen).To(HaveKey("broken"))
		Expect(seen).To(HaveKey(qhheader.OutcomeNotExecuted))
		Expect(seen).To(HaveKey(qhheader.OutcomeDone))
	})
})

// storm sends calls of all kinds through all nodes at once, checks each, and
// counts what callers were told.
func (f *fleet) storm(choose func(int) int, fault func(int), runs *record) map[string]int {
	var callers sync.WaitGroup
	var mu sync.Mutex
	seen := make(map[string]int)
	nodes := []*node{f.nodes["a"], f.nodes["b"], f.nodes["c"]}
	for caller := range 24 {
		callers.Go(func() {
			defer GinkgoRecover()
			for i := range 40 {
				fault(caller*40 + i)
				kind := []string{"never", "safe", "keyed"}[choose(3)]
				id := fmt.Sprintf("%s-%d-%d", kind, caller, i)
				body := strings.Repeat(id, 1+choose(9000))
				times := 1
				if kind == "keyed" {
					times += choose(3) // callers repeat what has a key
				}
				for range times {
					what := tell(f.one(nodes[choose(3)], kind, id, body), id, body)
					mu.Lock()
					seen[what]++
					mu.Unlock()
					if what == qhheader.OutcomeNotExecuted && kind != "keyed" {
						Expect(runs.of(id)).To(BeZero(), id)
					}
				}
				if kind != "safe" {
					Expect(runs.of(id)).To(BeNumerically("<=", 1), id)
				}
			}
		})
	}
	callers.Wait()
	return seen
}

func (f *fleet) one(n *node, kind, id, body string) result {
	return do(context.Background(), n, "POST", "/"+kind, id, strings.NewReader(body), func(r *http.Request) {
		if kind == "keyed" {
			r.Header.Set(qhheader.IdempotencyKey, id)
		}
	})
}

// tell returns what a caller was told, and fails where the answer is another's.
func tell(got result, id, body string) string {
	switch {
	case got.err != nil:
		return "broken"
	case got.header.Get(qhheader.Outcome) != "":
		return got.header.Get(qhheader.Outcome)
	}
	Expect(got.status).To(Equal(http.StatusOK))
	Expect(got.body).To(Equal(fmt.Sprintf("%s %08x", id, crc32.ChecksumIEEE([]byte(body)))))
	return "answer"
}
