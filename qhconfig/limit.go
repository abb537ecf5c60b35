package qhconfig

import (
	"time"

	"quetzalhaven.dev/qhid"
)

// The limits of one configuration. They keep every entry far below the largest
// value that the platform holds.
const (
	MaxServices    = 20_000
	MaxRoutes      = 60_000
	MaxName        = 128
	MaxHost        = 253
	MaxPrefix      = 1024
	MaxMethods     = 16
	MaxShares      = 64
	MaxRetired     = 512
	MaxSlots       = 100_000
	MaxQueue       = 1_000_000
	MaxConnections = 1_000_000
	MaxPriority    = 1_000
	MaxAttempts    = 16
	MaxWeight      = 1_000_000
	// MaxTimeout bounds the timeout and the silence of a route.
	MaxTimeout = Duration(time.Hour)
	// MaxBody bounds the body of a route's requests.
	MaxBody qhid.Bytes = 1 << 30
	// MaxSize bounds all names and paths together with an allowance for each
	// entry. It keeps two versions well within the memory of a node.
	MaxSize qhid.Bytes = 16 << 20
	// TotalPercent is what the shares of a route add up to.
	TotalPercent qhid.Percent = 100
)
