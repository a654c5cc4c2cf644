package trial

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const monitorPeriod = 2 * time.Millisecond

// Monitor watches the versions in force on the nodes of a fleet: when each node
// reached a version, and whether one ever went back. Lock order: mu is the only
// lock.
type Monitor struct {
	fleet  *Fleet
	cancel context.CancelFunc
	group  errgroup.Group

	mu      sync.Mutex
	seen    map[string]uint64
	reached map[uint64]map[string]time.Time
	broken  []string
}

// Monitor starts watching the fleet.
func (f *Fleet) Monitor() *Monitor {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Monitor{
		fleet:   f,
		cancel:  cancel,
		seen:    make(map[string]uint64),
		reached: make(map[uint64]map[string]time.Time),
	}
	m.group.Go(func() error { m.run(ctx); return nil })
	return m
}

// Stop ends watching and returns each broken promise that was seen.
func (m *Monitor) Stop() []string {
	m.cancel()
	_ = m.group.Wait()
	return m.broken
}

// Reached returns how long after start each node had a version or a newer one
// in force, by the id of the node.
func (m *Monitor) Reached(version uint64, start time.Time) map[string]time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	durations := make(map[string]time.Duration, len(m.reached[version]))
	for id, at := range m.reached[version] {
		durations[id] = at.Sub(start)
	}
	return durations
}

func (m *Monitor) run(ctx context.Context) {
	ticker := time.NewTicker(monitorPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			m.look(now)
		}
	}
}

func (m *Monitor) look(now time.Time) {
	for _, n := range m.fleet.nodes() {
		id, version := n.ID(), n.Version()
		m.mu.Lock()
		m.note(id, version, now)
		m.mu.Unlock()
	}
}

// note keeps what one node has in force. The caller holds mu.
func (m *Monitor) note(id string, version uint64, now time.Time) {
	before := m.seen[id]
	if version < before {
		m.broken = append(m.broken, fmt.Sprintf("node %s went back from version %d to %d", id, before, version))
	}
	for v := before + 1; v <= version; v++ {
		if m.reached[v] == nil {
			m.reached[v] = make(map[string]time.Time)
		}
		m.reached[v][id] = now
	}
	m.seen[id] = version
}
