package peer

import (
	"crypto/rand"
	"encoding/json"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"lavenderdeal/internal/secret"
	"lavenderdeal/schema/messages"
)

const (
	// maxHello is the maximum size of a hello message in bytes.
	maxHello  = 512
	nonceSize = 32
)

var errWrongKey = errors.New("the peer did not prove that it has the shared key")

// serverHandshake is the server side of the handshake. It sends a nonce, verifies the
// client's HMAC of both nonces and answers with its own.
func serverHandshake(conn net.Conn, key secret.Key) error {
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

// clientHandshake is the client side of the handshake. It sends a nonce and an HMAC of
// both nonces, and verifies the server's HMAC of them.
func clientHandshake(conn net.Conn, key secret.Key) error {
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
	_, err = writeFrame(w, data)
	return err
}

func readHello(r io.Reader) (messages.Hello, error) {
	var hello messages.Hello
	data, _, err := readFrame(r, maxHello)
	if err != nil {
		return hello, err
	}
	if err := json.Unmarshal(data, &hello); err != nil {
		return hello, errors.Wrap(err, "hello")
	}
	if len(hello.Nonce) != nonceSize {
		return hello, errors.New("hello: the nonce does not have 32 bytes")
	}
	return hello, nil
}
