package qhsite

import (
	"context"
	"net"
	"net/netip"

	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
)

// chunk is the most that a gate passes on at a time.
const chunk qhid.Bytes = 32 << 10

// gate stands before a listener of the zone and passes connections on to it,
// as far as the cuts allow.
type gate struct {
	cuts     *cuts
	zone     qhid.Zone
	upstream qhid.Address
	group    *qhgroup.Group
}

// startGate starts a gate on a free port of host and returns its address. It
// stands until the group ends.
func startGate(ctx context.Context, gate gate, host string) (qhid.Address, error) {
	listener, err := listen(ctx, host)
	if err != nil {
		return "", err
	}
	gate.group.Go(func(ctx context.Context) {
		<-ctx.Done()
		_ = listener.Close() // the gate ends
	})
	gate.group.Go(func(context.Context) {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			gate.group.Go(func(ctx context.Context) { gate.serve(ctx, conn) })
		}
	})
	return qhid.Address(listener.Addr().String()), nil
}

func (g *gate) serve(ctx context.Context, caller net.Conn) {
	from := netip.MustParseAddrPort(caller.RemoteAddr().String())
	to := netip.MustParseAddrPort(caller.LocalAddr().String())
	var dialer net.Dialer
	listener, err := dialer.DialContext(ctx, "tcp", string(g.upstream))
	if err != nil {
		_ = caller.Close() // as if nothing listened
		return
	}
	passage := newPassage(ctx, g.cuts, linkOf(g.cuts.zoneOf(from, to), g.zone))
	g.cuts.opened(passage)
	defer g.cuts.closed(passage)
	passage.run(ctx, caller, listener)
}

// passage is one connection through a gate.
type passage struct {
	cuts *cuts
	link link
	// silent ends once bytes are stopped for good.
	silent  context.Context //nolint:containedctx // it is the passage's state
	silence func()
}

func newPassage(ctx context.Context, cuts *cuts, way link) *passage {
	silent, silence := context.WithCancel(ctx)
	return &passage{cuts: cuts, link: way, silent: silent, silence: silence}
}

// run passes bytes in both directions until both ends are closed.
func (p *passage) run(ctx context.Context, caller, listener net.Conn) {
	defer p.silence()
	group, stop := qhgroup.New(ctx)
	defer stop()
	ended := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{caller, listener}, {listener, caller}} {
		group.Go(func(ctx context.Context) {
			p.copy(ctx, pair[0], pair[1])
			_ = pair[1].Close() // the other end sees that this one has gone
			ended <- struct{}{}
		})
	}
	for range cap(ended) {
		select {
		case <-ctx.Done():
		case <-ended:
		}
	}
	_ = caller.Close()   // the copies end
	_ = listener.Close() // the copies end
}

// copy passes bytes on. While the way is stopped it holds back bytes, and also
// the end of the connection.
func (p *passage) copy(ctx context.Context, from, to net.Conn) {
	buf := make([]byte, chunk)
	for {
		n, err := from.Read(buf)
		if p.cuts.wait(ctx, p.link) != nil {
			return
		}
		if p.silent.Err() != nil {
			<-ctx.Done()
			return
		}
		if _, failed := to.Write(buf[:n]); failed != nil || err != nil {
			return
		}
	}
}
