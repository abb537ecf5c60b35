package qhproxy

import (
	"io"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a streamed request body", func() {
	large := strings.Repeat("x", maxBufferedRequest+1)
	body := func() *requestBody {
		b, err := newRequestBody(httptest.NewRequest("POST", "/", strings.NewReader(large)), nil)
		Expect(err).NotTo(HaveOccurred())
		return b
	}

	It("can be read by the current attempt only", func() {
		b := body()
		first := b.reader()
		Expect(b.startNextAttempt()).To(BeTrue())
		_, err := first.Read(make([]byte, 1))
		Expect(err).To(MatchError(errStaleAttempt))
		Expect(io.ReadAll(b.reader())).To(HaveLen(len(large)))
	})

	It("is not sent again after it was read from", func() {
		b := body()
		_, err := b.reader().Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(b.startNextAttempt()).To(BeFalse())
	})
})
