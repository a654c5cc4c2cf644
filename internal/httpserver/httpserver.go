// Package httpserver is an HTTP server on top of go-zero's rest. It does without
// rest's middlewares and signal handling, which would refuse, change or cut off
// requests. The contexts of requests have their connections; see [sender.Of].
//
// # Use
//
//	server, err := httpserver.Start(netip.MustParseAddrPort("127.0.0.1:0"), handler)
//	if err != nil {
//		return err
//	}
//	fmt.Println(server.Addr())
//	err = server.Shutdown(ctx)
package httpserver

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/rest"
	"golang.org/x/sync/errgroup"

	"lavenderdeal/internal/gozero"
	"lavenderdeal/internal/sender"
)

const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// Server is a running HTTP server.
type Server struct {
	http     *http.Server
	listener net.Listener
	addr     netip.AddrPort
	guard    *guard
	group    errgroup.Group
}

// Option configures a [Server]; see [Start].
type Option func(*config)

// config is what options configure.
type config struct {
	http   *http.Server
	idle   *idleCloser
	limits Limits
}

// WithIdleTimeout sets the time after which an idle connection is closed. The default
// is 2 minutes.
func WithIdleTimeout(d time.Duration) Option {
	return func(c *config) { c.http.IdleTimeout = d }
}

// WithIdleLimit makes limit return the time after which a connection is closed that is idle
// after a request, in place of WithIdleTimeout. It is called whenever a connection becomes
// idle, so that it may change.
func WithIdleLimit(limit func() time.Duration) Option {
	return func(c *config) {
		c.http.IdleTimeout = 0
		c.idle = &idleCloser{limit: limit, conns: make(map[net.Conn]*idleConn)}
	}
}

// WithTimeouts sets the times after which a request that has not arrived as a whole is given
// up, and an answer that was not taken. It is for short requests. By default there is no
// bound once the header has arrived.
func WithTimeouts(read, write time.Duration) Option {
	return func(c *config) { c.http.ReadTimeout, c.http.WriteTimeout = read, write }
}

// Start listens on addr and passes every request to handler. With port 0 the
// operating system chooses a free port; see [Server.Addr]. It returns an error if it
// cannot listen.
func Start(addr netip.AddrPort, handler http.Handler, opts ...Option) (*Server, error) {
	gozero.Setup()
	conf := rest.RestConf{Host: addr.Addr().String(), Port: int(addr.Port())}
	if addr.Addr().Is6() {
		conf.Host = "[" + conf.Host + "]"
	}
	// The zero value of Middlewares turns all of them off: breaker, shedding,
	// connection limit, timeout, body limit, gunzip, log, trace and metrics.
	// With a router of its own, rest uses no middlewares in any case.
	server, err := rest.NewServer(conf, rest.WithRouter(&router{handler: handler}))
	if err != nil {
		return nil, errors.Wrap(err, "build HTTP server")
	}
	s := &Server{}
	listening := make(chan net.Listener, 1)
	failed := make(chan error, 1)
	s.group.Go(func() (err error) {
		defer func() {
			if cause := recover(); cause != nil {
				// rest panics when it cannot listen or when its listener is closed.
				err = errors.Newf("serve HTTP on %s: %v", addr, cause)
				failed <- err
			}
		}()
		server.StartWithOpts(func(srv *http.Server) {
			s.http = srv
			srv.ReadHeaderTimeout = headerTimeout
			srv.IdleTimeout = idleTimeout
			srv.MaxHeaderBytes = maxHeaderBytes + headMargin
			srv.ConnContext = sender.WithConn
			cfg := config{http: srv}
			for _, opt := range opts {
				opt(&cfg)
			}
			s.guard = newGuard(cfg.limits)
			srv.ConnState = func(c net.Conn, state http.ConnState) {
				if g, ok := c.(*conn); ok && state == http.StateHijacked {
					g.hijacked.Store(true)
					s.guard.remove(g)
				}
				if cfg.idle != nil {
					cfg.idle.stateChanged(c, state)
				}
			}
			srv.BaseContext = func(l net.Listener) context.Context {
				if _, ok := l.(*listener); ok {
					listening <- l
					return context.Background()
				}
				// rest listens itself. It gets no connections: this call returns once the
				// listener is closed.
				_ = srv.Serve(&listener{Listener: l, guard: s.guard})
				return context.Background()
			}
		})
		return nil
	})
	select {
	case s.listener = <-listening:
		s.addr = netip.MustParseAddrPort(s.listener.Addr().String())
		return s, nil
	case err := <-failed:
		return nil, err
	}
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() netip.AddrPort { return s.addr }

// Refused returns the number of heads refused and connections closed for [Limits], by reason.
func (s *Server) Refused() map[string]uint64 { return s.guard.counts() }

// Shutdown stops accepting connections and waits until the running requests have
// finished or ctx is done. In the second case it returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopAccepting()
	return s.http.Shutdown(ctx)
}

// Close stops the server and closes all its connections immediately.
func (s *Server) Close() error {
	s.stopAccepting()
	return s.http.Close()
}

// stopAccepting closes the listener, before the server is closed: if the server were
// closed first, rest would wait for a signal to the process.
func (s *Server) stopAccepting() {
	s.guard.closing.Store(true)
	_ = s.listener.Close()
	_ = s.group.Wait()
}

// router passes every request to one handler.
type router struct {
	handler http.Handler
}

func (r *router) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.handler.ServeHTTP(w, req)
}

// Handle implements rest's router interface and does nothing.
func (r *router) Handle(string, string, http.Handler) error { return nil }

// SetNotFoundHandler implements rest's router interface and does nothing.
func (r *router) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler implements rest's router interface and does nothing.
func (r *router) SetNotAllowedHandler(http.Handler) {}
