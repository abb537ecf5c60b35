package qhforward

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"quetzalhaven.dev/qhstream"
)

// bufferSize is the size of the read buffer in bytes.
const bufferSize = 32 << 10

// connPair is a client connection and the corresponding connection to the target.
type connPair struct {
	client, target *qhstream.Conn
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

// reset closes the pair like close, but the peers see that their connections were reset.
func (p *connPair) reset() {
	p.closeOnce.Do(func() {
		close(p.closed)
		resetConn(p.client)
		resetConn(p.target)
	})
}

// resetConn closes the connection with a reset.
func resetConn(conn *qhstream.Conn) {
	if tcp, ok := conn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// directionEnded counts an ended direction, and closes the pair after both.
func (p *connPair) directionEnded() {
	const bothDirections = 2
	if p.endedDirections.Add(1) == bothDirections {
		p.close()
	}
}

// copyBytes copies bytes in one direction until the sender closes, the pair is
// closed or ctx is done. If one of the connections fails, both are reset.
func (f *Forwarder) copyBytes(ctx context.Context, pair *connPair, to, from *qhstream.Conn) {
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
			pair.reset()
			return
		}
		f.bytes.Add(int64(size))
		if errors.Is(readErr, io.EOF) {
			closeWrite(to)
			return
		}
		if readErr != nil {
			pair.reset()
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
func closeWrite(conn *qhstream.Conn) {
	if tcp, ok := conn.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
