package qhguard

import (
	"fmt"
	"time"

	"quetzalhaven.dev/qhdecision"
)

// Refusal is a call that was not given to the target. It carries no stack
// trace, since refusing has to stay cheap under overload.
type Refusal struct {
	Reason qhdecision.Reason
	// RetryAfter is when coming back makes sense.
	RetryAfter time.Duration
}

// Error returns the reason and the remedy.
func (r *Refusal) Error() string {
	return fmt.Sprintf("the target takes no call (%s); come back in %s", r.Reason, r.RetryAfter)
}
