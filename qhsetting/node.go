// Package qhsetting reads the settings of the programs: JSON with comments,
// with unknown keys and bad values refused by file, line, key and remedy.
package qhsetting

import (
	"cmp"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
)

// Node is the settings of one qhnode.
type Node struct {
	ID   qhid.Node `json:"id" validate:"required,name"`
	Zone qhid.Zone `json:"zone" validate:"required,name"`
	// Platform is the base URL of the platform's object API.
	Platform string `json:"platform" validate:"required_without=Store,omitempty,http_url"`
	// Store is the store that each node watches by itself. It takes the place of
	// platform and spread; nil for none.
	Store *Store `json:"store,omitempty"`
	// LocalTarget is the target that runs on the same VM; nil where nothing is known of it.
	LocalTarget *LocalTarget `json:"beside,omitempty"`
	// Bounds is what the operators of the platform ask of a node.
	Bounds Bounds `json:"bounds,omitzero"`
	// Seeds are peer addresses to ask while the platform is out.
	Seeds  []qhid.Address  `json:"seeds" validate:"unique,dive,address"`
	Listen ListenAddresses `json:"listen"`
	// Advertise is where others reach the node if not where it listens.
	Advertise AdvertisedAddresses `json:"announce"`
	Spread    Spread              `json:"spread"`
	Calls     Calls               `json:"calls"`
	Log       Log                 `json:"log"`
}

// ListenAddresses is where a node listens. Every address names its host: none is
// bound on all addresses unless the settings say so.
type ListenAddresses struct {
	// Callers is for the calls of callers.
	Callers qhid.Address `json:"callers" validate:"required,address"`
	// Calls is for calls that other nodes send on.
	Calls qhid.Address `json:"calls" validate:"required,address"`
	// Peers is for messages of other nodes.
	Peers qhid.Address `json:"peers" validate:"required,address"`
	// Targets is where the targets of this VM announce themselves.
	Targets qhid.Address `json:"targets" validate:"required,address"`
	// Operators is for dump, metrics, status and explain.
	Operators qhid.Address `json:"operators" validate:"required,address"`
	// Ready is for the platform's health checks; empty for none.
	Ready qhid.Address `json:"ready,omitempty" validate:"omitempty,address"`
}

// Store is a platform whose objects each node watches by itself.
type Store struct {
	Address string `json:"address" validate:"required,http_url"`
	// WriteRate and Reads are the calls a second that all nodes together may make.
	WriteRate float64 `json:"writes" validate:"gt=0"`
	ReadRate  float64 `json:"reads" validate:"gt=0"`
}

// LocalTarget is the target on a node's VM, whose calls come to the node too.
type LocalTarget struct {
	Service qhid.Service `json:"service"`
	Address qhid.Address `json:"address"`
}

// Bounds is what the operators of the platform ask of a node; 0 is unset.
type Bounds struct {
	// HeartbeatPeriod is how often targets announce themselves.
	HeartbeatPeriod qhconfig.Duration `json:"beat,omitempty"`
	// MaxDrainDelay is how soon a target that leaves gets no new calls.
	MaxDrainDelay qhconfig.Duration `json:"drain,omitempty"`
	// SettleTime is how long a node has to be undisturbed before bounds of time hold.
	SettleTime qhconfig.Duration `json:"contact,omitempty"`
	// MaxConfigDelay is how soon a configuration is in force.
	MaxConfigDelay qhconfig.Duration `json:"config,omitempty"`
	// MinAddressReuse is the shortest time before an address goes to another target.
	MinAddressReuse qhconfig.Duration `json:"reuse,omitempty"`
	// Window, Ratio and Slack bound the repeats of a service by all nodes
	// together: in any window, ratio times its calls plus slack.
	RetryWindow qhconfig.Duration `json:"window,omitempty"`
	RetryRatio  float64           `json:"ratio,omitempty"`
	RetrySlack  float64           `json:"slack,omitempty"`
	// MaxMemory is the most that the process may use, in bytes.
	MaxMemory qhid.Bytes `json:"memory,omitempty"`
	// LinkSpeed is how fast the VM is connected, in Mbit/s.
	LinkSpeed qhid.MegabitsPerSecond `json:"link,omitempty"`
}

// AdvertisedAddresses is where other VMs reach listeners, such as behind an address
// translation. An empty address is that of the listener.
type AdvertisedAddresses struct {
	Calls     qhid.Address `json:"calls,omitempty" validate:"omitempty,address"`
	Peers     qhid.Address `json:"peers,omitempty" validate:"omitempty,address"`
	Operators qhid.Address `json:"operators,omitempty" validate:"omitempty,address"`
}

// AdvertisedAddresses returns where other VMs reach the node. No address is empty.
func (n Node) AdvertisedAddresses() AdvertisedAddresses {
	return AdvertisedAddresses{
		Calls:     cmp.Or(n.Advertise.Calls, n.Listen.Calls),
		Peers:     cmp.Or(n.Advertise.Peers, n.Listen.Peers),
		Operators: cmp.Or(n.Advertise.Operators, n.Listen.Operators),
	}
}

// Spread is how configuration and membership are passed on. Small values of
// batch favour convergence time, large ones control bytes.
type Spread struct {
	// Fanout bounds the children of a node in the tree.
	Fanout int `json:"fanout" validate:"min=1,max=64"`
	// RelaySlots is the number of relay slots of an availability zone.
	RelaySlots int `json:"relays" validate:"min=1,max=8"`
	// BatchDelay is how long announcements wait for others to share a message.
	BatchDelay qhconfig.Duration `json:"batch" validate:"gt=0"`
	// HeartbeatPeriod is the period of messages on a quiet link.
	HeartbeatPeriod qhconfig.Duration `json:"heartbeat" validate:"gt=0"`
	// SilenceTimeout is after how long without a message a link counts as dead.
	SilenceTimeout qhconfig.Duration `json:"silence" validate:"gt=0"`
	// AntiEntropyPeriod is the period of the comparison with a random peer.
	AntiEntropyPeriod qhconfig.Duration `json:"exchange" validate:"gt=0"`
	// LeaseTTL is how long a relay slot is held without renewal.
	LeaseTTL qhconfig.Duration `json:"lease" validate:"gt=0"`
}

// Calls is the limits on the path of a call.
type Calls struct {
	// Timeout bounds a call that brings no deadline on a route without one.
	Timeout qhconfig.Duration `json:"timeout" validate:"gt=0"`
	// FirstByteTimeout bounds the wait for the first byte of an answer.
	FirstByteTimeout qhconfig.Duration `json:"silence" validate:"gt=0"`
	// MaxHeaderBytes bounds the size of a request's headers.
	MaxHeaderBytes qhid.Bytes `json:"headers" validate:"min=1024"`
	// MaxBodyBytes bounds the size of a request's body.
	MaxBodyBytes qhid.Bytes `json:"body" validate:"min=1"`
	// ShutdownTimeout bounds a graceful stop.
	ShutdownTimeout qhconfig.Duration `json:"grace" validate:"gt=0"`
	// ShutdownDelay is how long callers are still served after a stop began, until they
	// have noticed it.
	ShutdownDelay qhconfig.Duration `json:"linger,omitempty" validate:"min=0"`
	// RetryBudget is the share of calls that may be repeats.
	RetryBudget qhid.Percent `json:"budget" validate:"min=0,max=100"`
	// SpillPercent is how full, in hundredths of its slots, the better target of the own
	// availability zone is when others are considered.
	SpillPercent int64 `json:"spill,omitempty" validate:"min=0,max=1000"`
	// MaxDecisions is how many recent decisions are kept for explain.
	MaxDecisions int `json:"decisions" validate:"min=1,max=1000000"`
}

// Log is how a process writes its log.
type Log struct {
	Level string `json:"level" validate:"oneof=debug info warn error"`
	// Output is stdout or stderr; empty is stderr.
	Output string `json:"output,omitempty" validate:"omitempty,oneof=stdout stderr"`
	// Format is json, console, or auto for console on a terminal.
	Format string `json:"format" validate:"oneof=json console auto"`
}
