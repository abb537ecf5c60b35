package qhsetting

import (
	"time"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
)

// The defaults of Spread.
const (
	DefaultFanout    = 8
	DefaultRelays    = 3
	DefaultBatch     = 50 * time.Millisecond
	DefaultHeartbeat = time.Second
	DefaultSilence   = 3 * time.Second
	DefaultExchange  = 5 * time.Second
	DefaultLease     = 5 * time.Second
)

// The defaults of Calls.
const (
	DefaultTimeout                  = 10 * time.Second
	DefaultFirstByte                = 5 * time.Second
	DefaultHeaders       qhid.Bytes = 64 << 10
	DefaultBody          qhid.Bytes = 8 << 20
	DefaultGrace                    = 30 * time.Second
	DefaultBudget                   = 20
	DefaultDecisions                = 4096
	minLeaseOfHeartbeats            = 2
)

// The defaults of Log.
const (
	DefaultLevel  = "info"
	DefaultFormat = "auto"
)

// DefaultNode returns the settings of a node that sets nothing. Its id, zone,
// platform and listeners are empty, since every node has its own.
func DefaultNode() Node {
	return Node{
		Spread: Spread{
			Fanout:            DefaultFanout,
			RelaySlots:        DefaultRelays,
			BatchDelay:        qhconfig.Duration(DefaultBatch),
			HeartbeatPeriod:   qhconfig.Duration(DefaultHeartbeat),
			SilenceTimeout:    qhconfig.Duration(DefaultSilence),
			AntiEntropyPeriod: qhconfig.Duration(DefaultExchange),
			LeaseTTL:          qhconfig.Duration(DefaultLease),
		},
		Calls: Calls{
			Timeout:          qhconfig.Duration(DefaultTimeout),
			FirstByteTimeout: qhconfig.Duration(DefaultFirstByte),
			MaxHeaderBytes:   DefaultHeaders,
			MaxBodyBytes:     DefaultBody,
			ShutdownTimeout:  qhconfig.Duration(DefaultGrace),
			RetryBudget:      DefaultBudget,
			MaxDecisions:     DefaultDecisions,
		},
		Log: Log{Level: DefaultLevel, Format: DefaultFormat},
	}
}
