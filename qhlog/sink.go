package qhlog

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"quetzalhaven.dev/qhgroup"
)

const (
	// sinkBytes bounds the lines that wait to be written. What went well has half
	// of it, so that it never takes the place of what failed.
	sinkBytes = 1 << 20
	// flushBound is how long the clean-up waits for what is left.
	flushBound = time.Second
)

// sink holds lines until they are written, so that no call waits for the output.
// A line that finds no room is dropped and counted, and a line tells how many.
type sink struct {
	out io.Writer

	mu sync.Mutex
	// waiting has whole lines.
	waiting []byte
	// dropped counts since it was last told.
	dropped int
	// wake has room for one note that there is something to write.
	wake chan struct{}
	// idle is closed and replaced when all was written.
	idle chan struct{}
}

// newSink returns a sink and its clean-up, which writes what waits.
func newSink(out io.Writer) (*sink, func()) {
	s := &sink{out: out, wake: make(chan struct{}, 1), idle: make(chan struct{})}
	group, stop := qhgroup.New(context.Background())
	group.Go(s.run)
	return s, func() {
		s.drain()
		stop()
	}
}

// run writes what waits until the context ends.
func (s *sink) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			s.flush()
		}
	}
}

func (s *sink) flush() {
	s.mu.Lock()
	lines, dropped := s.waiting, s.dropped
	s.waiting, s.dropped = nil, 0
	s.mu.Unlock()
	if dropped > 0 {
		lines = append(lines, fmt.Sprintf("{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"count\":%d}\n", dropped)...)
	}
	_, _ = s.out.Write(lines) // there is nowhere else to say that it failed
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		close(s.idle)
		s.idle = make(chan struct{})
	}
}

// add takes a line unless more than bound bytes wait.
func (s *sink) add(line []byte, bound int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting)+len(line) > bound {
		s.dropped++
	} else {
		s.waiting = append(s.waiting, line...)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// drain waits until all was written, for a bounded time.
func (s *sink) drain() {
	s.mu.Lock()
	idle, empty := s.idle, len(s.waiting) == 0
	s.mu.Unlock()
	if empty {
		return
	}
	select {
	case <-idle:
	case <-time.After(flushBound):
	}
}

// writer is one way into a sink.
type writer struct {
	sink  *sink
	bound int
}

// Write takes one line. It never waits and never fails.
func (w writer) Write(line []byte) (int, error) {
	w.sink.add(line, w.bound)
	return len(line), nil
}

// Sync does nothing; the clean-up of the sink writes what waits.
func (w writer) Sync() error { return nil }
