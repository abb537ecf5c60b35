package qhmemory

import (
	"bufio"
	"fmt"
	"net/http"
	"runtime"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"quetzalhaven.dev/qhid"
)

const (
	testLimit qhid.Bytes = 32 << 20
	// smallCall is what an ordinary call takes.
	smallCall qhid.Bytes = 20 << 10
)

// peer is a client that knows whether it was disconnected.
type peer struct {
	*Client
	disconnected int
	body         *Charge
}

func newAccount(clients int) *Account {
	return NewAccount(Limits{Memory: testLimit, Clients: clients}, func(Eviction) {})
}

func open(account *Account) *peer {
	p := &peer{}
	p.Client = account.Open("peer", func() { p.disconnected++ })
	return p
}

// releaseDisconnected releases what is held for clients that were disconnected.
func releaseDisconnected(peers []*peer) {
	for _, p := range peers {
		if p.disconnected > 0 {
			p.body.Release()
			p.Close()
		}
	}
}

// sum returns what is held of all kinds.
func sum(account *Account) qhid.Bytes {
	var all qhid.Bytes
	for _, kind := range Kinds() {
		all += account.Held(kind)
	}
	return all
}

var _ = Describe("Account", func() {
	It("disconnects the clients that hold the most pending memory, and admits others", func() {
		account := newAccount(0)
		var crowd []*peer
		for range 1000 {
			p := open(account)
			p.body = p.Hold(Body)
			crowd = append(crowd, p)
			p.body.Set(100 << 10)
			releaseDisconnected(crowd)
		}
		small := open(account)
		small.Hold(Input).Set(8 << 10)
		charge, ok := small.Admit(smallCall)
		Expect(ok).To(BeTrue())
		Expect(small.disconnected).To(BeZero())
		charge.Release()
		kept := 0
		for _, p := range crowd {
			Expect(p.disconnected).To(BeNumerically("<=", 1))
			kept += 1 - p.disconnected
		}
		Expect(kept).To(BeNumerically("~", int(testLimit/(116<<10)), 2))
	})

	It("keeps the client that gets on among those that hold the same", func() {
		account := newAccount(0)
		uploading := open(account)
		body := uploading.Hold(Body)
		for i := range qhid.Bytes(1000) {
			uploading.Progress()
			Expect(body.Set(40<<10 + i)).To(BeTrue())
			open(account).Hold(Body).Set(60 << 10)
		}
		Expect(uploading.disconnected).To(BeZero())
	})

	It("refuses the largest calls first", func() {
		account := newAccount(0)
		admitted := func(size qhid.Bytes) bool {
			_, ok := open(account).Admit(size)
			return ok
		}
		Expect(admitted(testLimit / 10)).To(BeTrue())
		for admitted(400 << 10) {
		}
		Expect(admitted(smallCall)).To(BeTrue())
		calls := 0
		for ; admitted(smallCall); calls++ {
			Expect(calls).To(BeNumerically("<", 1000))
		}
		Expect(calls).To(BeNumerically(">", 50))
		Expect(sum(account)).To(BeNumerically("<=", testLimit))
	})

	It("ends no running call for room", func() {
		account := newAccount(0)
		running := open(account)
		_, ok := running.Admit(smallCall)
		Expect(ok).To(BeTrue())
		for range 3000 {
			open(account).Hold(Input).Set(1 << 10)
		}
		Expect(running.disconnected).To(BeZero())
	})

	It("admits no call while disconnected clients hold too much", func() {
		account := newAccount(0)
		var crowd []*peer
		for range 10 {
			p := open(account)
			p.body = p.Hold(Body)
			p.body.Set(testLimit / 6)
			crowd = append(crowd, p)
		}
		_, ok := open(account).Admit(smallCall)
		Expect(ok).To(BeFalse())
		waiting := open(account).Hold(Body)
		done := make(chan bool)
		go func() { done <- waiting.SetSlowly(smallCall) }() //nolint:gocritic // ends with the test
		Consistently(done, "100ms").ShouldNot(Receive())
		releaseDisconnected(crowd)
		Eventually(done).Should(Receive(BeTrue()))
		_, ok = open(account).Admit(smallCall)
		Expect(ok).To(BeTrue())
	})

	It("makes pending memory a part of a running call up to a share", func() {
		account := newAccount(0)
		var bodies []*Charge
		for range 100 {
			body := open(account).Hold(Body)
			Expect(body.Set(testLimit / 120)).To(BeTrue())
			bodies = append(bodies, body)
		}
		settled := 0
		for _, body := range bodies {
			if body.Settle() {
				settled++
			}
		}
		Expect(settled).To(Equal(90))
	})

	It("disconnects a client for each connection that is too many, those without a call first", func() {
		account := newAccount(100)
		busy := open(account)
		_, _ = busy.Admit(smallCall)
		kept := open(account) // its calls have ended
		charge, _ := kept.Admit(smallCall)
		charge.Release()
		var silent []*peer
		for range 500 {
			silent = append(silent, open(account))
		}
		disconnected := 0
		for _, p := range silent {
			disconnected += p.disconnected
		}
		Expect(disconnected).To(Equal(402))
		Expect(busy.disconnected + kept.disconnected).To(BeZero())
		for _, p := range silent {
			if p.disconnected > 0 {
				p.Close()
			}
		}
		Expect(account.Clients()).To(Equal(100))
		Expect(open(account).disconnected).To(BeZero())
	})

	It("adds up over random events", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			account := newAccount(rapid.IntRange(0, 20).Draw(t, "clients"))
			var peers []*peer
			var charges []*Charge
			for range rapid.IntRange(1, 200).Draw(t, "events") {
				size := qhid.Bytes(rapid.IntRange(0, int(testLimit/4)).Draw(t, "size"))
				switch rapid.IntRange(0, 5).Draw(t, "event") {
				case 0:
					peers = append(peers, open(account))
				case 1, 2:
					if len(peers) > 0 {
						charge := rapid.SampledFrom(peers).Draw(t, "peer").Hold(rapid.SampledFrom(Kinds()).Draw(t, "kind"))
						charge.Set(size)
						charges = append(charges, charge)
					}
				case 3:
					if len(peers) > 0 {
						if charge, ok := rapid.SampledFrom(peers).Draw(t, "peer").Admit(size / 64); ok {
							charges = append(charges, charge)
						}
					}
				case 4:
					if len(charges) > 0 {
						rapid.SampledFrom(charges).Draw(t, "charge").Settle()
					}
				case 5:
					if len(charges) > 0 {
						rapid.SampledFrom(charges).Draw(t, "charge").Release()
					}
				}
				if account.active > testLimit {
					t.Fatalf("%d bytes are held for clients that were not disconnected", account.active)
				}
			}
			for _, charge := range charges {
				charge.Release()
			}
			for _, p := range peers {
				if p.disconnected > 1 {
					t.Fatal("a client was disconnected twice")
				}
				p.Close()
			}
			if sum(account) != 0 || account.active != 0 || account.running != 0 || account.total != 0 || account.Clients() != 0 || account.ending != 0 {
				t.Fatalf("after the end, %d bytes are held, %d active, %d running, %d clients", sum(account), account.active, account.running, account.Clients())
			}
		})
	})

	It("does nothing for a client without an account", func() {
		var account *Account
		client := account.Open("", nil)
		charge, ok := client.Admit(testLimit)
		Expect(ok).To(BeTrue())
		client.Progress()
		Expect(client.Hold(Body).Set(testLimit)).To(BeTrue())
		Expect(charge.Settle()).To(BeTrue())
		client.AdmitAlways(1).Release()
		client.Close()
	})
})

var _ = Describe("HeadCost", func() {
	const heads = 64
	DescribeTable("is more than a parsed head holds", func(line func(i int) string) {
		var head strings.Builder
		head.WriteString("GET / HTTP/1.1\r\nHost: x\r\n")
		for i := 0; head.Len() < 16<<10; i++ {
			head.WriteString(line(i))
		}
		head.WriteString("\r\n")
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var requests []*http.Request
		for range heads {
			request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head.String())))
			Expect(err).NotTo(HaveOccurred())
			requests = append(requests, request)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		held := int64(after.HeapAlloc) - int64(before.HeapAlloc)
		Expect(held / heads).To(BeNumerically("<", HeadCost([]byte(head.String()))))
		Expect(HeaderCost(requests[0].Header)).To(BeNumerically("~", HeadCost([]byte(head.String())), 64<<10))
		runtime.KeepAlive(requests)
	},
		Entry("with short lines", func(i int) string { return fmt.Sprintf("%x:\r\n", i) }),
		Entry("with lines of one name", func(int) string { return "a:\r\n" }),
		Entry("with cookies", func(int) string { return "Cookie:a\r\n" }),
		Entry("with one long line", func(int) string { return "a:" + strings.Repeat("x", 16<<10) + "\r\n" }),
	)
})
