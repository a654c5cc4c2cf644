// Package peer sends control messages between nodes with JSON-RPC over persistent TCP
// connections.
//
// # Messages
//
// An [Endpoint] listens for connections of other nodes and keeps the connections to
// them open. Both sides of a connection prove that they have the shared key before the
// first message. Methods are handled by typed functions:
//
//	var mux peer.Mux
//	peer.Handle(&mux, "gossip", func(ctx context.Context, q messages.Gossip) (messages.Gossip, error) {
//		return table.Merge(q), nil
//	})
//	endpoint, err := peer.Listen(addr, secret.New(key), &mux)
//	answer, err := peer.Call[messages.Gossip](ctx, endpoint, to, "gossip", request)
//
// If a connection breaks, all open calls on it fail, and it is unknown whether the
// other node processed them. Every control message can be sent again.
package peer

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/errgroup"

	"lavenderdeal/internal/secret"
)

const (
	dialTimeout      = 1 * time.Second
	handshakeTimeout = 2 * time.Second
	// writeTimeout is the time after which a connection is closed whose peer does not
	// read.
	writeTimeout = 2 * time.Second
	// messageTimeout is the time in which a message arrives that has begun. The longest one
	// takes 5 s over a link of 7 Mbit/s.
	messageTimeout = 10 * time.Second
	// idleTimeout is the time after which an unused connection is closed. A member of a
	// zone of 160 is probed by each other member about every three minutes.
	idleTimeout = 5 * time.Minute
	// maxOutgoing bounds the connections that the node opened. At the limit, the least
	// recently used one is closed.
	maxOutgoing = 512
	// maxIncoming bounds the connections that other nodes opened.
	maxIncoming = 2048
	// maxHandlers bounds the messages of one connection that are handled concurrently.
	maxHandlers = 32
)

// Mux holds the handlers of messages by method. It must not change after Listen.
type Mux struct {
	handlers map[string]handler
}

type handler func(ctx context.Context, params json.RawMessage) (any, error)

// Handle registers the handler of a method.
func Handle[Q, A any](mux *Mux, method string, fn func(context.Context, Q) (A, error)) {
	if mux.handlers == nil {
		mux.handlers = make(map[string]handler)
	}
	mux.handlers[method] = func(ctx context.Context, params json.RawMessage) (any, error) {
		var request Q
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: method + ": " + err.Error()}
		}
		return fn(ctx, request)
	}
}

// Counts holds the traffic counters of an endpoint since it started.
type Counts struct {
	BytesIn  uint64 `json:"bytesIn"`
	BytesOut uint64 `json:"bytesOut"`
	// KeyRefused counts incoming connections whose peer did not prove the shared key.
	KeyRefused uint64 `json:"keyRefused"`
	// Malformed counts messages that could not be decoded or were too long.
	Malformed uint64 `json:"malformed"`
	// Refused counts incoming connections that were closed at the limit of open ones.
	Refused uint64 `json:"refused"`
	// ByMethod is the traffic of requests and answers by method, including their
	// frames. Handshakes are counted as [MethodHandshake].
	ByMethod map[string]MethodCounts `json:"byMethod"`
}

// MethodHandshake is the key of the handshakes in [Counts.ByMethod].
const MethodHandshake = "handshake"

// MethodCounts is the traffic of one method.
type MethodCounts struct {
	BytesIn  uint64 `json:"bytesIn"`
	BytesOut uint64 `json:"bytesOut"`
	// Messages counts requests and answers in both directions.
	Messages uint64 `json:"messages"`
}

// Endpoint sends and receives the control messages of a node. It is safe for concurrent
// use. Lock order: mu is the only lock.
type Endpoint struct {
	key    secret.Key
	mux    *Mux
	dialer Dialer
	// idleTimeout is the time after which an unused outgoing connection is closed.
	idleTimeout time.Duration
	listener    net.Listener
	addr        netip.AddrPort
	ctx         context.Context
	cancel      context.CancelFunc
	group       errgroup.Group

	bytesIn, bytesOut, keyRefused, malformed, refused atomic.Uint64

	// openIncoming is the number of incoming connections that are open.
	openIncoming atomic.Int64

	mu       sync.Mutex
	outgoing map[netip.AddrPort]*connection
	incoming map[*jsonrpc2.Conn]struct{}
	byMethod map[string]MethodCounts
	closed   bool
}

// connection is a connection to another node, or the attempt to open one. The fields
// conn, raw and err are set before ready is closed.
type connection struct {
	ready    chan struct{}
	conn     *jsonrpc2.Conn
	raw      *countedConn
	err      error
	lastUsed time.Time
	// calls is the number of calls that wait for the connection or for an answer on it.
	calls int
}

// Dialer opens connections, as net.Dialer does.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Option configures an endpoint.
type Option func(*Endpoint)

// WithDialer sets the dialer of connections to other nodes.
func WithDialer(d Dialer) Option { return func(e *Endpoint) { e.dialer = d } }

// WithIdleTimeout sets the time after which a connection to another node that is not used
// is closed. The default is 5 minutes.
func WithIdleTimeout(d time.Duration) Option { return func(e *Endpoint) { e.idleTimeout = d } }

// Listen starts an endpoint. Port 0 selects a free port; see [Endpoint.Addr].
func Listen(addr netip.AddrPort, key secret.Key, mux *Mux, opts ...Option) (*Endpoint, error) {
	listener, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	e := &Endpoint{
		key:      key,
		mux:      mux,
		listener: listener,
		addr:     netip.MustParseAddrPort(listener.Addr().String()),
		outgoing: make(map[netip.AddrPort]*connection),
		incoming: make(map[*jsonrpc2.Conn]struct{}),
		byMethod: make(map[string]MethodCounts),
		dialer:   &net.Dialer{Timeout: dialTimeout},

		idleTimeout: idleTimeout,
	}
	for _, opt := range opts {
		opt(e)
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.group.Go(e.accept)
	e.group.Go(e.closeIdle)
	return e, nil
}

// Addr returns the address on which the endpoint listens.
func (e *Endpoint) Addr() netip.AddrPort { return e.addr }

// Counts returns the current traffic counters.
func (e *Endpoint) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	byMethod := make(map[string]MethodCounts, len(e.byMethod))
	maps.Copy(byMethod, e.byMethod)
	return Counts{
		BytesIn:    e.bytesIn.Load(),
		BytesOut:   e.bytesOut.Load(),
		KeyRefused: e.keyRefused.Load(),
		Malformed:  e.malformed.Load(),
		Refused:    e.refused.Load(),
		ByMethod:   byMethod,
	}
}

// Close closes all connections and waits until they have ended. It cancels the context
// of the handlers that are running and does not wait for them.
func (e *Endpoint) Close() error {
	e.cancel()
	err := e.listener.Close()
	e.mu.Lock()
	e.closed = true
	var open []*jsonrpc2.Conn
	for conn := range e.incoming {
		open = append(open, conn)
	}
	for _, c := range e.outgoing {
		if c.isOpen() {
			open = append(open, c.conn)
		}
	}
	e.mu.Unlock()
	for _, conn := range open {
		_ = conn.Close()
	}
	_ = e.group.Wait()
	return err
}

// Call sends a request to the node at the address and waits for its answer. It opens a
// connection if there is none. After an error, the other node may have processed the
// request.
func Call[A, Q any](ctx context.Context, e *Endpoint, to netip.AddrPort, method string, request Q) (A, error) {
	var answer A
	params, err := json.Marshal(request)
	if err != nil {
		return answer, errors.Wrapf(err, "encode %s", method)
	}
	c, err := e.connect(ctx, to)
	if err != nil {
		return answer, err
	}
	defer e.release(c)
	receivedBefore := c.raw.received.Load()
	if err := c.conn.Call(ctx, method, json.RawMessage(params), &answer); err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && c.raw.received.Load() == receivedBefore {
			e.drop(to, c)
		}
		return answer, errors.Wrapf(err, "%s to %s", method, to)
	}
	return answer, nil
}

// release ends the use of a connection by one call.
func (e *Endpoint) release(c *connection) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c.calls--
	c.lastUsed = time.Now()
}

// drop closes a connection on which no data arrived before a call timed out. The peer
// may be gone without closing the connection, and a new one may work.
func (e *Endpoint) drop(to netip.AddrPort, c *connection) {
	e.remove(to, c)
	_ = c.conn.Close()
}

// count adds a message to the counters of its method.
func (e *Endpoint) count(method string, in, out int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := e.byMethod[method]
	n.BytesIn += uint64(in)
	n.BytesOut += uint64(out)
	n.Messages++
	e.byMethod[method] = n
}

// connect returns the open connection to a node or opens one. Concurrent callers wait
// for the same attempt. The caller must call release unless there was an error.
func (e *Endpoint) connect(ctx context.Context, to netip.AddrPort) (*connection, error) {
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return nil, errors.New("the endpoint is closed")
	}
	c, ok := e.outgoing[to]
	if !ok {
		evicted := e.evictLocked()
		c = &connection{ready: make(chan struct{})}
		e.outgoing[to] = c
		if evicted != nil {
			e.group.Go(func() error { _ = evicted.Close(); return nil })
		}
		e.group.Go(func() error { e.open(c, to); return nil })
	}
	c.lastUsed = time.Now()
	c.calls++
	e.mu.Unlock()
	select {
	case <-c.ready:
		if c.err != nil {
			e.release(c)
			return nil, c.err
		}
		return c, nil
	case <-ctx.Done():
		e.release(c)
		return nil, errors.Wrapf(ctx.Err(), "connect to %s", to)
	}
}

// open opens the connection and waits until it ends. It then removes it from outgoing.
func (e *Endpoint) open(c *connection, to netip.AddrPort) {
	c.conn, c.raw, c.err = e.dial(to)
	close(c.ready)
	if c.err != nil {
		e.remove(to, c)
		return
	}
	<-c.conn.DisconnectNotify()
	e.remove(to, c)
}

func (e *Endpoint) dial(to netip.AddrPort) (*jsonrpc2.Conn, *countedConn, error) {
	ctx, cancel := context.WithTimeout(e.ctx, dialTimeout)
	defer cancel()
	raw, err := e.dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, nil, errors.Wrapf(err, "connect to %s", to)
	}
	counted := e.counted(raw)
	err = e.handshake(counted, clientHandshake)
	if err != nil {
		_ = raw.Close()
		return nil, nil, errors.Wrapf(err, "handshake with %s", to)
	}
	return e.start(counted), counted, nil
}

// handshake runs one side of the handshake and counts its bytes. It fails at once when the
// endpoint is closed.
func (e *Endpoint) handshake(conn *countedConn, side func(net.Conn, secret.Key) error) error {
	stop := context.AfterFunc(e.ctx, func() { _ = conn.Close() })
	defer stop()
	err := side(conn, e.key)
	e.countHandshake(conn)
	return err
}

// evictLocked removes the connection that is to be closed before another one is opened. It
// returns nil if the limit is not reached. Connections with open calls are closed only if
// there are no others.
func (e *Endpoint) evictLocked() *jsonrpc2.Conn {
	if len(e.outgoing) < maxOutgoing {
		return nil
	}
	var oldest *connection
	var oldestAddr netip.AddrPort
	for addr, c := range e.outgoing {
		if !c.isOpen() {
			continue
		}
		isUsed := c.calls > 0
		if oldest == nil || isUsed != (oldest.calls > 0) && !isUsed || isUsed == (oldest.calls > 0) && c.lastUsed.Before(oldest.lastUsed) {
			oldest, oldestAddr = c, addr
		}
	}
	if oldest == nil {
		return nil
	}
	delete(e.outgoing, oldestAddr)
	return oldest.conn
}

// isOpen reports whether the connection was opened.
func (c *connection) isOpen() bool {
	select {
	case <-c.ready:
		return c.conn != nil
	default:
		return false
	}
}

func (e *Endpoint) remove(to netip.AddrPort, c *connection) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.outgoing[to] == c {
		delete(e.outgoing, to)
	}
}

func (e *Endpoint) accept() error {
	for {
		raw, err := e.listener.Accept()
		if err != nil {
			if e.ctx.Err() != nil {
				return nil
			}
			// Accept fails repeatedly if file descriptors run out, for example. The
			// delay avoids a busy loop.
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if e.openIncoming.Add(1) > maxIncoming {
			e.openIncoming.Add(-1)
			e.refused.Add(1)
			_ = raw.Close()
			continue
		}
		e.group.Go(func() error {
			defer e.openIncoming.Add(-1)
			e.serve(raw)
			return nil
		})
	}
}

func (e *Endpoint) serve(raw net.Conn) {
	counted := e.counted(raw)
	if err := e.handshake(counted, serverHandshake); err != nil {
		e.countRefusal(err)
		_ = raw.Close()
		return
	}
	conn := e.start(counted)
	e.mu.Lock()
	e.incoming[conn] = struct{}{}
	closed := e.closed
	e.mu.Unlock()
	if closed {
		_ = conn.Close()
	}
	<-conn.DisconnectNotify()
	e.mu.Lock()
	delete(e.incoming, conn)
	e.mu.Unlock()
}

// countRefusal counts a failed handshake by its cause. A closed connection or a network
// error is not counted.
func (e *Endpoint) countRefusal(err error) {
	var netErr net.Error
	switch {
	case errors.Is(err, errWrongKey):
		e.keyRefused.Add(1)
	case errors.Is(err, io.EOF), errors.As(err, &netErr):
	default:
		e.malformed.Add(1)
	}
}

// start starts JSON-RPC on a connection after its handshake.
func (e *Endpoint) start(conn *countedConn) *jsonrpc2.Conn {
	_ = conn.SetDeadline(time.Time{})
	conn.handshakeDone = true
	dispatch := &dispatcher{endpoint: e}
	dispatch.group.SetLimit(maxHandlers)
	codec := &codec{endpoint: e, methods: make(map[jsonrpc2.ID]string)}
	return jsonrpc2.NewConn(e.ctx, newStream(conn, codec), dispatch, jsonrpc2.SetLogger(discardLogger{}),
		jsonrpc2.OnSend(codec.beforeSend), jsonrpc2.OnRecv(codec.afterReceive))
}

// closeIdle periodically closes the outgoing connections that were unused for the idle
// timeout.
func (e *Endpoint) closeIdle() error {
	ticker := time.NewTicker(e.idleTimeout / 4)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return nil
		case now := <-ticker.C:
			for _, conn := range e.removeIdle(now) {
				_ = conn.Close()
			}
		}
	}
}

// removeIdle removes the unused connections, so that no call uses them any more, and
// returns them.
func (e *Endpoint) removeIdle(now time.Time) []*jsonrpc2.Conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	var idle []*jsonrpc2.Conn
	for addr, c := range e.outgoing {
		if c.isOpen() && c.calls == 0 && now.Sub(c.lastUsed) > e.idleTimeout {
			delete(e.outgoing, addr)
			idle = append(idle, c.conn)
		}
	}
	return idle
}

// dispatcher calls the handlers for the messages of one connection.
type dispatcher struct {
	endpoint *Endpoint
	group    errgroup.Group
}

// Handle is called by the connection's reader. It blocks while maxHandlers handlers
// are running, which applies backpressure to the sender.
func (d *dispatcher) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	d.group.Go(func() error {
		d.handle(ctx, conn, request)
		return nil
	})
}

func (d *dispatcher) handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	answer, err := d.run(ctx, request)
	if request.Notif {
		return
	}
	if err == nil {
		_ = conn.Reply(ctx, request.ID, answer)
		return
	}
	var refusal *jsonrpc2.Error
	if !errors.As(err, &refusal) {
		refusal = &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	}
	if refusal.Code == jsonrpc2.CodeInvalidParams {
		d.endpoint.malformed.Add(1)
	}
	_ = conn.ReplyWithError(ctx, request.ID, refusal)
}

func (d *dispatcher) run(ctx context.Context, request *jsonrpc2.Request) (answer any, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Newf("%s: %v", request.Method, cause)
		}
	}()
	fn, ok := d.endpoint.mux.handlers[request.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no method " + request.Method}
	}
	if request.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: request.Method + " has no parameters"}
	}
	return fn(ctx, *request.Params)
}

// discardLogger discards the log lines of jsonrpc2. Failures are counted instead.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
