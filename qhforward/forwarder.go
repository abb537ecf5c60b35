// Package qhforward is a TCP forwarder for tests. It stands between two ends
// and stops passing bytes, cuts and resumes, as a network between them would.
package qhforward

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
)

// dialTimeout bounds how long the target may take to accept a connection.
const dialTimeout = 5 * time.Second

// Forwarder passes the bytes of every connection that it accepts to a target
// and back.
type Forwarder struct {
	target   qhid.Address
	listener net.Listener
	group    *qhgroup.Group
	bytes    atomic.Int64

	mu    sync.Mutex
	links map[*link]struct{}
	// flowing is closed while bytes pass.
	flowing chan struct{}
	cut     bool
}

// New returns a forwarder to the target that listens on a free port of
// loopback, and its clean-up, which closes all connections.
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
		links:    make(map[*link]struct{}),
		flowing:  make(chan struct{}),
	}
	close(f.flowing)
	group.Go(f.accept)
	return f, func() {
		_ = listener.Close()
		f.Disconnect()
		stop()
	}, nil
}

// Address is where the forwarder listens.
func (f *Forwarder) Address() qhid.Address { return qhid.Address(f.listener.Addr().String()) }

// Bytes returns how many bytes were passed so far, both ways.
func (f *Forwarder) Bytes() qhid.Bytes { return qhid.Bytes(f.bytes.Load()) }

// Pause holds all bytes of open and new connections until Resume.
func (f *Forwarder) Pause() {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.flowing:
		f.flowing = make(chan struct{})
	default: // paused already
	}
}

// Resume passes the bytes that Pause held.
func (f *Forwarder) Resume() {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.flowing: // not paused
	default:
		close(f.flowing)
	}
}

// Blackhole drops all further bytes of the open connections, for good, and leaves
// them open. New connections work.
func (f *Forwarder) Blackhole() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for l := range f.links {
		l.silent.Store(true)
	}
}

// Disconnect closes all connections and each new one until Mend.
func (f *Forwarder) Disconnect() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = true
	for l := range f.links {
		l.close()
	}
}

// Restore lets new connections work again after Cut.
func (f *Forwarder) Restore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = false
}

func (f *Forwarder) accept(ctx context.Context) {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.group.Go(func(context.Context) { f.serve(ctx, conn) })
	}
}

// serve passes bytes between the connection and a new one to the target.
func (f *Forwarder) serve(ctx context.Context, conn net.Conn) {
	dialer := net.Dialer{Timeout: dialTimeout}
	far, err := dialer.DialContext(ctx, "tcp", string(f.target))
	if err != nil {
		_ = conn.Close()
		return
	}
	l := &link{near: conn, far: far, closed: make(chan struct{})}
	if !f.add(l) {
		l.close()
		return
	}
	group, wait := qhgroup.New(ctx)
	group.Go(func(ctx context.Context) { f.pass(ctx, l, far, conn) })
	f.pass(ctx, l, conn, far)
	l.hold(ctx)
	l.close()
	wait()
	f.remove(l)
}

func (f *Forwarder) add(l *link) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut {
		return false
	}
	f.links[l] = struct{}{}
	return true
}

func (f *Forwarder) remove(l *link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.links, l)
}

func (f *Forwarder) gate() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.flowing
}
