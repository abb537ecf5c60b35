package qhcrash

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkCall measures what a call costs: its fingerprint, two checks and a success.
func BenchmarkCall(b *testing.B) {
	ledger := NewLedger(testQuarantine, time.Now)
	identity := Identity{Method: "POST", Host: "booking.example", Caller: "portal", Body: make([]byte, 300), BodyLength: 300}
	for i := range b.N {
		identity.URI = fmt.Sprint("/slots/", i%10000)
		request := identity.Fingerprint()
		ledger.Check(request)
		ledger.Check(request)
		ledger.RecordSuccess(request)
	}
}
