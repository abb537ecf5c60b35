package qhsetting

import (
	"fmt"
	"net/netip"

	"quetzalhaven.dev/qhid"
)

// LoadNode reads the settings of a node. See Load for its errors.
func LoadNode(path string) (Node, error) {
	return Load(path, Spec[Node]{Defaults: DefaultNode(), Check: checkNode})
}

// checkNode returns what is wrong between the settings of a node.
func checkNode(node Node) []Problem {
	found := checkListen(node.Listen)
	found = append(found, checkSpread(node.Spread)...)
	return append(found, checkCalls(node.Calls)...)
}

func checkListen(listen Listen) []Problem {
	var found []Problem
	seen := make(map[qhid.Address]string)
	for _, listener := range listen.listeners() {
		key := "listen." + listener.name
		if other, ok := seen[listener.address]; ok {
			found = append(found, Problem{
				Key:    key,
				What:   fmt.Sprintf("can't be %s, which listen.%s has", listener.address, other),
				Remedy: "give each listener a port of its own",
			})
		}
		seen[listener.address] = listener.name
		if listener.announced && unspecified(listener.address) {
			found = append(found, Problem{
				Key:    key,
				What:   fmt.Sprintf("can't be %s, since others are told to dial it", listener.address),
				Remedy: "write an IP number of this VM",
			})
		}
	}
	return found
}

type listener struct {
	name    string
	address qhid.Address
	// announced listeners are dialled from other VMs.
	announced bool
}

func (l Listen) listeners() []listener {
	return []listener{
		{name: "callers", address: l.Callers},
		{name: "calls", address: l.Calls, announced: true},
		{name: "peers", address: l.Peers, announced: true},
		{name: "targets", address: l.Targets},
		{name: "operators", address: l.Operators, announced: true},
	}
}

func unspecified(address qhid.Address) bool {
	parsed, err := netip.ParseAddrPort(string(address))
	return err == nil && parsed.Addr().IsUnspecified()
}

func checkSpread(spread Spread) []Problem {
	var found []Problem
	if spread.Silence <= spread.Heartbeat {
		found = append(found, Problem{
			Key:    "spread.silence",
			What:   fmt.Sprintf("can't be %s, since messages come each %s (spread.heartbeat)", spread.Silence, spread.Heartbeat),
			Remedy: "write more than one heartbeat, better three",
		})
	}
	if spread.Batch > spread.Heartbeat {
		found = append(found, Problem{
			Key:    "spread.batch",
			What:   fmt.Sprintf("can't be %s, longer than spread.heartbeat of %s", spread.Batch, spread.Heartbeat),
			Remedy: "write at most one heartbeat",
		})
	}
	if spread.Lease < minLeaseOfHeartbeats*spread.Heartbeat {
		found = append(found, Problem{
			Key:    "spread.lease",
			What:   fmt.Sprintf("can't be %s, too short to renew each %s (spread.heartbeat)", spread.Lease, spread.Heartbeat),
			Remedy: fmt.Sprintf("write at least %d heartbeats", minLeaseOfHeartbeats),
		})
	}
	return found
}

func checkCalls(calls Calls) []Problem {
	if calls.Silence <= calls.Timeout {
		return nil
	}
	return []Problem{{
		Key:    "calls.silence",
		What:   fmt.Sprintf("can't be %s, longer than calls.timeout of %s", calls.Silence, calls.Timeout),
		Remedy: "write at most calls.timeout",
	}}
}
