package qhproxy

import (
	"fmt"
	"io"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhid"
)

var _ = Describe("the path of a call", func() {
	// Guards against routes that are matched with other bytes than those that are forwarded.
	DescribeTable("is matched and forwarded as it was sent", func(path, service string) {
		for _, targetNode := range []qhid.Node{"a", "b"} {
			f := newFleet(GinkgoTB(), newRoute("manual", "/manual/", "portal"), newRoute("orders", "/manual/pedido/", "balcao"), newRoute("encoded", "/caf%C3%A9/a%2Fb/", "balcao"))
			a := f.startNode("a", "kigali-a")
			f.startNode("b", "kigali-a")
			for i, name := range []qhid.Service{"portal", "balcao"} {
				f.startTarget(qhid.Target(fmt.Sprint("t", i)), name, targetNode, 4, func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.WriteString(w, string(name)+" "+r.RequestURI)
				})
			}
			conn := dialCallers(a)
			conn.send("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n")
			resp, err := http.ReadResponse(conn.reader, nil)
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			if service == "" {
				Expect(resp.StatusCode).To(Equal(http.StatusNotFound), string(body))
				continue
			}
			Expect(string(body)).To(Equal(service + " " + path))
		}
	},
		Entry("plain", "/manual/pedido/17?a=b", "balcao"),
		Entry("an encoded slash at the end of a prefix", "/manual/pedido%2F17", "portal"),
		Entry("an encoded slash in lower case", "/manual/pedido%2f17?x=%2F", "portal"),
		Entry("an encoded slash behind a prefix", "/manual/pedido/1%2F2", "balcao"),
		Entry("an encoded letter in a prefix", "/manual/%70edido/17", "portal"),
		Entry("a prefix with encoded bytes", "/caf%C3%A9/a%2Fb/1", "balcao"),
		Entry("a prefix with encoded bytes, decoded", "/caf%C3%A9/a/b/1", ""),
		Entry("bytes that should have been encoded", "/manual/pedido/a|b{c}^`d", "balcao"),
		Entry("such bytes and an encoded slash", "/manual/x%2Fa|b", "portal"),
		Entry("empty segments", "/manual//pedido/1", "portal"),
		Entry("an empty segment at the start", "//manual/pedido/1", ""),
		Entry("an empty query", "/manual/1?", "portal"),
	)
})
