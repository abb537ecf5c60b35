package qhsite

import (
	"context"
	"net/netip"
	"sync"

	"quetzalhaven.dev/qhforward"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
)

// PlatformZone stands for the platform in Cut, Heal and Silence.
const PlatformZone qhid.Zone = "platform"

// way is the way between two availability zones, in either direction.
type way struct{ from, to qhid.Zone }

func wayOf(a, b qhid.Zone) way { return way{from: min(a, b), to: max(a, b)} }

// cuts has the forwarders between the processes of a site.
type cuts struct {
	group *qhgroup.Group

	mu sync.Mutex
	// ways has the forwarders of each way, in both directions.
	ways map[way][]*qhforward.Forwarder
	// zones has the availability zone of every process, by its id.
	zones map[int]qhid.Zone
}

func newCuts(group *qhgroup.Group) *cuts {
	return &cuts{group: group, ways: make(map[way][]*qhforward.Forwarder), zones: make(map[int]qhid.Zone)}
}

// Cut stops all bytes between two availability zones, or between one and the
// platform, on open and new connections. Nothing is closed.
func (s *Site) Cut(a, b qhid.Zone) { s.cuts.each(a, b, (*qhforward.Forwarder).Pause) }

// Heal lets bytes pass again. Those held back follow.
func (s *Site) Heal(a, b qhid.Zone) { s.cuts.each(a, b, (*qhforward.Forwarder).Resume) }

// Silence stops all bytes for good on the connections that are open between
// two availability zones. New ones work.
func (s *Site) Silence(a, b qhid.Zone) { s.cuts.each(a, b, (*qhforward.Forwarder).Blackhole) }

func (c *cuts) each(a, b qhid.Zone, do func(*qhforward.Forwarder)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, forwarder := range c.ways[wayOf(a, b)] {
		do(forwarder)
	}
}

// forward starts a forwarder of the way to an address. It stands until the
// group ends.
func (c *cuts) forward(ctx context.Context, way way, to qhid.Address) (qhid.Address, error) {
	forwarder, stop, err := qhforward.New(ctx, to)
	if err != nil {
		return "", err
	}
	c.group.Go(func(ctx context.Context) {
		<-ctx.Done()
		stop()
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ways[way] = append(c.ways[way], forwarder)
	return forwarder.Address(), nil
}

// started notes the availability zone of a process.
func (c *cuts) started(process *Process, zone qhid.Zone) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.zones[process.ID] = zone
}

// zoneOf returns the availability zone of the process that connects from one
// address to the other; empty where it is none of the site's nodes.
func (c *cuts) zoneOf(from, to netip.AddrPort) qhid.Zone {
	c.mu.Lock()
	ids := make([]int, 0, len(c.zones))
	for id := range c.zones {
		ids = append(ids, id)
	}
	c.mu.Unlock()
	id, ok := ownerOf(from, to, ids)
	if !ok {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.zones[id]
}
