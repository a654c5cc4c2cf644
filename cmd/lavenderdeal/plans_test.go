package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/apex/log/handlers/memory"

	"lavenderdeal/core/explain"
	"lavenderdeal/core/listdiff"
	"lavenderdeal/internal/metrics"
	"lavenderdeal/internal/publish"
	"lavenderdeal/internal/standin/objectapi"
	"lavenderdeal/internal/standin/testserver"
	"lavenderdeal/io/operator"
	"lavenderdeal/io/platform"
	"lavenderdeal/schema/objects"
)

const (
	plansYAML = `services:
  - name: availability
plans:
  - name: crew
    uses:
      - {service: availability, priority: urgent}
  - name: council
    uses: []
`
	keyHash = "f6a51566c92219e70da07347fe8547ba228ba20a939417a0edb8728170cd6ded"
)

// testEnv is a stand-in platform with files for both lists. It keeps the output of the
// last command.
type testEnv struct {
	api            *objectapi.Store
	platform       netip.AddrPort
	store          publish.Store
	customersFile  string
	plansFile      string
	stdout, stderr string
}

func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	api := objectapi.New()
	server := testserver.Start(t, api)
	client := platform.New(server.Addr())
	t.Cleanup(client.Close)
	env := &testEnv{
		api:      api,
		platform: server.Addr(),
		store:    publish.Store{Objects: client},
	}
	env.customersFile = writeFile(t, "customers.yaml", customersYAML("crew"))
	env.plansFile = writeFile(t, "plans.yaml", plansYAML)
	return env
}

func customersYAML(plan string) string {
	return fmt.Sprintf("customers:\n  - name: palermo\n    plan: %s\n    keyHashes: [%s]\n", plan, keyHash)
}

func writeFile(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// plans runs a plans command against the stand-in platform and checks its exit code.
func (env *testEnv) plans(t *testing.T, code int, command string, args ...string) {
	t.Helper()
	env.run(t, code, append([]string{"plans", command, "--platform", env.platform.String()}, args...)...)
}

// run runs a command line and checks its exit code.
func (env *testEnv) run(t *testing.T, code int, args ...string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	got := run(t.Context(), args, &stdout, &stderr)
	env.stdout, env.stderr = stdout.String(), stderr.String()
	if got != code {
		t.Fatalf("%v: exit code %d, want %d\nstdout %s\nstderr %s", args, got, code, env.stdout, env.stderr)
	}
}

// apply makes a version in which the only customer has this plan.
func (env *testEnv) apply(t *testing.T, plan string) {
	t.Helper()
	env.plans(t, exitOK, "apply", "--reason", "to "+plan, writeFile(t, "customers.yaml", customersYAML(plan)), env.plansFile)
}

func assertContains(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(text, part) {
			t.Errorf("output lacks %q:\n%s", part, text)
		}
	}
}

// TestPlansCheck guards against faults that are missed or reported at the wrong line,
// and against wrong sets of files that are accepted.
func TestPlansCheck(t *testing.T) {
	env := newTestEnv(t)
	t.Run("valid", func(t *testing.T) {
		env.run(t, exitOK, "plans", "check", env.plansFile, env.customersFile)
		assertContains(t, env.stdout, "1 customers, 2 plans and 1 services")
	})
	t.Run("every fault of both lists", func(t *testing.T) {
		customers := writeFile(t, "customers.yaml", "customers:\n  - name: Palermo\n    plan: crew\n    keyHashes: []\n    colour: red\n")
		planList := writeFile(t, "plans.yaml", "services: []\nplans:\n  - name: crew\n    uses:\n      - {service: nowhere, priority: urgent}\n")
		env.run(t, exitFailed, "plans", "check", customers, planList)
		assertContains(t, env.stderr, "4 faults",
			"customers.yaml: line 2: customers[0].name", "customers.yaml: line 4: customers[0].keyHashes", "customers.yaml: line 5: customers[0].colour: unknown field",
			"plans.yaml: line 5: plans[0].uses[0].service: service nowhere is not listed")
	})
	t.Run("json", func(t *testing.T) {
		customers := writeFile(t, "customers.yaml", customersYAML("nothing"))
		env.run(t, exitFailed, "plans", "check", "-o", "json", customers, env.plansFile)
		var result checkResult
		if err := json.Unmarshal([]byte(env.stdout), &result); err != nil || result.Valid || len(result.Faults) != 1 || result.Faults[0].Line != 3 {
			t.Errorf("result %+v, error %v", result, err)
		}
	})
	t.Run("one list alone", func(t *testing.T) { env.run(t, exitOK, "plans", "check", env.customersFile) })
	t.Run("same list twice", func(t *testing.T) { env.run(t, exitUsage, "plans", "check", env.plansFile, env.plansFile) })
	t.Run("flag after a file", func(t *testing.T) {
		env.run(t, exitUsage, "plans", "check", env.plansFile, "-o")
		assertContains(t, env.stderr, "flags go before files")
	})
	t.Run("no file", func(t *testing.T) { env.run(t, exitUsage, "plans", "check") })
	t.Run("missing file", func(t *testing.T) { env.run(t, exitFailed, "plans", "check", "/nowhere.yaml") })
}

// TestPlansLifeCycle applies, shows, compares and restores versions in sequence. It
// guards against a change that overwrites a concurrent one, and against a version number
// that nodes have seen already, after the platform was restored from a backup.
func TestPlansLifeCycle(t *testing.T) {
	env := newTestEnv(t)
	env.plans(t, exitFailed, "show")
	assertContains(t, env.stderr, "no version yet")
	env.apply(t, "crew")
	assertContains(t, env.stdout, "version 1")
	env.apply(t, "council")

	t.Run("show", func(t *testing.T) {
		env.plans(t, exitOK, "show")
		assertContains(t, env.stdout, "version 2", "reason: to council", "1 customers, 2 plans, 1 services")
		env.plans(t, exitOK, "show", "--version", "1", "-o", "json")
		assertContains(t, env.stdout, `"plan": "crew"`)
	})
	t.Run("shown lists can be applied", func(t *testing.T) {
		env.plans(t, exitOK, "show", "--list", "customers")
		customers := writeFile(t, "customers.yaml", env.stdout)
		env.plans(t, exitOK, "show", "--list", "plans")
		planList := writeFile(t, "plans.yaml", env.stdout)
		env.plans(t, exitOK, "diff", customers, planList)
		assertContains(t, env.stdout, "no difference")
	})
	t.Run("diff", func(t *testing.T) {
		env.plans(t, exitOK, "diff", "--from", "1", "--to", "2")
		assertContains(t, env.stdout, "changed customer palermo: -plan=crew +plan=council")
		env.plans(t, exitOK, "diff", "-o", "json", env.customersFile, env.plansFile)
		var changes []listdiff.Change
		if err := json.Unmarshal([]byte(env.stdout), &changes); err != nil || len(changes) != 1 {
			t.Errorf("changes %v, error %v", changes, err)
		}
		env.plans(t, exitUsage, "diff")
	})
	t.Run("conflict", func(t *testing.T) {
		env.plans(t, exitConflict, "apply", "--after", "1", env.customersFile, env.plansFile)
		assertContains(t, env.stderr, "version 2 by", "nothing was changed", "to council", "changed customer palermo: -plan=council +plan=crew")
	})
	t.Run("restore", func(t *testing.T) {
		env.plans(t, exitOK, "restore", "1")
		assertContains(t, env.stdout, "version 3", "content of version 1")
		env.plans(t, exitOK, "diff", "--from", "1", "--to", "3")
		assertContains(t, env.stdout, "no difference")
		env.plans(t, exitFailed, "restore", "9")
		env.plans(t, exitUsage, "restore", "last")
	})
	t.Run("history", func(t *testing.T) {
		env.plans(t, exitOK, "history", "-o", "json")
		var versions []versionInfo
		if err := json.Unmarshal([]byte(env.stdout), &versions); err != nil || len(versions) != 3 || versions[0].Version != 3 {
			t.Errorf("history %v, error %v", versions, err)
		}
		env.plans(t, exitOK, "history", "-n", "1")
		assertContains(t, env.stdout, "content of version 1")
	})
	t.Run("collect", func(t *testing.T) {
		env.plans(t, exitOK, "collect")
		assertContains(t, env.stdout, "0 chunks and 0 old versions removed")
	})
	t.Run("restored platform", func(t *testing.T) {
		env.putStatus(t, objects.ZoneStatus{Zone: "palermo", Version: 20, Members: 1, Confirmed: 1})
		env.apply(t, "crew")
		assertContains(t, env.stdout, "version 21")
		assertContains(t, env.stderr, "restored from a backup", "goes above 20")
	})
	t.Run("above a version", func(t *testing.T) {
		t.Setenv("LAVENDERDEAL_AUTHOR", "night-shift")
		env.plans(t, exitOK, "apply", "--above", "30", env.customersFile, env.plansFile)
		assertContains(t, env.stdout, "version 31", "by night-shift")
	})
	t.Run("above the version of a node", func(t *testing.T) {
		node := serveStatus(t, operator.Status{Version: 40})
		env.plans(t, exitOK, "restore", "--node", node, "1")
		assertContains(t, env.stdout, "version 41")
		assertContains(t, env.stderr, "restored from a backup: node "+node+" has version 40, the platform has 31")
		env.plans(t, exitFailed, "restore", "--node", "127.0.0.1:1", "1")
		assertContains(t, env.stderr, "nothing was changed")
	})
	t.Run("platform unreachable", func(t *testing.T) {
		env.api.SetFaults(objectapi.Faults{Down: true})
		env.plans(t, exitFailed, "show")
		env.run(t, exitUsage, "plans", "show")
		assertContains(t, env.stderr, "--platform")
	})
}

// putStatus writes the status of a zone to the platform, as a node does.
func (env *testEnv) putStatus(t *testing.T, status objects.ZoneStatus) {
	t.Helper()
	status.Writer = "test"
	value, err := json.Marshal(status)
	if err != nil {
		t.Fatal(err)
	}
	key := publish.StatusPrefix + status.Zone
	object, _ := env.store.Objects.Get(t.Context(), key)
	if _, err := env.store.Objects.Put(t.Context(), key, value, object.Revision); err != nil {
		t.Fatal(err)
	}
}

// TestPlansWatch guards against a wait that ends with success before all nodes of all
// required zones have confirmed, or that does not end when they have.
func TestPlansWatch(t *testing.T) {
	env := newTestEnv(t)
	env.apply(t, "crew")
	t.Run("no zone", func(t *testing.T) {
		env.plans(t, exitTimeLimit, "watch", "--limit", "10ms")
		assertContains(t, env.stderr, "not confirmed after 10ms")
	})
	t.Run("a node is missing", func(t *testing.T) {
		env.putStatus(t, objects.ZoneStatus{
			Zone: "palermo", Version: 1, Members: 2, Confirmed: 1,
			Missing: []objects.Lag{{Node: "n7", Version: 0, Reason: "plans[0].name: no"}},
		})
		env.plans(t, exitTimeLimit, "watch", "--limit", "300ms")
		assertContains(t, env.stdout, "palermo: version 1, 1/2 nodes, waiting: 1 of 2 nodes confirmed; n7 has version 0: plans[0].name: no")
		assertContains(t, env.stderr, "palermo 1 of 2 nodes confirmed")
	})
	t.Run("confirmed", func(t *testing.T) {
		env.putStatus(t, objects.ZoneStatus{Zone: "palermo", Version: 1, Members: 2, Confirmed: 2})
		env.plans(t, exitOK, "watch", "-o", "json")
		assertContains(t, env.stdout, `"confirmed": true`)
	})
	t.Run("a required zone has no status", func(t *testing.T) {
		env.plans(t, exitTimeLimit, "watch", "--limit", "300ms", "--zones", "palermo,catania")
		assertContains(t, env.stderr, "catania has no status")
	})
	t.Run("until the last zone confirms", func(t *testing.T) {
		env.putStatus(t, objects.ZoneStatus{Zone: "catania", Version: 1, Members: 1, Confirmed: 0})
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		stdout := &firstWriteHook{afterFirst: func() {
			env.putStatus(t, objects.ZoneStatus{Zone: "catania", Version: 1, Members: 1, Confirmed: 1})
		}}
		var stderr bytes.Buffer
		if code := run(ctx, []string{"plans", "watch", "--platform", env.platform.String()}, stdout, &stderr); code != exitOK {
			t.Errorf("exit code %d, stderr %s", code, &stderr)
		}
		assertContains(t, stdout.String(), "0/1 nodes, waiting", "catania: version 1, 1/1 nodes, confirmed")
	})
}

// serveStatus starts an operator port that returns the status, and returns its address.
func serveStatus(t *testing.T, status operator.Status) string {
	t.Helper()
	return testserver.Start(t, &operator.Handler{Status: func() operator.Status { return status }}).Addr().String()
}

// TestNodesConfirm checks that real nodes, one in each zone, apply and confirm new
// versions, also after the platform was restored from a backup.
func TestNodesConfirm(t *testing.T) {
	env := newTestEnv(t)
	var nodes []string
	for _, zone := range []string{"catania", "palermo"} {
		n := startNode(t, zone, env.platform, memory.New())
		nodes = append(nodes, "--node", n.Addresses().Operator.String())
	}
	var backup map[string][]byte
	for version, plan := range []string{"crew", "council"} {
		backup = env.api.Snapshot()
		env.apply(t, plan)
		env.plans(t, exitOK, "watch", "--limit", "30s", "--zones", "catania,palermo")
		assertContains(t, env.stdout, fmt.Sprintf("catania: version %d, 1/1 nodes, confirmed", version+1))
	}
	env.run(t, exitOK, append([]string{"explain", "--kind", "versionApplied"}, nodes...)...)
	assertContains(t, env.stdout, "versionApplied")
	env.run(t, exitOK, append([]string{"status"}, nodes...)...)
	assertContains(t, env.stdout, "catania", "palermo")

	// The restored platform has version 1 and the zone status of that time.
	env.api.Restore(backup)
	env.plans(t, exitOK, "restore", append(nodes, "1")...)
	assertContains(t, env.stderr, "restored from a backup")
	assertContains(t, env.stdout, "version 3")
	env.plans(t, exitOK, "watch", "--limit", "30s", "--zones", "catania,palermo")
	assertContains(t, env.stdout, "catania: version 3, 1/1 nodes, confirmed")
}

// firstWriteHook is a buffer that calls afterFirst after the first write.
type firstWriteHook struct {
	bytes.Buffer
	afterFirst func()
}

func (f *firstWriteHook) Write(p []byte) (int, error) {
	n, err := f.Buffer.Write(p)
	if f.afterFirst != nil {
		f.afterFirst()
		f.afterFirst = nil
	}
	return n, err
}

// TestStatusAndExplain guards against a node that is left out of the output, records in
// the wrong order, and an exit code of 0 although a node did not answer.
func TestStatusAndExplain(t *testing.T) {
	env := &testEnv{}
	var addresses []string
	for i, zone := range []string{"catania", "palermo"} {
		ring := explain.NewRing(4)
		ring.Add(explain.Record{At: time.Unix(int64(10-i), 0), Kind: "versionApplied", Subject: zone})
		ring.Add(explain.Record{At: time.Unix(20, 0), Kind: "versionRejected", Subject: zone})
		server := testserver.Start(t, &operator.Handler{
			Status:  func() operator.Status { return operator.Status{Zone: zone, State: "ready", Version: 7} },
			Ring:    ring,
			Metrics: metrics.New().Map(),
		})
		addresses = append(addresses, server.Addr().String())
	}
	t.Run("status", func(t *testing.T) {
		env.run(t, exitOK, "status", "--node", addresses[0], "--node", addresses[1])
		assertContains(t, env.stdout, "catania", "palermo", "ready")
		env.run(t, exitOK, "status", "-o", "json", "--node", strings.Join(addresses, ","))
		assertContains(t, env.stdout, `"zone": "palermo"`)
	})
	t.Run("explain", func(t *testing.T) {
		env.run(t, exitOK, "explain", "--node", addresses[0], "--node", addresses[1], "--kind", "versionApplied")
		if strings.Index(env.stdout, "palermo") > strings.Index(env.stdout, "catania") || strings.Contains(env.stdout, "versionRejected") {
			t.Errorf("want only versionApplied, by time:\n%s", env.stdout)
		}
	})
	t.Run("one node does not answer", func(t *testing.T) {
		env.run(t, exitFailed, "status", "--node", addresses[0], "--node", "127.0.0.1:1")
		assertContains(t, env.stdout, "catania", "no answer")
		assertContains(t, env.stderr, "1 of 2 nodes did not answer or refused", "127.0.0.1:1")
	})
	t.Run("no node", func(t *testing.T) { env.run(t, exitUsage, "status") })
}
