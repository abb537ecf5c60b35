package qhsite

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
)

// addressPool reserves free loopback addresses. If the operating system supports
// it, each VM has its own IP address, so that no other program can bind the ports
// of a node while it restarts.
type addressPool struct {
	// prefix is the first three octets of the IP addresses of the site.
	prefix    string
	hostCount int
	listeners []net.Listener
}

// Bounds of the random octets of the prefix; maxOctet is exclusive.
const (
	minOctet = 1
	maxOctet = 255
)

// newAddressPool returns a pool with a random prefix in 127.0.0.0/8.
func newAddressPool() *addressPool {
	octet := func() int { return minOctet + rand.IntN(maxOctet-minOctet) }
	return &addressPool{prefix: fmt.Sprintf("127.%d.%d", octet(), octet())}
}

// nextHost returns the IP address of the next VM.
func (p *addressPool) nextHost(ctx context.Context) string {
	p.hostCount++
	host := fmt.Sprintf("%s.%d", p.prefix, p.hostCount)
	if listener, err := listen(ctx, host); err == nil {
		_ = listener.Close() // only checks that the address can be bound
		return host
	}
	return "127.0.0.1" // the system has a single loopback address
}

// reserve returns a free address on the host and keeps its port bound until
// release.
func (p *addressPool) reserve(ctx context.Context, host string) (qhid.Address, error) {
	listener, err := listen(ctx, host)
	if err != nil {
		return "", qherr.New(qherr.Unavailable, err, "stop other programs that listen on loopback", "no free port on %s", host)
	}
	p.listeners = append(p.listeners, listener)
	return qhid.Address(listener.Addr().String()), nil
}

// release closes all reserved ports, so that the processes can bind them.
func (p *addressPool) release() {
	for _, listener := range p.listeners {
		_ = listener.Close() // no connection was accepted
	}
	p.listeners = nil
}

// listen listens on a free port of the host.
func listen(ctx context.Context, host string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", net.JoinHostPort(host, "0"))
}
