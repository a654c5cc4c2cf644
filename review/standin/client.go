package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// outcome is how a client's attempt ended.
type outcome struct {
	status int
	signed bool
	// closed is set when the connection ended without a whole answer, before the deadline.
	closed bool
	// kept is set when the connection had served a request before.
	kept bool
	err  error
	// text is the body of an answer that is no success.
	text string
}

// client sends one request after the other over one connection, which it keeps.
type client struct {
	node *node
	conn net.Conn
	in   *bufio.Reader
	used bool
}

var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+lastID.Add(1)) }

// do sends a request and waits for the answer until the deadline. The pacer, which may be
// nil, limits how fast the body is sent.
func (c *client) do(id, method, path string, body []byte, deadline time.Duration, p *pacer) outcome {
	end := time.Now().Add(deadline)
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", c.node.ip, portCaller), min(time.Second, deadline))
		if err != nil {
			return outcome{err: err}
		}
		c.conn, c.in, c.used = conn, bufio.NewReader(conn), false
	}
	o := outcome{kept: c.used}
	_ = c.conn.SetDeadline(end)
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, host, names.RequestID, id, names.TimeLeft, deadline.Milliseconds())
	if method != http.MethodGet {
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	_, err := io.WriteString(c.conn, head+"\r\n")
	if err == nil {
		err = p.write(c.conn, body)
	}
	var answer *http.Response
	if err == nil {
		answer, err = http.ReadResponse(c.in, &http.Request{Method: method})
	}
	if err == nil {
		o.status, o.signed = answer.StatusCode, answer.Header.Get(names.Signature) != ""
		var text []byte
		text, err = io.ReadAll(answer.Body)
		answer.Body.Close()
		if o.status != http.StatusOK {
			o.text = strings.TrimSpace(string(text))
		}
	}
	c.used = true
	if err != nil {
		o.err, o.closed = err, !errors.Is(err, os.ErrDeadlineExceeded)
	}
	if err != nil || answer.Close {
		c.close()
	}
	return o
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// pacer limits what all clients together send over the link of a machine.
type pacer struct {
	bytesPerSecond float64

	mu   sync.Mutex
	next time.Time
}

// paceBytes is how much is sent at once.
const paceBytes = 64 << 10

// write writes a body at the pace of the link. A nil pacer does not limit it.
func (p *pacer) write(to io.Writer, body []byte) error {
	if p == nil {
		_, err := to.Write(body)
		return err
	}
	for len(body) > 0 {
		n := min(len(body), paceBytes)
		p.mu.Lock()
		now := time.Now()
		if p.next.Before(now) {
			p.next = now
		}
		at := p.next
		p.next = p.next.Add(time.Duration(float64(n) / p.bytesPerSecond * float64(time.Second)))
		p.mu.Unlock()
		time.Sleep(time.Until(at))
		if _, err := to.Write(body[:n]); err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}
