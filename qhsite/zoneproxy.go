package qhsite

import (
	"context"
	"io"
	"net"
	"net/netip"

	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
)

// zoneProxy accepts connections for a listener and routes each one through the
// forwarder of the availability zone from which it comes.
type zoneProxy struct {
	faults *networkFaults
	// upstreams maps each source zone to the address of its forwarder. The empty
	// zone maps to the listener itself, for connections from other processes
	// than nodes.
	upstreams map[qhid.Zone]qhid.Address
}

// startProxy starts a proxy to target, a listener in the zone, on a free port of
// host and returns the address of the proxy. Connections from the sources pass
// through forwarders. The proxy runs until the group is stopped.
func (f *networkFaults) startProxy(ctx context.Context, host string, zone qhid.Zone, target qhid.Address, sources []qhid.Zone) (qhid.Address, error) {
	proxy := &zoneProxy{faults: f, upstreams: map[qhid.Zone]qhid.Address{"": target}}
	for _, source := range sources {
		var err error
		if proxy.upstreams[source], err = f.forward(ctx, newZonePair(source, zone), target); err != nil {
			return "", err
		}
	}
	listener, err := listen(ctx, host)
	if err != nil {
		return "", err
	}
	f.group.Go(func(ctx context.Context) {
		<-ctx.Done()
		_ = listener.Close() // ends accept
	})
	f.group.Go(func(context.Context) { proxy.accept(listener) })
	return qhid.Address(listener.Addr().String()), nil
}

func (p *zoneProxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		p.faults.group.Go(func(ctx context.Context) { p.serve(ctx, conn) })
	}
}

// serve routes a connection through the forwarder of its source zone.
func (p *zoneProxy) serve(ctx context.Context, client net.Conn) {
	source := netip.MustParseAddrPort(client.RemoteAddr().String())
	destination := netip.MustParseAddrPort(client.LocalAddr().String())
	var dialer net.Dialer
	upstream, err := dialer.DialContext(ctx, "tcp", string(p.upstreams[p.faults.zoneOf(source, destination)]))
	if err != nil {
		_ = client.Close() // like a listener that is down
		return
	}
	splice(ctx, client, upstream)
}

// splice copies bytes between two connections in both directions until one of
// them closes or ctx is done, and closes both.
func splice(ctx context.Context, a, b net.Conn) {
	group, stop := qhgroup.New(ctx)
	defer stop()
	copyCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, pair := range [][2]net.Conn{{a, b}, {b, a}} {
		group.Go(func(context.Context) {
			_, _ = io.Copy(pair[1], pair[0]) // errors and EOF both end the connections
			cancel()
		})
	}
	<-copyCtx.Done()
	_ = a.Close() // unblocks the copies
	_ = b.Close() // unblocks the copies
}
