package qhsetting

import (
	"time"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
)

// The defaults of Spread.
const (
	DefaultFanout            = 8
	DefaultRelaySlots        = 3
	DefaultBatchDelay        = 50 * time.Millisecond
	DefaultHeartbeatPeriod   = time.Second
	DefaultSilenceTimeout    = 3 * time.Second
	DefaultAntiEntropyPeriod = 5 * time.Second
	DefaultLeaseTTL          = 5 * time.Second
)

// The defaults of Calls.
const (
	DefaultCallTimeout                 = 10 * time.Second
	DefaultFirstByteTimeout            = 5 * time.Second
	DefaultMaxHeaderBytes   qhid.Bytes = 64 << 10
	DefaultMaxBodyBytes     qhid.Bytes = 8 << 20
	DefaultShutdownTimeout             = 30 * time.Second
	DefaultRetryBudget                 = 20
	DefaultMaxDecisions                = 4096
	minLeaseHeartbeats                 = 2
)

// The defaults of Log.
const (
	DefaultLogLevel  = "info"
	DefaultLogFormat = "auto"
)

// DefaultNode returns the settings of a node that sets nothing. Its id, zone,
// platform and listeners are empty, since every node has its own.
func DefaultNode() Node {
	return Node{
		Spread: Spread{
			Fanout:            DefaultFanout,
			RelaySlots:        DefaultRelaySlots,
			BatchDelay:        qhconfig.Duration(DefaultBatchDelay),
			HeartbeatPeriod:   qhconfig.Duration(DefaultHeartbeatPeriod),
			SilenceTimeout:    qhconfig.Duration(DefaultSilenceTimeout),
			AntiEntropyPeriod: qhconfig.Duration(DefaultAntiEntropyPeriod),
			LeaseTTL:          qhconfig.Duration(DefaultLeaseTTL),
		},
		Calls: Calls{
			Timeout:          qhconfig.Duration(DefaultCallTimeout),
			FirstByteTimeout: qhconfig.Duration(DefaultFirstByteTimeout),
			MaxHeaderBytes:   DefaultMaxHeaderBytes,
			MaxBodyBytes:     DefaultMaxBodyBytes,
			ShutdownTimeout:  qhconfig.Duration(DefaultShutdownTimeout),
			RetryBudget:      DefaultRetryBudget,
			MaxDecisions:     DefaultMaxDecisions,
		},
		Log: Log{Level: DefaultLogLevel, Format: DefaultLogFormat},
	}
}
