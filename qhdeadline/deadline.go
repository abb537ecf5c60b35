// Package qhdeadline parses and formats the remaining time of a call, as carried
// in the Request-Timeout header.
package qhdeadline

import (
	"math"
	"strconv"
	"time"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhheader"
)

// Max is the upper bound of the remaining time that a header can set.
const Max = 24 * time.Hour

// Parse returns the remaining time from a header value in seconds, such as "1.5",
// capped at Max. A negative or malformed value is an error of kind BadInput.
func Parse(value string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		return 0, qherr.New(qherr.BadInput, nil, "send a number of seconds such as \"1.5\"", "invalid %s header %q", qhheader.Timeout, value)
	}
	if seconds >= Max.Seconds() {
		return Max, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// Format returns the header value for the remaining time, rounded down to whole
// microseconds, so that the deadline never moves later from hop to hop.
func Format(remaining time.Duration) string {
	remaining = max(remaining, 0).Truncate(time.Microsecond)
	return strconv.FormatFloat(remaining.Seconds(), 'f', 6, 64)
}

// Shortest returns the smallest bound that is greater than zero, or Max if there
// is none.
func Shortest(bounds ...time.Duration) time.Duration {
	shortest := Max
	for _, bound := range bounds {
		if bound > 0 {
			shortest = min(shortest, bound)
		}
	}
	return shortest
}
