// Package httpserver serves HTTP through go-zero's rest, with the parts of rest
// turned off that would refuse, change or cut off calls by themselves.
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
)

const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// Server is one running HTTP server.
type Server struct {
	http     *http.Server
	listener net.Listener
	addr     netip.AddrPort
	group    errgroup.Group
}

// Option changes a server before it starts.
type Option func(*http.Server)

// WithIdleTimeout sets how long a connection may be idle.
func WithIdleTimeout(d time.Duration) Option {
	return func(srv *http.Server) { srv.IdleTimeout = d }
}

// Start listens on addr and serves every request by handler. Port 0 takes any
// free port; see [Server.Addr].
func Start(addr netip.AddrPort, handler http.Handler, opts ...Option) (*Server, error) {
	gozero.Setup()
	conf := rest.RestConf{Host: addr.Addr().String(), Port: int(addr.Port())}
	if addr.Addr().Is6() {
		conf.Host = "[" + conf.Host + "]"
	}
	// The zero value of Middlewares turns all of them off: breaker, shedding,
	// connection limit, timeout, body limit, gunzip, log, trace and metrics.
	// An own router is served without middlewares in any case.
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
				// rest panics when it cannot listen or its listener was closed.
				err = errors.Newf("serve HTTP on %s: %v", addr, cause)
				failed <- err
			}
		}()
		server.StartWithOpts(func(srv *http.Server) {
			s.http = srv
			srv.ReadHeaderTimeout = headerTimeout
			srv.IdleTimeout = idleTimeout
			srv.MaxHeaderBytes = maxHeaderBytes
			for _, opt := range opts {
				opt(srv)
			}
			srv.BaseContext = func(l net.Listener) context.Context {
				listening <- l
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

// Shutdown stops accepting requests and waits until the running ones have
// finished or ctx is done.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopAccepting()
	return s.http.Shutdown(ctx)
}

// Close ends the server and all its connections at once.
func (s *Server) Close() error {
	s.stopAccepting()
	return s.http.Close()
}

// stopAccepting closes the listener before the server: rest would wait for a
// signal to the process after a server that was closed by itself.
func (s *Server) stopAccepting() {
	_ = s.listener.Close()
	_ = s.group.Wait()
}

// router serves every path by one handler and recovers from its panics.
type router struct {
	handler http.Handler
}

func (r *router) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.handler.ServeHTTP(w, req)
}

// Handle is part of rest's interface of a router and is not used.
func (r *router) Handle(string, string, http.Handler) error { return nil }

// SetNotFoundHandler is part of rest's interface of a router and is not used.
func (r *router) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler is part of rest's interface of a router and is not used.
func (r *router) SetNotAllowedHandler(http.Handler) {}
