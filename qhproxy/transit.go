package qhproxy

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qhclock"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhtransit"
)

// noticedDelay is the delay of a forwarded call between its sender and its target from
// which on it is logged.
const noticedDelay = 500 * time.Millisecond

// transitKey is the context key of the *qhtransit.Conn of another node's connection.
type transitKey struct{}

// withTransit is the ConnContext function of the nodes' server.
func withTransit(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, transitKey{}, qhtransit.NewConn(qhclock.Now()))
}

// arrival is the arrival of a call that another node forwarded.
type arrival struct {
	received qhclock.Instant
	// age is how long the call was delayed on its way; 0 if that is not known.
	age time.Duration
}

// arrivalOf returns the arrival of a call that was just received.
func arrivalOf(r *http.Request) *arrival {
	a := &arrival{received: qhclock.Now()}
	conn, _ := r.Context().Value(transitKey{}).(*qhtransit.Conn)
	sent, err := strconv.ParseInt(r.Header.Get(qhheader.NodeSent), 10, 64)
	if conn != nil && err == nil { // nodes of earlier releases do not say when they sent a call
		a.age = conn.Age(time.Duration(sent)*time.Millisecond, a.received)
	}
	return a
}

// observeDelay counts and logs how long a forwarded call took until it is sent to its
// target.
func (p *Proxy) observeDelay(a *arrival, request qhid.Request, target qhid.Target) {
	if a == nil {
		return
	}
	held := qhclock.Now().Since(a.received)
	p.counters.forwardedAge.add(a.age)
	p.counters.forwardedHeld.add(held)
	if a.age+held >= noticedDelay {
		p.Log.Warn("forwarded call delayed", zap.String("request", string(request)), zap.String("target", string(target)),
			zap.Duration("age", a.age), zap.Duration("held", held))
	}
}
