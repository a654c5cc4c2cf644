// Package soak runs fault-injection tests against real nodes. A node is the proxy beside a
// backend server; each runs as a lavenderdeald process of its own. A seed selects the
// faults, which are injected from outside the processes while callers send requests and an
// operator writes new versions of the configuration.
//
// # Run
//
// [Run] starts a fake of the platform's configuration store, fake backend servers and a
// node for each server, all on the loopback interface. The connections of a node to the
// store, to its server and from other nodes go through proxies that can delay, reset, cut
// or stall them. Processes receive signals. The store refuses requests, stops responding,
// discards its history and, if wanted, comes back from older copies of itself. Callers connect to the nodes directly and reuse their
// connections until they break.
//
// Planned work is what operators do in normal operation: they stop a node with SIGTERM and
// start it again, or they drain a backend server and replace it.
//
// # Invariants
//
// Run checks them during the run and afterwards, from what callers and servers recorded:
//
//   - An order, which is a POST request, runs at most once.
//   - A request has not run if its response says that it was refused without running.
//   - A successful response is the server's complete response.
//   - Servers run only requests that a caller sent.
//   - A server that left receives no request after its drain period.
//   - No node goes back to an older version of the configuration.
//   - A node without recent faults applies each version within 2 s.
//   - In a run with planned work only, the caller of each request that ran gets its response.
//   - All nodes serve again after the faults have ended.
//
// With client accounts:
//
//   - A request with an unknown key does not run, nor one that is sent after the bound for a key
//     that was taken away, also at a node that is cut off.
//   - Servers get the name of the account of the key, and no key. Logs have no keys.
//   - The requests of an account that run in a window, at all nodes together, are within its limit.
//   - A key that all versions have is never refused as unknown.
//
// A seed determines the choice of faults but not the timing of the processes, so a
// violation may not occur again with the same seed.
//
// The clock is not a target of faults: nodes use the wall clock only to number their
// starts.
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
	// recoveryLimit is the platform's limit on the time until all nodes serve again after
	// the last fault.
	recoveryLimit = 15 * time.Second
	// copyLag is how far the store's copies are behind. The platform allows seconds.
	copyLag = 3 * time.Second
	// finalResponseWait leaves time for the responses to the callers' last requests.
	finalResponseWait = 2 * time.Second
)

// Scenario is what is brought about in a run.
type Scenario int

const (
	// AnyFaults are faults that the seed selects.
	AnyFaults Scenario = iota
	// HomeKilled is that the home of the account that floods is killed and started again.
	HomeKilled
	// ZoneCut is that the nodes of a zone are not reached by others for a second or two.
	ZoneCut
)

// Config sets the parameters of a run.
type Config struct {
	// Binary is the path of the lavenderdeald executable.
	Binary string
	// Seed selects the faults, the requests and the versions. If it is a multiple of three,
	// all faults are planned work. If it is odd, the store's copies are behind all the
	// time.
	Seed uint64
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	// InstancesPerService is the number of instances, each a backend server and its node,
	// of each of the two services.
	InstancesPerService int
	// RestoreStore makes the store come back from older copies of itself. The operator then
	// writes the newest version again.
	RestoreStore bool
	// Accounts makes callers use keys of client accounts, of which some are unknown, some are
	// taken away and one account sends several times its limit.
	Accounts bool
	// Scenario, if set, replaces the faults that the seed selects. Accounts must be set, too.
	// Then accounts within their limits are to be served, and the one that floods up to its.
	Scenario Scenario
	// LogDir, if set, is the directory to which the nodes' logs are copied when an
	// invariant was violated.
	LogDir string
}

// Run performs one run and returns a message for each violation of an invariant. It ends
// the test with Fatal if the fleet cannot be set up.
func Run(t testing.TB, cfg Config) []string {
	f := startFleet(t, cfg)
	calls, faults := newCallLog(), &faultLog{}
	calls.hasAccounts = cfg.Accounts
	o := newOperator(f, calls, faults)
	o.writeVersion(1)
	if err := waitServing(f, calls, startupLimit); err != nil {
		return []string{"the fleet did not start: " + err.Error()}
	}
	if cfg.Seed%2 == 1 {
		f.store.SetCopyLag(copyLag)
	}
	if cfg.RestoreStore {
		f.store.SetEra(1)
	}
	random := rand.New(rand.NewPCG(cfg.Seed, 0))
	inject := &injector{fleet: f, faultLog: faults, random: random}
	ctx, cancel := context.WithTimeout(t.Context(), cfg.FaultDuration)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return calls.runCallers(ctx, f, cfg.Seed) })
	group.Go(func() error { return o.pollVersions(ctx) })
	group.Go(func() error { o.writeVersions(ctx, rand.New(rand.NewPCG(cfg.Seed, 1))); return nil })
	group.Go(func() error {
		if cfg.Scenario != AnyFaults {
			return inject.runScenario(ctx, cfg.Scenario, cfg.FaultDuration)
		}
		return inject.run(ctx, cfg.Seed%3 == 0)
	})
	if cfg.Accounts {
		group.Go(func() error { return calls.runAccounts(ctx, f, cfg.Seed) })
	}
	if cfg.RestoreStore {
		group.Go(func() error { o.restoreStore(ctx, rand.New(rand.NewPCG(cfg.Seed, 2))); return nil })
	}
	err := group.Wait()
	err = errors.CombineErrors(err, waitServing(f, calls, recoveryLimit))
	time.Sleep(finalResponseWait)
	if cfg.Accounts {
		calls.tryRevoked(t.Context(), f, o.revoked)
	}
	violations := append(o.violations, check(f, calls, faults, o.revoked)...)
	if cfg.Scenario != AnyFaults {
		violations = append(violations, checkServed(calls, faults, cfg.FaultDuration)...)
	}
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
