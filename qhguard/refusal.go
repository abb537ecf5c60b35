package qhguard

import (
	"fmt"
	"time"

	"quetzalhaven.dev/qhdecision"
)

// Refusal is the error of a call that was not admitted and not sent to the
// target. It carries no stack trace, because refusing has to stay cheap under
// overload.
type Refusal struct {
	Reason qhdecision.Reason
	// RetryAfter is the suggested delay before a retry.
	RetryAfter time.Duration
}

// Error returns the reason and the remedy.
func (r *Refusal) Error() string {
	return fmt.Sprintf("the target did not admit the call (%s); retry in %s", r.Reason, r.RetryAfter)
}
