package localfleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// monitorPeriod is the time between two samples, and thus the resolution of
// ConvergenceTimes.
const monitorPeriod = 2 * time.Millisecond

// Monitor samples the versions in force on the running nodes of a fleet. It records
// when each node reached a version, and whether a node returned to an older one. Lock
// order: mu is the only lock.
type Monitor struct {
	fleet  *Fleet
	cancel context.CancelFunc
	group  errgroup.Group

	mu sync.Mutex
	// lastSeen holds the version in the last sample of each node, by node id.
	lastSeen map[string]uint64
	// reached holds the time of the sample in which a node had reached a version or a
	// newer one, by version and node id.
	reached map[uint64]map[string]time.Time
	// violations describes each return to an older version.
	violations []string
}

// Monitor starts a monitor of the fleet, which runs until [Monitor.Stop].
func (f *Fleet) Monitor() *Monitor {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Monitor{
		fleet:    f,
		cancel:   cancel,
		lastSeen: make(map[string]uint64),
		reached:  make(map[uint64]map[string]time.Time),
	}
	m.group.Go(func() error { m.run(ctx); return nil })
	return m
}

// Stop stops the monitor and returns a message for each return to an older
// version.
func (m *Monitor) Stop() []string {
	m.cancel()
	_ = m.group.Wait()
	return m.violations
}

// ConvergenceTimes returns the time from start until the version or a newer one
// was in force on each node, by node id. Nodes on which it is not yet in force are
// missing.
func (m *Monitor) ConvergenceTimes(version uint64, start time.Time) map[string]time.Duration {
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
			m.sample(now)
		}
	}
}

func (m *Monitor) sample(now time.Time) {
	for _, n := range m.fleet.nodes() {
		id, version := n.ID(), n.Version()
		m.mu.Lock()
		m.record(id, version, now)
		m.mu.Unlock()
	}
}

// record records the version in force on one node. The caller holds mu.
func (m *Monitor) record(id string, version uint64, now time.Time) {
	before := m.lastSeen[id]
	if version < before {
		m.violations = append(m.violations, fmt.Sprintf("node %s went back from version %d to %d", id, before, version))
	}
	for v := before + 1; v <= version; v++ {
		if m.reached[v] == nil {
			m.reached[v] = make(map[string]time.Time)
		}
		m.reached[v][id] = now
	}
	m.lastSeen[id] = version
}
