package qhproxy

import (
	"sync"
	"time"
)

// callerConns has the open connections of callers. The zero value is ready to use. It is
// safe for concurrent use.
type callerConns struct {
	mu   sync.Mutex
	open map[*callerConn]struct{}
}

func (s *callerConns) add(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = make(map[*callerConn]struct{})
	}
	s.open[c] = struct{}{}
}

func (s *callerConns) remove(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// closeIdle closes the connections on which no request is being read or handled, and the
// others once that is so. New ones and those whose requests cannot be told apart stay open.
func (s *callerConns) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.endWhenIdle()
	}
}

// endWhenIdle makes the server read no further request. A request of which a byte was read
// is still handled.
func (c *callerConn) endWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = c.served > 0
	if c.isEnded() {
		_ = c.Conn.SetReadDeadline(time.Now()) // ends the read that waits for the next request; a broken connection ends by itself
	}
}

// isEnded reports whether the connection ends and is idle. c.mu must be held.
func (c *callerConn) isEnded() bool {
	return c.ending && !c.serving && c.splitter.started == c.served && c.splitter.atBoundary() && len(c.buffered) == 0
}
