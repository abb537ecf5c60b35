package qhannounce

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

var _ = Describe("Registry", func() {
	const validAnnouncement = `{"service":"booking","address":"127.0.0.1:9001","slots":9,"connections":120}`

	var (
		now      time.Time
		changes  [][]Target
		registry *Registry
	)
	BeforeEach(func() {
		now = time.Unix(1000, 0)
		changes = nil
		registry = NewRegistry(Options{
			TTL:      3 * time.Second,
			Now:      func() time.Time { return now },
			OnChange: func(targets []Target) { changes = append(changes, targets) },
			Log:      zap.NewNop(),
		})
	})
	send := func(method, id, body string) *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		registry.Handler().ServeHTTP(recorder, httptest.NewRequest(method, "/v1/targets/"+id, strings.NewReader(body)))
		return recorder
	}

	It("reports each change once, and no renewals", func() {
		for range 3 {
			Expect(send(http.MethodPut, "b1", validAnnouncement).Code).To(Equal(http.StatusNoContent))
		}
		Expect(changes).To(HaveLen(1))
		Expect(changes[0][0].State).To(BeEquivalentTo("up"))
		send(http.MethodPut, "b1", strings.Replace(validAnnouncement, `"slots"`, `"state":"leaving","slots"`, 1))
		Expect(changes).To(HaveLen(2))
		Expect(changes[1][0].State).To(BeEquivalentTo("leaving"))
	})

	It("removes a target that stops announcing itself and keeps the others", func() {
		send(http.MethodPut, "b1", validAnnouncement)
		now = now.Add(2 * time.Second)
		send(http.MethodPut, "b2", validAnnouncement)
		now = now.Add(2 * time.Second)
		registry.RemoveExpired()
		Expect(registry.List()).To(HaveLen(1))
		Expect(registry.List()[0].ID).To(Equal(qhid.Target("b2")))
	})

	It("keeps a target leaving whose responses said so, until it has another incarnation", func() {
		announcement := func(born int, seq qhid.Sequence) Announcement {
			return Announcement{Service: "s", Address: "h:1", Slots: 1, StartedAt: int64(born), Sequence: seq}
		}
		state := func() qhmember.State { return registry.List()[0].State }
		registry.MarkLeaving("b1") // not announced yet
		Expect(registry.Put("b1", announcement(7, 1))).To(Succeed())
		registry.MarkLeaving("b1")
		registry.MarkLeaving("b1")
		Expect(registry.Put("b1", announcement(7, 2))).To(Succeed())
		Expect(state()).To(Equal(qhmember.Leaving))
		Expect(changes).To(HaveLen(2))
		Expect(registry.Put("b1", announcement(8, 1))).To(Succeed())
		Expect(state()).To(Equal(qhmember.Up))
		Expect(registry.Put("b2", Announcement{Service: "s", Address: "h:2", Slots: 1})).To(Succeed())
		registry.MarkLeaving("b2")
		Expect(registry.List()[1].State).To(Equal(qhmember.Leaving))
		Expect(registry.Put("b2", Announcement{Service: "s", Address: "h:2", Slots: 1})).To(Succeed())
		Expect(registry.List()[1].State).To(Equal(qhmember.Up)) // without StartedAt it may be another one
	})

	It("ignores delayed announcements of a target that was withdrawn before it was known", func() {
		announcement := Announcement{Service: "s", Address: "h:1", Slots: 1, StartedAt: now.Add(-time.Minute).UnixMilli(), Sequence: 9}
		registry.Withdraw("b1", 0)
		now = now.Add(3 * time.Second)
		Expect(registry.Put("b1", announcement)).To(Succeed())
		Expect(registry.List()).To(BeEmpty())
		announcement.StartedAt = now.UnixMilli()
		Expect(registry.Put("b1", announcement)).To(Succeed())
		Expect(registry.List()).To(HaveLen(1))
	})

	// Guards against a deregistration of a later incarnation than the registered one that is
	// forgotten.
	It("ignores delayed announcements of a later incarnation that was withdrawn before it was announced", func() {
		announcement := Announcement{Service: "s", Address: "h:1", Slots: 1, StartedAt: 7, Sequence: 9}
		Expect(registry.Put("b1", announcement)).To(Succeed())
		registry.Withdraw("b1", 8)
		Expect(registry.List()).To(BeEmpty())
		now = now.Add(4 * time.Second)
		announcement.StartedAt, announcement.Sequence = 8, 1
		Expect(registry.Put("b1", announcement)).To(Succeed())
		Expect(registry.List()).To(BeEmpty())
		announcement.StartedAt = 9
		Expect(registry.Put("b1", announcement)).To(Succeed())
		Expect(registry.List()).To(HaveLen(1))
		registry.Withdraw("b1", 0) // all that have started by now
		announcement.StartedAt = now.UnixMilli() - 1
		Expect(registry.Put("b1", announcement)).To(Succeed())
		Expect(registry.List()).To(BeEmpty())
	})

	// Guards against an announcement of another writer that revives what has left.
	It("ignores announcements without a start time of targets that send one", func() {
		announcement := Announcement{Service: "s", Address: "h:1", Slots: 1, StartedAt: 7, Sequence: 9}
		foreign := announcement
		foreign.StartedAt = 0
		Expect(registry.Put("b1", announcement)).To(Succeed())
		announcement.State, announcement.Sequence = qhmember.Leaving, 10
		Expect(registry.Put("b1", announcement)).To(Succeed())
		Expect(registry.Put("b1", foreign)).To(Succeed())
		Expect(registry.List()[0].State).To(Equal(qhmember.Leaving))
		registry.Withdraw("b1", 7)
		now = now.Add(time.Minute)
		registry.RemoveExpired()
		Expect(registry.Put("b1", foreign)).To(Succeed())
		Expect(registry.List()).To(BeEmpty())
		registry.Withdraw("b2", 0) // it may send no start times
		Expect(registry.Put("b2", foreign)).To(Succeed())
		Expect(registry.List()).To(HaveLen(1))
	})

	// Guards against a delayed announcement that brings back what has left before a restart of
	// the node.
	It("keeps departures over a restart", func() {
		put := func(r *Registry, id qhid.Target, born int64, seq qhid.Sequence, state qhmember.State) {
			Expect(r.Put(id, Announcement{Service: "s", Address: qhid.Address(id + ":1"), Slots: 1, StartedAt: born, Sequence: seq, State: state})).To(Succeed())
		}
		departures := 0
		registry.OnDeparture = func() { departures++ }
		put(registry, "b1", 7, 1, qhmember.Up)
		put(registry, "b2", 7, 1, qhmember.Up)
		put(registry, "b3", 7, 1, qhmember.Up)
		Expect(departures).To(BeZero())
		registry.Withdraw("b1", 7)
		put(registry, "b2", 7, 5, qhmember.Leaving)
		Expect(departures).To(BeNumerically(">=", 2))
		saved := registry.Departures()
		Expect(saved).To(HaveLen(2))
		now = now.Add(time.Minute)
		restarted := NewRegistry(registry.Options)
		put(restarted, "b2", 7, 2, qhmember.Up) // before the store has answered
		restarted.Restore(saved)
		Expect(restarted.Departures()).To(Equal(saved))
		put(restarted, "b1", 7, 2, qhmember.Up)
		put(restarted, "b2", 7, 3, qhmember.Up)
		put(restarted, "b3", 7, 2, qhmember.Up)
		states := map[qhid.Target]qhmember.State{}
		for _, target := range restarted.List() {
			states[target.ID] = target.State
		}
		Expect(states).To(Equal(map[qhid.Target]qhmember.State{"b2": qhmember.Leaving, "b3": qhmember.Up}))
		put(restarted, "b1", 8, 1, qhmember.Up)
		put(restarted, "b2", 8, 1, qhmember.Up)
		for _, target := range restarted.List() {
			Expect(target.State).To(Equal(qhmember.Up))
		}
		now = now.Add(10 * time.Minute)
		later := NewRegistry(registry.Options)
		later.Restore(saved)
		Expect(later.Departures()).To(BeEmpty())
	})

	It("withdraws a target at once", func() {
		send(http.MethodPut, "b1", validAnnouncement)
		Expect(send(http.MethodDelete, "b1", "").Code).To(Equal(http.StatusNoContent))
		Expect(changes[len(changes)-1]).To(BeEmpty())
	})

	It("refuses a target beyond the maximum and keeps the others", func() {
		for i := range MaxTargets {
			Expect(registry.Put(qhid.Target(strings.Repeat("x", i+1)), Announcement{Service: "s", Address: "h:1", Slots: 1})).To(Succeed())
		}
		Expect(send(http.MethodPut, "more", validAnnouncement).Code).To(Equal(http.StatusConflict))
		Expect(registry.List()).To(HaveLen(MaxTargets))
	})

	DescribeTable("refuses invalid announcements with the remedy",
		func(body, message string) {
			recorder := send(http.MethodPut, "b1", body)
			Expect(recorder.Code).To(Equal(http.StatusBadRequest))
			Expect(recorder.Body.String()).To(ContainSubstring(message))
			Expect(registry.List()).To(BeEmpty())
		},
		Entry("unknown key", `{"service":"a","address":"h:1","slots":1,"weight":2}`, `unknown field "weight"`),
		Entry("no service", `{"address":"h:1","slots":1}`, "name the service"),
		Entry("address", `{"service":"a","address":"h","slots":1}`, "write it as host:port"),
		Entry("slots", `{"service":"a","address":"h:1"}`, "give from 1 to 100000"),
		Entry("state", `{"service":"a","address":"h:1","slots":1,"state":"down"}`, "use up, cold or leaving"),
		Entry("trailing data", validAnnouncement+`{}`, "data after its end"),
		Entry("not JSON", `hello`, "send one JSON object"),
	)
})

func FuzzAnnouncement(f *testing.F) {
	f.Add(`{"service":"booking","address":"127.0.0.1:9001","slots":9}`)
	f.Fuzz(func(t *testing.T, body string) {
		announcement, err := decode(strings.NewReader(body))
		if err != nil {
			return
		}
		if err := validate("t", announcement); err == nil && announcement.Slots < 1 {
			t.Fatalf("accepted %+v", announcement)
		}
	})
}
