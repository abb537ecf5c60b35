package qhsite

import (
	"context"
	"net/netip"
	"sync"

	"quetzalhaven.dev/qhforward"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
)

// PlatformZone stands for the platform as an argument of Partition, Heal and
// Blackhole.
const PlatformZone qhid.Zone = "platform"

// zonePair is an unordered pair of availability zones, stored in sorted order.
type zonePair struct{ first, second qhid.Zone }

func newZonePair(a, b qhid.Zone) zonePair { return zonePair{first: min(a, b), second: max(a, b)} }

// networkFaults injects network faults between the processes of a site. It keeps
// the forwarders of the connections between each pair of zones.
type networkFaults struct {
	group *qhgroup.Group

	mu sync.Mutex
	// forwarders holds the forwarders of each pair, for both directions.
	forwarders map[zonePair][]*qhforward.Forwarder
	// zoneByPID maps process IDs of nodes to availability zones.
	zoneByPID map[int]qhid.Zone
}

func newNetworkFaults(group *qhgroup.Group) *networkFaults {
	return &networkFaults{group: group, forwarders: make(map[zonePair][]*qhforward.Forwarder), zoneByPID: make(map[int]qhid.Zone)}
}

// Partition holds back all bytes between two availability zones, or between a
// zone and the platform, on open and new connections. It closes no connection.
func (s *Site) Partition(a, b qhid.Zone) { s.faults.apply(a, b, (*qhforward.Forwarder).Pause) }

// Heal ends a partition. The bytes held back are delivered.
func (s *Site) Heal(a, b qhid.Zone) { s.faults.apply(a, b, (*qhforward.Forwarder).Resume) }

// Blackhole permanently drops all further bytes of the open connections between
// two availability zones without closing them. New connections are not affected.
func (s *Site) Blackhole(a, b qhid.Zone) { s.faults.apply(a, b, (*qhforward.Forwarder).Blackhole) }

// apply runs action on all forwarders between two zones.
func (f *networkFaults) apply(a, b qhid.Zone, action func(*qhforward.Forwarder)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, forwarder := range f.forwarders[newZonePair(a, b)] {
		action(forwarder)
	}
}

// forward starts a forwarder to the target for the pair of zones and returns its
// address. The forwarder runs until the group is stopped.
func (f *networkFaults) forward(ctx context.Context, pair zonePair, target qhid.Address) (qhid.Address, error) {
	forwarder, stop, err := qhforward.New(ctx, target)
	if err != nil {
		return "", err
	}
	f.group.Go(func(ctx context.Context) {
		<-ctx.Done()
		stop()
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forwarders[pair] = append(f.forwarders[pair], forwarder)
	return forwarder.Address(), nil
}

// registerProcess records the availability zone of a node process.
func (f *networkFaults) registerProcess(process *Process, zone qhid.Zone) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.zoneByPID[process.PID] = zone
}

// zoneOf returns the availability zone of the node process that owns the
// connection from source to destination, or "" if no node of the site does.
func (f *networkFaults) zoneOf(source, destination netip.AddrPort) qhid.Zone {
	f.mu.Lock()
	pids := make([]int, 0, len(f.zoneByPID))
	for pid := range f.zoneByPID {
		pids = append(pids, pid)
	}
	f.mu.Unlock()
	pid, ok := socketOwner(source, destination, pids)
	if !ok {
		return ""
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.zoneByPID[pid]
}
