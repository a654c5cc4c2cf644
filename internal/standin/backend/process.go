package backend

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"lavenderdeal/internal/httpserver"
	"lavenderdeal/internal/wait"
)

// restartRetryInterval is the time between attempts to listen on the address again after a
// crash.
const restartRetryInterval = 20 * time.Millisecond

// Process serves a [Server] on an address and simulates crashes of its process: all
// connections break, and new ones are refused until the server has restarted. Lock order:
// mu is the only lock.
type Process struct {
	server   *Server
	downTime time.Duration
	group    errgroup.Group
	cancel   context.CancelFunc

	mu      sync.Mutex
	http    *httpserver.Server
	addr    netip.AddrPort
	crashes int
}

// StartProcess starts to serve a server on an address. After a crash the server is down for
// downTime and then restarts. Port 0 selects a free port, which stays the same after
// crashes. StartProcess returns an error if it cannot listen on the address.
func StartProcess(addr netip.AddrPort, server *Server, downTime time.Duration) (*Process, error) {
	s, err := httpserver.Start(addr, server)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Process{server: server, downTime: downTime, cancel: cancel, http: s, addr: s.Addr()}
	p.group.Go(func() error { p.restartAfterCrashes(ctx); return nil })
	return p, nil
}

// Addr returns the address of the server.
func (p *Process) Addr() netip.AddrPort { return p.addr }

// Crashes returns the number of simulated crashes so far.
func (p *Process) Crashes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashes
}

// Crash simulates a crash of the server. It does not wait for it.
func (p *Process) Crash() {
	select {
	case p.server.crashed <- struct{}{}:
	default:
	}
}

// Restart stops the server without draining and starts it again on the same address,
// without a cold start. It returns once the server listens, or an error if the server
// cannot be stopped or cannot listen.
func (p *Process) Restart() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.http.Close(); err != nil {
		return err
	}
	s, err := httpserver.Start(p.addr, p.server)
	if err != nil {
		return err
	}
	p.http = s
	return nil
}

// Close stops the server, which then does not restart any more.
func (p *Process) Close() error {
	p.cancel()
	_ = p.group.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.http.Close()
}

// restartAfterCrashes performs the crashes that are requested, until ctx is done.
func (p *Process) restartAfterCrashes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.server.crashed:
		}
		p.mu.Lock()
		p.crashes++
		_ = p.http.Close()
		p.mu.Unlock()
		if !wait.For(ctx, p.downTime) || !p.retryStart(ctx) {
			return
		}
	}
}

// retryStart starts the server again, and retries while it cannot listen on its address. It
// returns false if ctx is done first.
func (p *Process) retryStart(ctx context.Context) bool {
	for {
		s, err := httpserver.Start(p.addr, p.server)
		if err == nil {
			p.server.Restart()
			p.mu.Lock()
			p.http = s
			p.mu.Unlock()
			return true
		}
		if !wait.For(ctx, restartRetryInterval) {
			return false
		}
	}
}
