package qhwire

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
)

// MaxFrameSize is the largest size of a frame that is written or read.
const MaxFrameSize qhid.Bytes = 8 << 20

// readBufferSize is the size of the read buffer of a link.
const readBufferSize = 2 << 10

// stream reads and writes frames: the length as a varint, then the message. It
// implements jsonrpc2.ObjectStream.
type stream struct {
	conn    net.Conn
	timeout time.Duration
	reader  *bufio.Reader
	writeMu sync.Mutex
	// lastWrite and lastRead are when the last frame was written and read.
	lastWrite, lastRead atomic.Pointer[time.Time]
	// onMessageWritten is called with the size of each message frame that was
	// written, onHeartbeatWritten with the size of each heartbeat.
	onMessageWritten, onHeartbeatWritten func(size int)
	// frameSize is the size of the last message read. Only the reading
	// goroutine uses it.
	frameSize int
	// readable is closed when reading may start, readerDone after a read failed.
	readable, readerDone chan struct{}
}

func newStream(conn net.Conn, timeout time.Duration, onMessageWritten, onHeartbeatWritten func(int)) *stream {
	s := &stream{
		conn:               conn,
		timeout:            timeout,
		reader:             bufio.NewReaderSize(conn, readBufferSize),
		onMessageWritten:   onMessageWritten,
		onHeartbeatWritten: onHeartbeatWritten,
		readable:           make(chan struct{}),
		readerDone:         make(chan struct{}),
	}
	now := time.Now()
	s.lastWrite.Store(&now)
	s.lastRead.Store(&now)
	return s
}

// WriteObject writes a message as one frame.
func (s *stream) WriteObject(obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(data) > int(MaxFrameSize) {
		return qherr.New(qherr.BadInput, nil, "send less in one message", "message of %d bytes exceeds the limit of %d", len(data), MaxFrameSize)
	}
	frame := binary.AppendUvarint(make([]byte, 0, len(data)+binary.MaxVarintLen32), uint64(len(data)))
	return s.write(append(frame, data...), s.onMessageWritten)
}

// writeHeartbeat writes an empty frame.
func (s *stream) writeHeartbeat() error { return s.write([]byte{0}, s.onHeartbeatWritten) }

func (s *stream) write(frame []byte, onWritten func(int)) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	now := time.Now()
	if err := s.conn.SetWriteDeadline(now.Add(s.timeout)); err != nil {
		return err
	}
	if _, err := s.conn.Write(frame); err != nil {
		_ = s.conn.Close() // a partly written frame leaves the stream unusable
		return err
	}
	s.lastWrite.Store(&now)
	onWritten(len(frame))
	return nil
}

// ReadObject reads the next message and skips heartbeats. It must not be called
// again after an error.
func (s *stream) ReadObject(obj any) error {
	<-s.readable
	frame, err := s.readMessage()
	if err == nil {
		err = json.Unmarshal(frame, obj)
	}
	if err != nil {
		close(s.readerDone)
	}
	return err
}

func (s *stream) readMessage() ([]byte, error) {
	for {
		frame, err := readFrame(s.reader)
		if err != nil {
			return nil, err
		}
		now := time.Now()
		s.lastRead.Store(&now)
		if len(frame) > 0 {
			s.frameSize = len(frame)
			return frame, nil
		}
	}
}

// readFrame reads the next frame. Its buffer grows with the bytes that arrive, so
// that a peer cannot cause a large allocation by a length prefix alone.
func readFrame(reader *bufio.Reader) ([]byte, error) {
	size, err := binary.ReadUvarint(reader)
	if err != nil {
		return nil, err
	}
	if size > uint64(MaxFrameSize) {
		return nil, qherr.New(qherr.BadInput, nil, "check which program connects to the peer address", "frame of %d bytes exceeds the limit of %d", size, MaxFrameSize)
	}
	frame, err := io.ReadAll(io.LimitReader(reader, int64(size)))
	if err == nil && len(frame) < int(size) {
		err = io.ErrUnexpectedEOF
	}
	return frame, err
}

// Close closes the connection.
func (s *stream) Close() error { return s.conn.Close() }
