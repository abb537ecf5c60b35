package qhfeed

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhid"
)

var _ = Describe("Ask", func() {
	// Guards against messages about the allowances of many tenants that are refused.
	It("gets an answer to a message with an entry for each of many tenants", func() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			Answer(w, r, func(message map[string]float64) int { return len(message) })
		}))
		DeferCleanup(server.Close)
		message := make(map[string]float64)
		for i := range 5000 {
			message[fmt.Sprint("tenant-", i)] = float64(i) / 3
		}
		count, err := Ask[int](context.Background(), NewPeerClient(), qhid.Address(strings.TrimPrefix(server.URL, "http://")), "/", message)
		Expect(err).NotTo(HaveOccurred())
		Expect(count).To(Equal(5000))
	})
})
