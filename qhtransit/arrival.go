package qhtransit

import (
	"strconv"
	"time"

	"quetzalhaven.dev/qhclock"
)

// MaxAge is how long ago the caller of a call must have been known to wait when the call is
// passed to its target.
const MaxAge = 400 * time.Millisecond

// Arrival is the arrival of a call that another node forwarded.
type Arrival struct {
	// Received is when the call was read.
	Received qhclock.Instant
	// Age is how long the call was delayed on its way; 0 if that is not known.
	Age time.Duration
	// conn is nil if the sender does not say when it sends calls.
	conn *Conn
	// confirmed is set if the call was sent again after a refusal for its age.
	confirmed bool
}

// Stamp is what the sender of a call says about its sending.
type Stamp struct {
	// Sent is when the durations in the call's headers were measured, since the opening of
	// the connection; negative if that was before.
	Sent time.Duration
	// Known is set if the sender said so.
	Known bool
	// Refused is the text of Arrival.Refusal if the call is sent again after it was refused
	// for its age, else empty.
	Refused string
}

// Arrive returns the arrival of a call that was received now.
func (c *Conn) Arrive(stamp Stamp, now qhclock.Instant) Arrival {
	a := Arrival{Received: now}
	if !stamp.Known {
		return a
	}
	a.conn = c
	if sinceRefusal, ok := sinceRefusal(stamp.Refused, now); ok {
		a.confirmed = true
		c.limitAge(stamp.Sent, now, sinceRefusal)
	}
	a.Age = c.age(stamp.Sent, now)
	return a
}

// Refusal returns a text for the sender of a call that is refused at the given instant for
// its age. The sender returns it with the call.
func Refusal(now qhclock.Instant) string { return strconv.FormatInt(int64(now), 36) }

// sinceRefusal returns how long ago a refusal was, and whether the text is that of one.
func sinceRefusal(text string, now qhclock.Instant) (time.Duration, bool) {
	refused, err := strconv.ParseInt(text, 36, 64)
	since := now.Since(qhclock.Instant(refused))
	return since, err == nil && since >= 0
}

// IsCurrent reports whether the caller is known to have waited for the call recently enough
// to pass it to its target now.
func (a Arrival) IsCurrent(now qhclock.Instant) bool {
	unconfirmed := now.Since(a.Received)
	if !a.confirmed {
		unconfirmed += a.Age
	}
	switch {
	case a.conn == nil || unconfirmed <= MaxAge:
		return true
	case a.Age > MaxAge && !a.confirmed:
		return false
	}
	return !a.conn.isInterrupted(now)
}
