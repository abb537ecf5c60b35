// Package qhforward implements a TCP forwarder for tests that simulates network
// failures: it can pause, black-hole and close the connections that it forwards.
package qhforward

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhstream"
)

// dialTimeout bounds the time to connect to the target.
const dialTimeout = 5 * time.Second

// Forwarder forwards TCP connections to a target address. It is safe for
// concurrent use.
type Forwarder struct {
	target   qhid.Address
	listener net.Listener
	group    *qhgroup.Group
	bytes    atomic.Int64

	mu    sync.Mutex
	conns map[*connPair]struct{}
	// resumed is closed while the forwarder is not paused.
	resumed chan struct{}
	// disconnected makes the forwarder close new connections.
	disconnected bool
}

// New returns a forwarder to the target that listens on a free port of the
// loopback interface, and a cleanup function, which closes the listener and all
// connections.
func New(ctx context.Context, target qhid.Address) (*Forwarder, func(), error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	group, stop := qhgroup.New(context.WithoutCancel(ctx))
	f := &Forwarder{
		target:   target,
		listener: listener,
		group:    group,
		conns:    make(map[*connPair]struct{}),
		resumed:  make(chan struct{}),
	}
	close(f.resumed)
	group.Go(f.accept)
	return f, func() {
		_ = listener.Close()
		f.Disconnect()
		stop()
	}, nil
}

// Address returns the address on which the forwarder listens.
func (f *Forwarder) Address() qhid.Address { return qhid.Address(f.listener.Addr().String()) }

// Bytes returns the number of bytes forwarded so far in both directions.
func (f *Forwarder) Bytes() qhid.Bytes { return qhid.Bytes(f.bytes.Load()) }

// Pause stops forwarding on open and new connections until Resume. Bytes are
// buffered, not dropped.
func (f *Forwarder) Pause() {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.resumed:
		f.resumed = make(chan struct{})
	default: // already paused
	}
}

// Resume continues forwarding after Pause.
func (f *Forwarder) Resume() {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.resumed: // not paused
	default:
		close(f.resumed)
	}
}

// Blackhole permanently drops all further bytes of the open connections without
// closing them. New connections are not affected.
func (f *Forwarder) Blackhole() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for pair := range f.conns {
		pair.blackholed.Store(true)
	}
}

// Disconnect closes all connections, and each new one until Restore.
func (f *Forwarder) Disconnect() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disconnected = true
	for pair := range f.conns {
		pair.close()
	}
}

// Restore accepts new connections again after Disconnect.
func (f *Forwarder) Restore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disconnected = false
}

// accept serves connections until the listener is closed.
func (f *Forwarder) accept(ctx context.Context) {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.group.Go(func(context.Context) { f.serve(ctx, conn) })
	}
}

// serve connects to the target and copies bytes in both directions.
func (f *Forwarder) serve(ctx context.Context, conn net.Conn) {
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(ctx, "tcp", string(f.target))
	if err != nil {
		_ = conn.Close()
		return
	}
	pair := &connPair{client: qhstream.NewConn(conn), target: qhstream.NewConn(target), closed: make(chan struct{})}
	if !f.add(pair) {
		pair.close()
		return
	}
	group, wait := qhgroup.New(ctx)
	group.Go(func(ctx context.Context) { f.copyBytes(ctx, pair, pair.target, pair.client) })
	f.copyBytes(ctx, pair, pair.client, pair.target)
	pair.waitClosed(ctx)
	pair.close()
	wait()
	f.remove(pair)
}

// add registers a pair. It returns false if the forwarder is disconnected.
func (f *Forwarder) add(pair *connPair) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.disconnected {
		return false
	}
	f.conns[pair] = struct{}{}
	return true
}

func (f *Forwarder) remove(pair *connPair) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, pair)
}

// resumedChan returns a channel that is closed once the forwarder is not
// paused.
func (f *Forwarder) resumedChan() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.resumed
}
