package qhplatform_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhgolden"
	"quetzalhaven.dev/qhplatform"
)

// apiCalls are calls to the object API in order, each with a method, a path, an
// optional header and an optional body.
const apiCalls = `GET /v1/objects/head
PUT /v1/objects/head If-None-Match:* one
PUT /v1/objects/head If-None-Match:* two
PUT /v1/objects/head If-Match:"1" two
PUT /v1/objects/head If-Match:"1" three
PUT /v1/objects/head If-Match:1 three
PUT /v1/objects/head
PUT /v1/objects/relay/kigali-a/0 If-None-Match:* four
GET /v1/objects/head
GET /v1/objects/head?watch=1
GET /v1/objects/head?watch=2&wait=1ms
GET /v1/objects/head?watch=new
GET /v1/objects?prefix=relay/
DELETE /v1/objects/head If-Match:"1"
DELETE /v1/objects/head If-Match:"2"
DELETE /v1/objects/head If-Match:"2"
GET /v1/objects?prefix=head
PUT /v1/objects/a%20b If-None-Match:* x
PUT /v1/faults - {"odd":true}
PUT /v1/faults - {"stale":-1}
PUT /v1/faults - {"down":true,"prefix":"head"}
GET /v1/objects/head
GET /v1/counts`

// peak matches a count that depends on the clock.
var peak = regexp.MustCompile(`"peak":\d+`)

var _ = Describe("Handler", func() {
	It("answers as recorded in the golden file", func() {
		handler := qhplatform.NewHandler(qhplatform.NewFake(qhplatform.FakeOptions{}))
		var transcript strings.Builder
		for call := range strings.SplitSeq(apiCalls, "\n") {
			fields := append(strings.Fields(call), "", "")
			req := httptest.NewRequest(fields[0], fields[1], strings.NewReader(fields[3]))
			if name, value, found := strings.Cut(fields[2], ":"); found {
				req.Header.Set(name, value)
			}
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, req)
			body := peak.ReplaceAllString(recorder.Body.String(), `"peak":0`)
			fmt.Fprintf(&transcript, "%s\n%d %s\n%s\n", call, recorder.Code, http.StatusText(recorder.Code), body)
		}
		Expect(transcript.String()).To(qhgolden.Match("testdata/api.golden"))
	})
})
