package qhforward

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// bufferSize is how many bytes one read takes.
const bufferSize = 32 << 10

// link is one connection through the forwarder.
type link struct {
	near, far net.Conn
	silent    atomic.Bool
	// halves counts the directions that have ended.
	halves atomic.Int32
	once   sync.Once
	// closed is closed when the link is, or when both directions have ended.
	closed chan struct{}
}

func (l *link) close() {
	l.once.Do(func() {
		close(l.closed)
		_ = l.near.Close()
		_ = l.far.Close()
	})
}

// halfClosed counts a direction that has ended, and closes the link after both.
func (l *link) halfClosed() {
	const both = 2
	if l.halves.Add(1) == both {
		l.close()
	}
}

// pass copies bytes one way until the sender ends, the link is closed or ctx ends.
func (f *Forwarder) pass(ctx context.Context, l *link, to, from net.Conn) {
	defer l.halfClosed()
	buf := make([]byte, bufferSize)
	for {
		size, readErr := from.Read(buf)
		if !f.wait(ctx, l) {
			return
		}
		if l.silent.Load() {
			if readErr != nil {
				l.hold(ctx)
				return
			}
			continue
		}
		if _, err := to.Write(buf[:size]); err != nil {
			l.close()
			return
		}
		f.bytes.Add(int64(size))
		if readErr != nil {
			closeWrite(to)
			return
		}
	}
}

// wait waits until bytes pass, and tells whether the link is still open.
func (f *Forwarder) wait(ctx context.Context, l *link) bool {
	select {
	case <-f.gate():
		return true
	case <-l.closed:
		return false
	case <-ctx.Done():
		return false
	}
}

// hold keeps the other end of a silent link open: a close does not pass either.
func (l *link) hold(ctx context.Context) {
	select {
	case <-l.closed:
	case <-ctx.Done():
	}
}

func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
