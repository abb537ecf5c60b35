// Package qhcanary rolls a service out to targets of another software version: it
// exposes a few of them to a small share of the calls, judges them against the
// targets of the versions in service, and switches all calls over or back.
//
// One node decides at a time (Decider), by conditional writes of the state. All nodes
// keep to the last state that they know (Book): the callers' nodes to the share, the
// targets' nodes to the allowed bad answers. docs/design/rollout.md tells why.
package qhcanary

import (
	"slices"
	"time"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
)

// DefaultDuration applies to orders without a duration.
const DefaultDuration = 60 * time.Second

// Order is an operator's order to move a service to targets of a software version.
type Order struct {
	Service  qhid.Service  `json:"service"`
	Software qhid.Software `json:"software"`
	// Duration is the time within which the roll-out should be decided.
	Duration qhconfig.Duration `json:"duration,omitempty"`
}

// TimeLimit returns the time of the order or the default.
func (o Order) TimeLimit() time.Duration {
	if o.Duration <= 0 {
		return DefaultDuration
	}
	return time.Duration(o.Duration)
}

// Phase is the phase of a roll-out.
type Phase string

// The phases of a roll-out, in order; it ends as complete or reverted.
const (
	// Exposing sends a share of the calls to the exposed targets.
	Exposing Phase = "exposing"
	// Switching sends all calls to the new version, and waits until nothing is at
	// work at the targets of the old ones.
	Switching Phase = "switching"
	// Complete means that only targets of the new version get calls.
	Complete Phase = "complete"
	// Reverted means that targets of the new version get no calls.
	Reverted Phase = "reverted"
)

// State is what the decider of a roll-out has decided. It is replaced as a whole.
type State struct {
	// Software is the version of the order that the state belongs to.
	Software qhid.Software `json:"software"`
	Phase    Phase         `json:"phase"`
	// Barred has the versions of earlier orders that were reverted or replaced before
	// their end, sorted. They get no calls.
	Barred []qhid.Software `json:"barred,omitempty"`
	// Exposed has the targets of the new version that get calls while exposing.
	Exposed []qhid.Target `json:"exposed,omitempty"`
	// AllowedFailures is how many bad answers each exposed target may give in all.
	AllowedFailures int `json:"allowed,omitempty"`
	// Elapsed is the time of the order that is used up.
	Elapsed qhconfig.Duration `json:"elapsed"`
	// Term counts the deciders; Decider is the current one.
	Term    uint64    `json:"term"`
	Decider qhid.Node `json:"decider"`
	// Reason says why the phase is as it is, with the figures behind it.
	Reason string `json:"reason,omitempty"`
	// Tally has the answers at the last judgement.
	Tally Tally `json:"tally,omitzero"`
}

// isFinal reports whether the roll-out has ended.
func (s *State) isFinal() bool { return s.Phase == Complete || s.Phase == Reverted }

// Rollout is an order with its state as the store has it.
type Rollout struct {
	Order Order
	// State is nil before a decider has taken up the order.
	State *State
	// Barred has the versions that get no calls because of earlier orders, see
	// State.Barred, while State is nil.
	Barred []qhid.Software
	// Unwritten is set if the store has lost State, because it was restored from a
	// copy.
	Unwritten bool
	// Key and Revision are those of the object.
	Key      qhplatform.Key
	Revision qhplatform.Revision
}

// IsExposing reports whether some targets of the new version get a share of the calls.
func (r *Rollout) IsExposing() bool {
	return r.State != nil && r.State.Phase == Exposing && len(r.State.Exposed) > 0
}

// Takes reports whether a target of the software version gets calls, as far as the
// state tells.
func (r *Rollout) Takes(target qhid.Target, software qhid.Software) bool {
	switch {
	case r.State == nil: // not taken up yet: the version of the order gets nothing
		return software != r.Order.Software && !slices.Contains(r.Barred, software)
	case software == r.Order.Software:
		return r.State.Phase == Switching || r.State.Phase == Complete ||
			r.State.Phase == Exposing && slices.Contains(r.State.Exposed, target)
	case r.State.Phase == Complete || r.State.Phase == Switching:
		return false
	default:
		_, isBarred := slices.BinarySearch(r.State.Barred, software)
		return !isBarred
	}
}
