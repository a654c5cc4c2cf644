package peer

import (
	"bufio"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// readBufferSize is enough for most messages. A longer one is read past the buffer.
const readBufferSize = 512

// stream reads and writes the messages of one connection. It has a small buffer, since a
// node of a large fleet has a connection to each other node. Lock order: mu is the only
// lock.
type stream struct {
	conn   *countedConn
	reader *bufio.Reader
	codec  *codec
	// messageTimeout is the time in which a message arrives that has begun.
	messageTimeout time.Duration

	// mu serializes the writes.
	mu sync.Mutex
}

var _ jsonrpc2.ObjectStream = (*stream)(nil)

func newStream(conn *countedConn, c *codec) *stream {
	return &stream{conn: conn, reader: bufio.NewReaderSize(conn, readBufferSize), codec: c, messageTimeout: messageTimeout}
}

// WriteObject writes one message, with one write to the connection.
func (s *stream) WriteObject(v any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.codec.WriteObject(s.conn, v)
}

// ReadObject waits for a message and reads it. A message that has begun must arrive within
// messageTimeout. A peer that goes silent would otherwise keep the part that has arrived in
// memory.
func (s *stream) ReadObject(v any) error {
	if _, err := s.reader.Peek(1); err != nil {
		return s.codec.ReadObject(s.reader, v)
	}
	if err := s.conn.SetReadDeadline(time.Now().Add(s.messageTimeout)); err != nil {
		return err
	}
	if err := s.codec.ReadObject(s.reader, v); err != nil {
		return err
	}
	return s.conn.SetReadDeadline(time.Time{})
}

// Close closes the connection.
func (s *stream) Close() error { return s.conn.Close() }
