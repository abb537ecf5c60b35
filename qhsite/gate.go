package qhsite

import (
	"context"
	"io"
	"net"
	"net/netip"

	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
)

// gate stands before a listener and sends each connection through the forwarder
// of the availability zone that it comes from.
type gate struct {
	cuts *cuts
	// forwarders has an address for each availability zone. The empty one is
	// the listener itself, for connections of no node.
	forwarders map[qhid.Zone]qhid.Address
}

// startGate starts a gate to a listener of the zone, on a free port of host,
// and returns its address. It stands until the group of the cuts ends.
func (c *cuts) startGate(ctx context.Context, host string, zone qhid.Zone, to qhid.Address, sources []qhid.Zone) (qhid.Address, error) {
	gate := &gate{cuts: c, forwarders: map[qhid.Zone]qhid.Address{"": to}}
	for _, source := range sources {
		var err error
		if gate.forwarders[source], err = c.forward(ctx, wayOf(source, zone), to); err != nil {
			return "", err
		}
	}
	listener, err := listen(ctx, host)
	if err != nil {
		return "", err
	}
	c.group.Go(func(ctx context.Context) {
		<-ctx.Done()
		_ = listener.Close() // the gate ends
	})
	c.group.Go(func(context.Context) { gate.accept(listener) })
	return qhid.Address(listener.Addr().String()), nil
}

func (g *gate) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		g.cuts.group.Go(func(ctx context.Context) { g.serve(ctx, conn) })
	}
}

func (g *gate) serve(ctx context.Context, caller net.Conn) {
	from := netip.MustParseAddrPort(caller.RemoteAddr().String())
	to := netip.MustParseAddrPort(caller.LocalAddr().String())
	var dialer net.Dialer
	forwarder, err := dialer.DialContext(ctx, "tcp", string(g.forwarders[g.cuts.zoneOf(from, to)]))
	if err != nil {
		_ = caller.Close() // as if nothing listened
		return
	}
	splice(ctx, caller, forwarder)
}

// splice passes bytes both ways until one end closes or the context ends, and
// closes both.
func splice(ctx context.Context, a, b net.Conn) {
	group, stop := qhgroup.New(ctx)
	defer stop()
	ended, end := context.WithCancel(ctx)
	defer end()
	for _, pair := range [][2]net.Conn{{a, b}, {b, a}} {
		group.Go(func(context.Context) {
			_, _ = io.Copy(pair[1], pair[0]) // the other end sees it closed
			end()
		})
	}
	<-ended.Done()
	_ = a.Close() // the copies end
	_ = b.Close() // the copies end
}
