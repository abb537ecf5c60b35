package qhsetting

import (
	"fmt"
	"net/netip"

	"quetzalhaven.dev/qhid"
)

// LoadNode reads and validates the settings file of a node. See Load for the
// errors.
func LoadNode(path string) (Node, error) {
	return Load(path, Spec[Node]{Defaults: DefaultNode(), Check: checkNode})
}

// checkNode returns the problems that involve several settings of a node, which
// validate tags cannot express.
func checkNode(node Node) []Problem {
	problems := checkListen(node.Listen)
	problems = append(problems, checkAdvertised(node)...)
	if node.Store == nil {
		problems = append(problems, checkSpread(node.Spread)...)
	}
	return append(problems, checkCalls(node.Calls)...)
}

func checkListen(listen ListenAddresses) []Problem {
	var problems []Problem
	seen := make(map[qhid.Address]string)
	for _, listener := range listen.listeners() {
		if other, ok := seen[listener.address]; ok {
			problems = append(problems, Problem{
				Key:     listener.key,
				Message: fmt.Sprintf("cannot be %s, which is already used by %s", listener.address, other),
				Remedy:  "give each listener a port of its own",
			})
		}
		seen[listener.address] = listener.key
	}
	return problems
}

// checkAdvertised rejects advertised addresses that other VMs cannot dial.
func checkAdvertised(node Node) []Problem {
	advertised := node.AdvertisedAddresses()
	var problems []Problem
	for _, listener := range []listener{
		{key: "listen.calls", address: advertised.ForwardedCalls},
		{key: "listen.peers", address: advertised.Peers},
		{key: "listen.operators", address: advertised.Operators},
	} {
		if isUnspecified(listener.address) {
			problems = append(problems, Problem{
				Key:     listener.key,
				Message: fmt.Sprintf("cannot be %s, since other VMs dial it", listener.address),
				Remedy:  "write an IP address of this VM, also under announce",
			})
		}
	}
	return problems
}

// listener is a listen address and its key in the settings.
type listener struct {
	key     string
	address qhid.Address
}

func (l ListenAddresses) listeners() []listener {
	return []listener{
		{key: "listen.callers", address: l.Callers},
		{key: "listen.calls", address: l.ForwardedCalls},
		{key: "listen.peers", address: l.Peers},
		{key: "listen.targets", address: l.Targets},
		{key: "listen.operators", address: l.Operators},
	}
}

func isUnspecified(address qhid.Address) bool {
	parsed, err := netip.ParseAddrPort(string(address))
	return err == nil && parsed.Addr().IsUnspecified()
}

func checkSpread(spread Spread) []Problem {
	var problems []Problem
	if spread.SilenceTimeout <= spread.HeartbeatPeriod {
		problems = append(problems, Problem{
			Key:     "spread.silence",
			Message: fmt.Sprintf("cannot be %s, since messages are sent every %s (spread.heartbeat)", spread.SilenceTimeout, spread.HeartbeatPeriod),
			Remedy:  "write more than one heartbeat period, preferably three",
		})
	}
	if spread.BatchDelay > spread.HeartbeatPeriod {
		problems = append(problems, Problem{
			Key:     "spread.batch",
			Message: fmt.Sprintf("cannot be %s, which is longer than spread.heartbeat of %s", spread.BatchDelay, spread.HeartbeatPeriod),
			Remedy:  "write at most one heartbeat period",
		})
	}
	if spread.LeaseTTL < minLeaseHeartbeats*spread.HeartbeatPeriod {
		problems = append(problems, Problem{
			Key:     "spread.lease",
			Message: fmt.Sprintf("cannot be %s, which is too short for heartbeats every %s (spread.heartbeat)", spread.LeaseTTL, spread.HeartbeatPeriod),
			Remedy:  fmt.Sprintf("write at least %d heartbeat periods", minLeaseHeartbeats),
		})
	}
	return problems
}

func checkCalls(calls Calls) []Problem {
	if calls.FirstByteTimeout <= calls.Timeout {
		return nil
	}
	return []Problem{{
		Key:     "calls.silence",
		Message: fmt.Sprintf("cannot be %s, which is longer than calls.timeout of %s", calls.FirstByteTimeout, calls.Timeout),
		Remedy:  "write at most calls.timeout",
	}}
}
