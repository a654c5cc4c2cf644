// Package soak runs fault-injection tests against real nodes. Each node is a process of
// its own. A seed selects the faults, which are injected from outside the processes
// while callers and an operator use the nodes.
//
// # Run
//
// [Run] starts a store, backend servers and a lavenderdeald process for each server,
// all on the loopback interface. Every link goes through a proxy that can delay, reset,
// cut or stall it. Processes receive signals. The store refuses requests, stops
// responding and discards its history. Callers reuse their connections until they break.
//
// # Invariants
//
// Run checks them during the run and afterwards, from what callers and servers recorded:
//
//   - An order runs at most once.
//   - A request that was refused as not run has not run.
//   - A successful response is the server's complete response.
//   - Servers run only requests that a caller sent.
//   - A server that left receives no request after its drain period.
//   - No node goes back to an older version.
//   - A node without recent faults applies each version in time.
//   - Planned work alone breaks no request.
//   - All nodes serve again after the faults have ended.
//
// A seed determines the faults but not the timing of the processes.
//
// Clocks are not changed: nodes use the wall clock only to number their starts.
package soak

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// startupLimit is the time within which all nodes of a new fleet must serve.
	startupLimit = 20 * time.Second
	// recoveryLimit is the platform's limit for all nodes to serve again after a fault.
	recoveryLimit = 15 * time.Second
	// finalResponseWait leaves time for the responses to the callers' last requests.
	finalResponseWait = 2 * time.Second
)

// Config sets the parameters of a run.
type Config struct {
	// Binary is the path of the lavenderdeald executable.
	Binary string
	Seed   uint64
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	// InstancesPerService is the number of instances of each of the two services.
	InstancesPerService int
	// LogDir, if set, is the directory to which the nodes' logs are copied when an
	// invariant was violated.
	LogDir string
}

// Run runs one seed and returns the violations of invariants that it found. Seeds that
// are multiples of three inject planned work only.
func Run(t testing.TB, cfg Config) []string {
	f := startFleet(t, cfg.Binary, cfg.InstancesPerService)
	calls, faults := newCallLog(), &faultLog{}
	o := newOperator(f, calls, faults)
	o.writeVersion(1)
	if err := waitServing(f, calls, startupLimit); err != nil {
		return []string{"the fleet did not start: " + err.Error()}
	}
	random := rand.New(rand.NewPCG(cfg.Seed, 0))
	inject := &injector{fleet: f, faultLog: faults, random: random}
	ctx, cancel := context.WithTimeout(t.Context(), cfg.FaultDuration)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return calls.runCallers(ctx, f, cfg.Seed) })
	group.Go(func() error { return o.pollVersions(ctx) })
	group.Go(func() error { o.writeVersions(ctx, rand.New(rand.NewPCG(cfg.Seed, 1))); return nil })
	group.Go(func() error { return inject.run(ctx, cfg.Seed%3 == 0) })
	err := group.Wait()
	err = errors.CombineErrors(err, waitServing(f, calls, recoveryLimit))
	time.Sleep(finalResponseWait)
	violations := append(o.violations, check(f, calls, faults)...)
	if err != nil {
		violations = append(violations, err.Error())
	}
	if len(violations) > 0 {
		t.Logf("seed %d, injected faults:\n%s", cfg.Seed, faults)
		if cfg.LogDir != "" {
			if err := f.saveLogs(cfg.LogDir); err != nil {
				t.Errorf("save node logs: %v", err)
			}
		}
	}
	return violations
}
