package qhfeed

import (
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"quetzalhaven.dev/qhclock"
	"quetzalhaven.dev/qhhold"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhkey"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhplatform"
)

// handlingShare is the share of the convergence limit that is left for reading a version
// from the store, passing it on and applying it.
const handlingShare = 0.2

// TestWaitsFitConvergenceLimit adds up the waits on each path by which a version reaches a
// node, for each convergence limit that settings may have.
func TestWaitsFitConvergenceLimit(t *testing.T) {
	RegisterTestingT(t)
	for name, waits := range map[string][]float64{
		"a reader whose connection became silent":              {storeWaitShare, storeGraceShare},
		"a client of a reader that the store turns away":       {storeWaitShare, storeGraceShare, reconnectShare},
		"a client whose readers are lost":                      {readerWaitShare, readerGraceShare, readerGraceShare},
		"a client that pauses while its readers are lost":      {maxPauseShare, readerGraceShare, readerGraceShare},
		"a reader that the store serves again":                 {retryShare},
		"a client without a usable reader, after a disruption": {clientRoundShare},
		"changes in quick succession":                          {maxPauseShare, maxPauseShare},
		"a client whose sources fail one after the other":      {ownCallShare},
	} {
		sum := 0.0
		for _, wait := range waits {
			sum += wait
		}
		Expect(sum).To(BeNumerically("<=", 1-handlingShare+1e-9), name)
	}
	Expect(storeWaitShare+maxStoreGraceShare+reconnectShare).To(BeNumerically("<=", 1+1e-9), "the first silent connection after the store was slow")
	Expect(maxPauseShare).To(BeNumerically("<=", storeWaitShare), "the time between two responses includes the pause")
	Expect(farReaderShare).To(BeNumerically(">", storeWaitShare), "readers in order let knowledge get so old")
	Expect(ownCallShare).To(BeNumerically(">=", farReaderShare+reconnectShare), "the far reader has time to respond")
}

// TestWaitsAreDerivedFromConvergenceLimit checks that the waits of a feed are the shares
// that TestWaitsFitConvergenceLimit adds up.
func TestWaitsAreDerivedFromConvergenceLimit(t *testing.T) {
	RegisterTestingT(t)
	for _, strict := range []bool{false, true} {
		for limit := time.Second; limit <= 30*time.Second; limit += time.Second / 2 {
			proof := qhkey.NewProof(0, qhclock.Now)
			if strict {
				proof = qhkey.NewProof(5*time.Second, qhclock.Now)
			}
			f, stop := New(Options{
				ConfigKey: configKey, DecodeConfig: decodeStoredConfig, Store: qhplatform.NewFake(qhplatform.FakeOptions{}).Store(),
				Holder: qhhold.New(qhhold.Options{}), Members: qhmember.NewTable(qhmember.Options{Self: qhmember.Entry{Node: "a", Zone: "z", State: qhmember.Up}}),
				Seeds: func() []qhid.Address { return nil }, ConvergenceLimit: limit, Proof: proof, Log: zap.NewNop(), Metrics: metrics.NewSet(),
			})
			atMost := func(share float64) OmegaMatcher {
				return BeNumerically("<=", time.Duration(share*float64(limit))+time.Microsecond)
			}
			description := fmt.Sprintf("limit %s, strict %t", limit, strict)
			Expect(f.configMaxWait(100)).To(atMost(storeWaitShare), description)
			Expect(f.config.grace.base).To(atMost(storeGraceShare), description)
			Expect(f.config.grace.longest).To(atMost(maxStoreGraceShare), description)
			Expect(f.config.retryInterval).To(atMost(retryShare), description)
			Expect(f.config.roundLength()).To(atMost(callsPerRound*retryShare), description)
			f.config.applyAndMeasure(watchSource{}, batch{})
			Expect(time.Duration(f.config.pause.Load())).To(atMost(maxPauseShare), description)
			stop()
		}
	}
}
