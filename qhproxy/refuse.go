package qhproxy

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"quetzalhaven.dev/qhheader"
)

// spreadSteps is how finely times to come back are spread.
const spreadSteps = 100

// writeFailure answers a call that has no answer of a target. The answer says
// that it is the mesh's, what is known of the call and when to come back.
func (p *Proxy) writeFailure(w http.ResponseWriter, f *failure) {
	header := w.Header()
	header.Set(qhheader.Outcome, f.Outcome)
	header.Set(qhheader.Reason, string(f.Reason))
	if f.After > 0 {
		header.Set(qhheader.RetryAfter, p.Dialect.FormatRetryAfter(p.spread(f.After)))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	text := fmt.Sprintf("quetzalhaven: %s (%s): %s\n", f.Reason, f.Outcome, f.Detail)
	header.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(f.Status)
	_, _ = w.Write([]byte(text)) // a caller that is gone needs no answer
}

// spread returns a time from after to twice after, so that callers who were
// refused together do not come back together.
func (p *Proxy) spread(after time.Duration) time.Duration {
	return after + after*time.Duration(p.random(spreadSteps))/spreadSteps
}
