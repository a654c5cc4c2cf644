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

const restartRetryInterval = 20 * time.Millisecond

// Process serves a [Server] on an address and simulates its crashes: all connections
// break, and new ones are refused until the server has restarted. Lock order: mu is
// the only lock.
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

// StartProcess starts a server on an address. After a crash the server is down for the
// given time. Port 0 selects a free port, which stays the same after crashes.
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

// Crashes returns the number of crashes of the server.
func (p *Process) Crashes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashes
}

// Crash simulates a crash of the server.
func (p *Process) Crash() {
	select {
	case p.server.crashed <- struct{}{}:
	default:
	}
}

// Restart stops the server without draining and starts it again on the same address. It
// returns once the server listens.
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

// Close stops the server.
func (p *Process) Close() error {
	p.cancel()
	_ = p.group.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.http.Close()
}

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
