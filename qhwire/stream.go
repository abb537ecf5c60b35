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

// MaxFrame is the largest frame that is written or read.
const MaxFrame qhid.Bytes = 8 << 20

// readBuffer is the size of a link's read buffer.
const readBuffer = 2 << 10

// stream writes and reads frames: the length as a varint, then the message.
type stream struct {
	conn    net.Conn
	timeout time.Duration
	reader  *bufio.Reader
	writing sync.Mutex
	// wrote and read are when the last frame went and came.
	wrote, read atomic.Pointer[time.Time]
	// sent is told the size of each message that was written, beaten of each heartbeat.
	sent, beaten func(size int)
	// received is the size of the last frame. Only the reader uses it.
	received int
	// open is closed when the reader may begin, ended when it has ended.
	open, ended chan struct{}
}

func newStream(conn net.Conn, timeout time.Duration, sent, beaten func(int)) *stream {
	s := &stream{
		conn:    conn,
		timeout: timeout,
		reader:  bufio.NewReaderSize(conn, readBuffer),
		sent:    sent,
		beaten:  beaten,
		open:    make(chan struct{}),
		ended:   make(chan struct{}),
	}
	now := time.Now()
	s.wrote.Store(&now)
	s.read.Store(&now)
	return s
}

// WriteObject writes one message as a frame.
func (s *stream) WriteObject(obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(data) > int(MaxFrame) {
		return qherr.New(qherr.BadInput, nil, "send less in one message", "message of %d bytes is above the limit of %d", len(data), MaxFrame)
	}
	frame := binary.AppendUvarint(make([]byte, 0, len(data)+binary.MaxVarintLen32), uint64(len(data)))
	return s.write(append(frame, data...), s.sent)
}

// beat writes a heartbeat.
func (s *stream) beat() error { return s.write([]byte{0}, s.beaten) }

func (s *stream) write(frame []byte, count func(int)) error {
	s.writing.Lock()
	defer s.writing.Unlock()
	now := time.Now()
	if err := s.conn.SetWriteDeadline(now.Add(s.timeout)); err != nil {
		return err
	}
	if _, err := s.conn.Write(frame); err != nil {
		_ = s.conn.Close() // a frame cut short leaves the stream unusable
		return err
	}
	s.wrote.Store(&now)
	count(len(frame))
	return nil
}

// ReadObject reads the next message and passes over heartbeats. The reader does
// not come back after an error.
func (s *stream) ReadObject(obj any) error {
	<-s.open
	frame, err := s.next()
	if err == nil {
		err = json.Unmarshal(frame, obj)
	}
	if err != nil {
		close(s.ended)
	}
	return err
}

func (s *stream) next() ([]byte, error) {
	for {
		frame, err := readFrame(s.reader)
		if err != nil {
			return nil, err
		}
		now := time.Now()
		s.read.Store(&now)
		if len(frame) > 0 {
			s.received = len(frame)
			return frame, nil
		}
	}
}

// readFrame returns the next frame. It allocates no more than has arrived, so
// that a length alone costs nothing.
func readFrame(reader *bufio.Reader) ([]byte, error) {
	size, err := binary.ReadUvarint(reader)
	if err != nil {
		return nil, err
	}
	if size > uint64(MaxFrame) {
		return nil, qherr.New(qherr.BadInput, nil, "check what connects to the peers' port", "frame of %d bytes is above the limit of %d", size, MaxFrame)
	}
	frame, err := io.ReadAll(io.LimitReader(reader, int64(size)))
	if err == nil && len(frame) < int(size) {
		err = io.ErrUnexpectedEOF
	}
	return frame, err
}

// Close closes the connection.
func (s *stream) Close() error { return s.conn.Close() }
