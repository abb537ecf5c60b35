// Package qhsetting reads settings files, written in JSON with comments. Unknown
// keys and invalid values are rejected with file, line, key and remedy.
package qhsetting

import (
	"cmp"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
)

// Node holds the settings of a node.
type Node struct {
	ID   qhid.Node `json:"id" validate:"required,name"`
	Zone qhid.Zone `json:"zone" validate:"required,name"`
	// Platform is the base URL of the platform's object API.
	Platform string `json:"platform" validate:"required_without=Store,omitempty,http_url"`
	// Store is an object store that each node watches on its own. If set, it is
	// used in place of Platform and Spread.
	Store *Store `json:"store,omitempty"`
	// LocalTarget is the target that runs on the same VM; nil if it is not known.
	LocalTarget *LocalTarget `json:"beside,omitempty"`
	// Bounds are the requirements of the platform's operators on a node.
	Bounds Bounds `json:"bounds,omitzero"`
	// Seeds are peer addresses that a node contacts while it knows no other node,
	// or none that accepts it.
	Seeds  []qhid.Address  `json:"seeds" validate:"unique,dive,address"`
	Listen ListenAddresses `json:"listen"`
	// Advertise overrides the addresses at which other VMs reach the node.
	Advertise AdvertisedAddresses `json:"announce"`
	Spread    Spread              `json:"spread"`
	Calls     Calls               `json:"calls"`
	Log       Log                 `json:"log"`
}

// ListenAddresses are the addresses on which a node listens. Every address
// includes a host, so that no listener binds to all interfaces by default.
type ListenAddresses struct {
	// Callers accepts calls from callers.
	Callers qhid.Address `json:"callers" validate:"required,address"`
	// ForwardedCalls accepts calls that other nodes forward to targets of this VM.
	ForwardedCalls qhid.Address `json:"calls" validate:"required,address"`
	// Peers accepts messages from other nodes.
	Peers qhid.Address `json:"peers" validate:"required,address"`
	// Targets accepts announcements of the targets on this VM.
	Targets qhid.Address `json:"targets" validate:"required,address"`
	// Operators serves the operator API, such as dump, metrics, status and explain.
	Operators qhid.Address `json:"operators" validate:"required,address"`
	// Ready serves health checks of the platform; empty for no listener.
	Ready qhid.Address `json:"ready,omitempty" validate:"omitempty,address"`
}

// Store is an object store whose objects each node watches on its own.
type Store struct {
	Address string `json:"address" validate:"required,http_url"`
	// WriteRate and ReadRate limit the calls per second of all nodes together. They
	// are accepted because the platform's settings template sets them. The node
	// does not use them: it limits its own calls to a fixed rate.
	WriteRate float64 `json:"writes" validate:"gt=0"`
	ReadRate  float64 `json:"reads" validate:"gt=0"`
}

// LocalTarget is the target on the same VM as a node. It also sends its own calls
// through that node.
type LocalTarget struct {
	Service qhid.Service `json:"service"`
	// Address is accepted because the platform's settings template sets it; the
	// node does not use it.
	Address qhid.Address `json:"address"`
}

// Bounds are the requirements of the platform's operators on a node; 0 is unset.
type Bounds struct {
	// AnnouncementPeriod is the period at which targets renew their
	// announcements.
	AnnouncementPeriod qhconfig.Duration `json:"beat,omitempty"`
	// MaxDrainDelay is the time after which a leaving target gets no new calls.
	MaxDrainDelay qhconfig.Duration `json:"drain,omitempty"`
	// SettleTime is how long a node must be free of disruptions before the time
	// bounds apply. It is accepted because the platform's settings template sets
	// it; the node does not use it.
	SettleTime qhconfig.Duration `json:"contact,omitempty"`
	// MaxConfigDelay is the time within which a new configuration must be in force.
	MaxConfigDelay qhconfig.Duration `json:"config,omitempty"`
	// MinAddressReuse is the minimum time before an address is reused by another
	// target. It is accepted because the platform's settings template sets it; the
	// node does not use it.
	MinAddressReuse qhconfig.Duration `json:"reuse,omitempty"`
	// RetryWindow, RetryRatio and RetrySlack limit the retries to a service by
	// all nodes together: in any window, RetryRatio times its calls plus RetrySlack.
	// The node enforces the limit for windows of any length, so only whether
	// RetryWindow is set matters.
	RetryWindow qhconfig.Duration `json:"window,omitempty"`
	RetryRatio  float64           `json:"ratio,omitempty"`
	RetrySlack  float64           `json:"slack,omitempty"`
	// RevokeDelay is the time after which a key that was withdrawn must not be used.
	// StrictRevoke makes that hold on nodes that are cut off too.
	RevokeDelay  qhconfig.Duration `json:"revoke,omitempty"`
	StrictRevoke bool              `json:"strict,omitempty"`
	// QuotaExcess and QuotaSlack are what may pass in any QuotaWindow in excess of the
	// allowance of a tenant: a part of it, and a number of calls.
	QuotaWindow qhconfig.Duration `json:"quotawindow,omitempty"`
	QuotaExcess float64           `json:"quotaexcess,omitempty" validate:"min=0"`
	QuotaSlack  float64           `json:"quotaslack,omitempty" validate:"min=0"`
	// CanaryShare is the part of a service's calls that a new software version may get
	// before it is judged; 0 if operators order no roll-outs.
	CanaryShare float64 `json:"canary,omitempty" validate:"min=0,max=1"`
	// MaxMemory is the memory limit of the process in bytes. A part of it may be held for
	// clients.
	MaxMemory qhid.Bytes `json:"memory,omitempty"`
	// MaxOpenFiles is the limit on open files of the process. That of the operating system
	// holds too. A part of them may be connections of clients.
	MaxOpenFiles int `json:"files,omitempty" validate:"min=0"`
	// LinkSpeed is the network bandwidth of the VM in Mbit/s.
	LinkSpeed qhid.MegabitsPerSecond `json:"link,omitempty"`
}

// AdvertisedAddresses are the addresses at which other VMs reach the listeners,
// for example behind network address translation. The listen address is used for
// an empty one.
type AdvertisedAddresses struct {
	ForwardedCalls qhid.Address `json:"calls,omitempty" validate:"omitempty,address"`
	Peers          qhid.Address `json:"peers,omitempty" validate:"omitempty,address"`
	Operators      qhid.Address `json:"operators,omitempty" validate:"omitempty,address"`
}

// AdvertisedAddresses returns the addresses at which other VMs reach the node,
// with the listen addresses in place of those not set.
func (n Node) AdvertisedAddresses() AdvertisedAddresses {
	return AdvertisedAddresses{
		ForwardedCalls: cmp.Or(n.Advertise.ForwardedCalls, n.Listen.ForwardedCalls),
		Peers:          cmp.Or(n.Advertise.Peers, n.Listen.Peers),
		Operators:      cmp.Or(n.Advertise.Operators, n.Listen.Operators),
	}
}

// Spread holds the settings for distributing configuration and membership. A short
// BatchDelay reduces convergence time, a long one the bytes of control messages.
type Spread struct {
	// Fanout limits the children of a node in the distribution tree.
	Fanout int `json:"fanout" validate:"min=1,max=64"`
	// RelaySlots is the number of relay slots per availability zone.
	RelaySlots int `json:"relays" validate:"min=1,max=8"`
	// BatchDelay is how long updates are collected before they are sent in one
	// message.
	BatchDelay qhconfig.Duration `json:"batch" validate:"gt=0"`
	// HeartbeatPeriod is the period of heartbeats on an idle link.
	HeartbeatPeriod qhconfig.Duration `json:"heartbeat" validate:"gt=0"`
	// SilenceTimeout is the time without a message after which a link is closed.
	SilenceTimeout qhconfig.Duration `json:"silence" validate:"gt=0"`
	// AntiEntropyPeriod is the period of the anti-entropy exchange with a random
	// peer.
	AntiEntropyPeriod qhconfig.Duration `json:"exchange" validate:"gt=0"`
	// LeaseTTL is the time after which the lease of a relay slot expires unless
	// it is renewed.
	LeaseTTL qhconfig.Duration `json:"lease" validate:"gt=0"`
}

// Calls holds the settings for proxying calls.
type Calls struct {
	// Timeout applies to calls without a deadline on routes without a timeout.
	Timeout qhconfig.Duration `json:"timeout" validate:"gt=0"`
	// FirstByteTimeout limits the wait for the first byte of a response.
	FirstByteTimeout qhconfig.Duration `json:"silence" validate:"gt=0"`
	// MaxHeaderBytes limits the total size of a request's headers.
	MaxHeaderBytes qhid.Bytes `json:"headers" validate:"min=1024"`
	// MaxBodyBytes limits the size of a request body.
	MaxBodyBytes qhid.Bytes `json:"body" validate:"min=1"`
	// ShutdownTimeout limits the duration of a graceful shutdown.
	ShutdownTimeout qhconfig.Duration `json:"grace" validate:"gt=0"`
	// ShutdownDelay is how long callers are still served after the start of a
	// shutdown, so that they have time to notice it.
	ShutdownDelay qhconfig.Duration `json:"linger,omitempty" validate:"min=0"`
	// RetryBudget is the percentage of calls that may be retries.
	RetryBudget qhid.Percent `json:"budget" validate:"min=0,max=100"`
	// SpillPercent is the load of the better target in the own availability zone,
	// in percent of its slots, from which other availability zones are considered.
	SpillPercent int64 `json:"spill,omitempty" validate:"min=0,max=1000"`
	// Shed makes the node refuse calls while its goroutines wait too long for the
	// processor.
	Shed bool `json:"shed,omitempty"`
	// Quarantine is how long a request under which three targets ended is refused
	// after the last end; 0 if such requests are not looked for.
	Quarantine qhconfig.Duration `json:"quarantine,omitempty" validate:"min=0"`
	// MaxDecisions is the number of recent decisions kept for explain.
	MaxDecisions int `json:"decisions" validate:"min=1,max=1000000"`
}

// Log holds the settings of a process's log.
type Log struct {
	Level string `json:"level" validate:"oneof=debug info warn error"`
	// Output is "stdout" or "stderr"; empty means stderr.
	Output string `json:"output,omitempty" validate:"omitempty,oneof=stdout stderr"`
	// Format is "json", "console", or "auto" for console on a terminal and json
	// otherwise.
	Format string `json:"format" validate:"oneof=json console auto"`
}
