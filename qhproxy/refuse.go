package qhproxy

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"quetzalhaven.dev/qhheader"
)

// writeFailure answers a call that has no answer of a target. The answer says
// that it is the mesh's, what is known of the call and when to come back.
func writeFailure(w http.ResponseWriter, f *failure) {
	header := w.Header()
	header.Set(qhheader.Outcome, f.Outcome)
	header.Set(qhheader.Reason, string(f.Reason))
	if f.After > 0 {
		header.Set(qhheader.RetryAfter, retryAfter(f.After))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	text := fmt.Sprintf("quetzalhaven: %s (%s): %s\n", f.Reason, f.Outcome, f.Detail)
	header.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(f.Status)
	_, _ = w.Write([]byte(text)) // a caller that is gone needs no answer
}

// retryAfter is the header value of a time, in whole seconds, rounded up.
func retryAfter(after time.Duration) string {
	return strconv.Itoa(int(math.Ceil(after.Seconds())))
}
