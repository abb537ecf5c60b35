package qhsite

import (
	"context"
	"net/netip"
	"sync"

	"quetzalhaven.dev/qhid"
)

// PlatformZone stands for the platform in Cut, Heal and Silence.
const PlatformZone qhid.Zone = "platform"

// link is the way between two availability zones, in either direction.
type link struct{ from, to qhid.Zone }

func linkOf(a, b qhid.Zone) link { return link{from: min(a, b), to: max(a, b)} }

// cuts knows which ways between availability zones pass bytes.
type cuts struct {
	mu sync.Mutex
	// stopped has the ways that pass no bytes.
	stopped map[link]bool
	// changed is closed and replaced by every change of stopped.
	changed chan struct{}
	// zones has the availability zone of every process, by its id.
	zones map[int]qhid.Zone
	open  map[*passage]bool
}

func newCuts() *cuts {
	return &cuts{
		stopped: make(map[link]bool),
		changed: make(chan struct{}),
		zones:   make(map[int]qhid.Zone),
		open:    make(map[*passage]bool),
	}
}

// Cut stops all bytes between two availability zones, or between one and the
// platform, on connections of old and new. Nothing is closed.
func (s *Site) Cut(a, b qhid.Zone) { s.cuts.set(a, b, true) }

// Heal lets bytes pass again. Those held back follow.
func (s *Site) Heal(a, b qhid.Zone) { s.cuts.set(a, b, false) }

// Silence stops all bytes for good on the connections that are open between
// two availability zones. New ones work.
func (s *Site) Silence(a, b qhid.Zone) {
	s.cuts.mu.Lock()
	defer s.cuts.mu.Unlock()
	for passage := range s.cuts.open {
		if passage.link == linkOf(a, b) {
			passage.silence()
		}
	}
}

func (c *cuts) set(a, b qhid.Zone, stop bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped[linkOf(a, b)] = stop
	close(c.changed)
	c.changed = make(chan struct{})
}

// wait returns once the way passes bytes, or the error of a context that ends
// before.
func (c *cuts) wait(ctx context.Context, way link) error {
	for {
		c.mu.Lock()
		stopped, changed := c.stopped[way], c.changed
		c.mu.Unlock()
		if !stopped {
			return ctx.Err()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
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

func (c *cuts) opened(passage *passage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[passage] = true
}

func (c *cuts) closed(passage *passage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, passage)
}
