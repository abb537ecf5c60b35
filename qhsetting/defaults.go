package qhsetting

import (
	"time"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
)

// The default values of Spread.
const (
	DefaultFanout            = 8
	DefaultRelaySlots        = 3
	DefaultBatchDelay        = 50 * time.Millisecond
	DefaultHeartbeatPeriod   = time.Second
	DefaultSilenceTimeout    = 3 * time.Second
	DefaultAntiEntropyPeriod = 5 * time.Second
	DefaultLeaseTTL          = 5 * time.Second
)

// The default values of Calls.
const (
	DefaultCallTimeout                 = 10 * time.Second
	DefaultFirstByteTimeout            = 5 * time.Second
	DefaultMaxHeaderBytes   qhid.Bytes = 64 << 10
	DefaultMaxBodyBytes     qhid.Bytes = 8 << 20
	DefaultShutdownTimeout             = 30 * time.Second
	DefaultRetryBudget                 = 20
	DefaultMaxDecisions                = 4096

	// minLeaseHeartbeats is the minimum of Spread.LeaseTTL in heartbeat periods.
	// Leases are not renewed with heartbeats, but several times per TTL.
	minLeaseHeartbeats = 2
)

// The default values of Log.
const (
	DefaultLogLevel  = "info"
	DefaultLogFormat = "auto"
)

// DefaultNode returns the default settings of a node. Its id, availability zone,
// platform and listen addresses are empty, since they have no default.
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
