package qhproxy

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"quetzalhaven.dev/qhheader"
)

// jitterSteps is the resolution of the jitter on Retry-After.
const jitterSteps = 100

// writeFailure answers a call that has no response of a target. The headers
// tell the caller that the mesh answered, the outcome of the call and when to
// retry.
func (p *Proxy) writeFailure(w http.ResponseWriter, f *failure) {
	header := w.Header()
	header.Set(qhheader.Outcome, f.Outcome)
	header.Set(qhheader.Reason, string(f.Reason))
	if f.RetryAfter > 0 {
		header.Set(qhheader.RetryAfter, p.Dialect.FormatRetryAfter(p.addJitter(f.RetryAfter)))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	text := fmt.Sprintf("quetzalhaven: %s (%s): %s\n", f.Reason, f.Outcome, f.Detail)
	header.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(f.Status)
	_, _ = w.Write([]byte(text)) // the caller may have disconnected
}

// addJitter returns a random duration between delay and twice delay, so that
// callers refused together don't retry together.
func (p *Proxy) addJitter(delay time.Duration) time.Duration {
	return delay + delay*time.Duration(p.random(jitterSteps))/jitterSteps
}
