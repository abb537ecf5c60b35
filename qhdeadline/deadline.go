// Package qhdeadline reads and writes the time left for a call.
package qhdeadline

import (
	"math"
	"strconv"
	"time"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhheader"
)

// Max bounds the time left that a header may ask for.
const Max = 24 * time.Hour

// Parse returns the time left that the header value gives in seconds, as in
// "1.5", cut to Max. A negative or unreadable value is of kind BadInput.
func Parse(value string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		return 0, qherr.New(qherr.BadInput, nil, "send seconds as in \"1.5\"", "%s is %q", qhheader.Timeout, value)
	}
	if seconds >= Max.Seconds() {
		return Max, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// Format returns the header value of the time left, rounded down to whole
// microseconds, so that a deadline never grows on the way.
func Format(left time.Duration) string {
	left = max(left, 0).Truncate(time.Microsecond)
	return strconv.FormatFloat(left.Seconds(), 'f', 6, 64)
}

// Shortest returns the smallest of the bounds that are set, or Max.
func Shortest(bounds ...time.Duration) time.Duration {
	shortest := Max
	for _, bound := range bounds {
		if bound > 0 {
			shortest = min(shortest, bound)
		}
	}
	return shortest
}
