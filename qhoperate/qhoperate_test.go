package qhoperate

import (
	"errors"
	"net/http"
	"net/http/httptest"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhstatus"
)

var _ = Describe("API", func() {
	var (
		shutdowns int
		readyErr  error
		api       http.Handler
	)
	BeforeEach(func() {
		shutdowns, readyErr = 0, nil
		view := &qhmember.View{Entries: []qhmember.Entry{
			{Node: "n1", Zone: "kigali-a", State: qhmember.Up, Targets: []qhmember.AnnouncedTarget{{ID: "b1", Service: "booking"}}},
			{Node: "n2", Zone: "kigali-b", State: qhmember.Up},
			{Node: "n3", Zone: "kigali-b", State: qhmember.Down, Targets: []qhmember.AnnouncedTarget{{ID: "b3", Service: "booking"}}},
		}}
		api = New(Options{
			Dump: func() any { return map[string]int{"version": 3} },
			Summary: func() qhstatus.Summary {
				return qhstatus.Summary{Versions: []qhstatus.VersionCount{{Version: 3, Nodes: 2}}}
			},
			Ready:   func() error { return readyErr },
			Explain: func(id qhid.Request) any { return []string{string(id)} },
			View:    func() *qhmember.View { return view },
			Drain:   func() { shutdowns++ },
			Metrics: metrics.NewSet(),
		}).Handler()
	})
	send := func(method, path string) (int, string) {
		recorder := httptest.NewRecorder()
		api.ServeHTTP(recorder, httptest.NewRequest(method, path, nil))
		return recorder.Code, recorder.Body.String()
	}

	It("does not count nodes that are down, or their targets, as affected", func() {
		_, body := send(http.MethodGet, "/reach?service=booking")
		Expect(body).To(MatchJSON(`{"nodes":2,"zones":[{"zone":"kigali-a","nodes":1,"targets":1},{"zone":"kigali-b","nodes":1,"targets":0}]}`))
	})

	It("returns the reason why the node is not ready", func() {
		readyErr = errors.New("no configuration yet; wait")
		code, body := send(http.MethodGet, "/ready")
		Expect(code).To(Equal(http.StatusServiceUnavailable))
		Expect(body).To(ContainSubstring("no configuration yet"))
	})

	It("starts the shutdown only once", func() {
		send(http.MethodPost, "/drain")
		code, _ := send(http.MethodPost, "/drain")
		Expect(code).To(Equal(http.StatusAccepted))
		Expect(shutdowns).To(Equal(1))
	})

	It("rejects an explain request without a request ID", func() {
		code, body := send(http.MethodGet, "/explain")
		Expect(code).To(Equal(http.StatusBadRequest))
		Expect(body).To(ContainSubstring("/explain?request=ID"))
	})
})
