package qhforward

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// bufferSize is the size of the read buffer in bytes.
const bufferSize = 32 << 10

// connPair is a client connection and the corresponding connection to the target.
type connPair struct {
	client, target net.Conn
	blackholed     atomic.Bool
	// endedDirections counts the directions that reached the end of the stream or
	// failed.
	endedDirections atomic.Int32
	closeOnce       sync.Once
	// closed is closed when the pair is closed, explicitly or because both
	// directions have ended.
	closed chan struct{}
}

func (p *connPair) close() {
	p.closeOnce.Do(func() {
		close(p.closed)
		_ = p.client.Close()
		_ = p.target.Close()
	})
}

// directionEnded counts an ended direction, and closes the pair after both.
func (p *connPair) directionEnded() {
	const bothDirections = 2
	if p.endedDirections.Add(1) == bothDirections {
		p.close()
	}
}

// copyBytes copies bytes in one direction until the sender closes, the pair is
// closed or ctx is done.
func (f *Forwarder) copyBytes(ctx context.Context, pair *connPair, to, from net.Conn) {
	defer pair.directionEnded()
	buf := make([]byte, bufferSize)
	for {
		size, readErr := from.Read(buf)
		if !f.waitWhilePaused(ctx, pair) {
			return
		}
		if pair.blackholed.Load() {
			if readErr != nil {
				pair.waitClosed(ctx)
				return
			}
			continue
		}
		if _, err := to.Write(buf[:size]); err != nil {
			pair.close()
			return
		}
		f.bytes.Add(int64(size))
		if readErr != nil {
			closeWrite(to)
			return
		}
	}
}

// waitWhilePaused blocks while the forwarder is paused. It returns false if the
// pair was closed or ctx is done.
func (f *Forwarder) waitWhilePaused(ctx context.Context, pair *connPair) bool {
	select {
	case <-f.resumedChan():
		return true
	case <-pair.closed:
		return false
	case <-ctx.Done():
		return false
	}
}

// waitClosed blocks until the pair is closed or ctx is done. While it blocks,
// the other side of a black-holed pair stays open: a close is dropped like all
// bytes.
func (p *connPair) waitClosed(ctx context.Context) {
	select {
	case <-p.closed:
	case <-ctx.Done():
	}
}

// closeWrite signals the end of the stream to the peer.
func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
