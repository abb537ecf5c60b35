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
	// maxQueuedBytes bounds the size of the queued lines. Levels below warn may
	// use half of it, so that there is always room for warnings and errors.
	maxQueuedBytes = 1 << 20
	// flushTimeout bounds how long the cleanup waits for queued lines.
	flushTimeout = time.Second
)

// sink queues lines and writes them in the background, so that logging never
// blocks on the output. Lines that exceed the limit are dropped, and their
// number is logged.
type sink struct {
	out io.Writer

	mu sync.Mutex
	// queued has the lines that are not written yet.
	queued []byte
	// dropped counts the lines dropped since the last report.
	dropped int
	// wake holds one signal that the queue changed.
	wake chan struct{}
	// idle is closed and replaced once the queue is empty.
	idle chan struct{}
}

// newSink returns a sink and a cleanup function, which writes the queued lines.
func newSink(out io.Writer) (*sink, func()) {
	s := &sink{out: out, wake: make(chan struct{}, 1), idle: make(chan struct{})}
	group, stop := qhgroup.New(context.Background())
	group.Go(s.run)
	return s, func() {
		s.drain()
		stop()
	}
}

// run writes queued lines until the context ends.
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

// flush writes the queued lines and the number of dropped ones.
func (s *sink) flush() {
	s.mu.Lock()
	lines, dropped := s.queued, s.dropped
	s.queued, s.dropped = nil, 0
	s.mu.Unlock()
	if dropped > 0 {
		lines = append(lines, fmt.Sprintf("{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"count\":%d}\n", dropped)...)
	}
	_, _ = s.out.Write(lines) // a failure cannot be logged anywhere else
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queued) == 0 {
		close(s.idle)
		s.idle = make(chan struct{})
	}
}

// add queues a line, or drops it if more than limit bytes would be queued.
func (s *sink) add(line []byte, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queued)+len(line) > limit {
		s.dropped++
	} else {
		s.queued = append(s.queued, line...)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// drain waits until the queue is empty, at most for flushTimeout.
func (s *sink) drain() {
	s.mu.Lock()
	idle, empty := s.idle, len(s.queued) == 0
	s.mu.Unlock()
	if empty {
		return
	}
	select {
	case <-idle:
	case <-time.After(flushTimeout):
	}
}

// sinkWriter is a zapcore.WriteSyncer that adds lines to a sink up to its
// limit.
type sinkWriter struct {
	sink  *sink
	limit int
}

// Write queues one line. It never blocks and never fails.
func (w sinkWriter) Write(line []byte) (int, error) {
	w.sink.add(line, w.limit)
	return len(line), nil
}

// Sync does nothing; the cleanup of the sink writes the queued lines.
func (w sinkWriter) Sync() error { return nil }
