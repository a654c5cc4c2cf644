package peer

import (
	"bufio"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"lavenderdeal/internal/secret"
	"lavenderdeal/schema/messages"
)

const (
	// maxMessage is the longest message in bytes; a transfer of chunks stays
	// below it.
	maxMessage = 4 << 20
	maxHello   = 512
	nonceSize  = 32
)

var (
	errWrongKey = errors.New("the other side did not prove the shared key")
	errTooLong  = errors.New("message is too long")
)

// limitedCodec frames each message by its length.
type limitedCodec struct{}

func (limitedCodec) WriteObject(w io.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return writeFrame(w, data)
}

func (limitedCodec) ReadObject(r *bufio.Reader, v any) error {
	data, err := readFrame(r, maxMessage)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}

func writeFrame(w io.Writer, data []byte) error {
	if len(data) > maxMessage {
		return errTooLong
	}
	frame := make([]byte, 4, 4+len(data))
	binary.BigEndian.PutUint32(frame, uint32(len(data)))
	_, err := w.Write(append(frame, data...))
	return err
}

func readFrame(r io.Reader, limit uint32) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > limit {
		return nil, errTooLong
	}
	data := make([]byte, n)
	_, err := io.ReadFull(r, data)
	return data, err
}

// proveAsServer sends a nonce, checks the client's proof of it and proves the
// client's nonce in turn.
func proveAsServer(conn net.Conn, key secret.Key) error {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	own := newNonce()
	if err := sendHello(conn, messages.Hello{Nonce: own, Proof: []byte{}}); err != nil {
		return err
	}
	hello, err := readHello(conn)
	if err != nil {
		return err
	}
	if !key.Verify(string(hello.Proof), "client", string(own), string(hello.Nonce)) {
		return errWrongKey
	}
	proof := key.Sign("server", string(hello.Nonce), string(own))
	return sendHello(conn, messages.Hello{Nonce: own, Proof: []byte(proof)})
}

func proveAsClient(conn net.Conn, key secret.Key) error {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	hello, err := readHello(conn)
	if err != nil {
		return err
	}
	own := newNonce()
	proof := key.Sign("client", string(hello.Nonce), string(own))
	if err := sendHello(conn, messages.Hello{Nonce: own, Proof: []byte(proof)}); err != nil {
		return err
	}
	reply, err := readHello(conn)
	if err != nil {
		return err
	}
	if !key.Verify(string(reply.Proof), "server", string(own), string(hello.Nonce)) {
		return errWrongKey
	}
	return nil
}

func newNonce() []byte {
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce)
	return nonce
}

func sendHello(w io.Writer, hello messages.Hello) error {
	data, err := json.Marshal(hello)
	if err != nil {
		return err
	}
	return writeFrame(w, data)
}

func readHello(r io.Reader) (messages.Hello, error) {
	var hello messages.Hello
	data, err := readFrame(r, maxHello)
	if err != nil {
		return hello, err
	}
	if err := json.Unmarshal(data, &hello); err != nil {
		return hello, errors.Wrap(err, "hello")
	}
	if len(hello.Nonce) != nonceSize {
		return hello, errors.New("hello has no nonce of 32 bytes")
	}
	return hello, nil
}

// countedConn counts the bytes of a connection for its endpoint.
type countedConn struct {
	net.Conn
	endpoint *Endpoint
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.endpoint.bytesIn.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.endpoint.bytesOut.Add(uint64(n))
	return n, err
}
