package qhconfig

import (
	"time"

	"quetzalhaven.dev/qhid"
)

// The limits of one configuration. They keep every entry far below the maximum
// size of a value on the platform. No list of the users' platform can exceed its limit in
// a value of that size; what an entry may list is bounded by MaxSize only. MaxNameBytes,
// MaxHostBytes, MaxPrefixBytes and MaxShares are not limits of CheckUsable.
const (
	MaxServices    = 100_000
	MaxRoutes      = 60_000
	MaxNameBytes   = 128
	MaxHostBytes   = 253
	MaxPrefixBytes = 1024
	MaxMethods     = 16
	MaxShares      = 64
	MaxRetired     = 512
	MaxSlots       = 100_000
	MaxQueue       = 1_000_000
	MaxConnections = 1_000_000
	MaxPriority    = 1_000
	MaxAttempts    = 16
	MaxWeight      = 1_000_000
	MaxTenants     = 100_000
	MaxRate        = 1_000_000_000
	// MaxTimeout limits all durations of routes and caller limits.
	MaxTimeout = Duration(time.Hour)
	// MaxBody is the largest MaxBodyBytes of a route, and the largest
	// MaxHeaderBytes and MaxBodyBytes of CallerLimits.
	MaxBody qhid.Bytes = 1 << 30
	// MaxSize limits the approximate size of a configuration: all names and
	// paths with an overhead for each entry. Two versions of that size fit well
	// within the memory of a node.
	MaxSize qhid.Bytes = 16 << 20
	// MaxUsableNameBytes bounds a name in CheckUsable. Nodes send names to each other and to
	// targets in headers, which have to stay below the limit of a request's headers.
	MaxUsableNameBytes = 1 << 10
	// MaxUsablePathBytes bounds a host or a prefix in CheckUsable. Nodes read no longer
	// request head.
	MaxUsablePathBytes = 64 << 10
	// TotalPercent is the sum of the percentages of a route's shares.
	TotalPercent qhid.Percent = 100
)
