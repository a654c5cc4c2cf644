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

// bench is a stand-in for the platform with files for both lists.
type bench struct {
	api            *objectapi.Store
	platform       netip.AddrPort
	store          publish.Store
	customersFile  string
	plansFile      string
	stdout, stderr string
}

func newBench(t *testing.T) *bench {
	t.Helper()
	api := objectapi.New()
	server := testserver.Start(t, api)
	client := platform.New(server.Addr())
	t.Cleanup(client.Close)
	b := &bench{
		api:      api,
		platform: server.Addr(),
		store:    publish.Store{Objects: client},
	}
	b.customersFile = writeFile(t, "customers.yaml", customersYAML("crew"))
	b.plansFile = writeFile(t, "plans.yaml", plansYAML)
	return b
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

// plans runs one of the plans commands against the stand-in.
func (b *bench) plans(t *testing.T, code int, command string, args ...string) {
	t.Helper()
	b.run(t, code, append([]string{"plans", command, "--platform", b.platform.String()}, args...)...)
}

func (b *bench) run(t *testing.T, code int, args ...string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	got := run(t.Context(), args, &stdout, &stderr)
	b.stdout, b.stderr = stdout.String(), stderr.String()
	if got != code {
		t.Fatalf("%v: exit code %d, want %d\nstdout %s\nstderr %s", args, got, code, b.stdout, b.stderr)
	}
}

func (b *bench) apply(t *testing.T, plan string) {
	t.Helper()
	b.plans(t, exitOK, "apply", "--reason", "to "+plan, writeFile(t, "customers.yaml", customersYAML(plan)), b.plansFile)
}

func assertContains(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(text, part) {
			t.Errorf("output lacks %q:\n%s", part, text)
		}
	}
}

func TestPlansCheck(t *testing.T) {
	b := newBench(t)
	t.Run("valid", func(t *testing.T) {
		b.run(t, exitOK, "plans", "check", b.plansFile, b.customersFile)
		assertContains(t, b.stdout, "1 customers, 2 plans and 1 services")
	})
	t.Run("every fault of both lists", func(t *testing.T) {
		customers := writeFile(t, "customers.yaml", "customers:\n  - name: Palermo\n    plan: crew\n    keyHashes: []\n    colour: red\n")
		planList := writeFile(t, "plans.yaml", "services: []\nplans:\n  - name: crew\n    uses:\n      - {service: nowhere, priority: urgent}\n")
		b.run(t, exitFailed, "plans", "check", customers, planList)
		assertContains(t, b.stderr, "4 faults",
			"customers.yaml: line 2: customers[0].name", "customers.yaml: line 4: customers[0].keyHashes", "customers.yaml: line 5: customers[0].colour: unknown field",
			"plans.yaml: line 5: plans[0].uses[0].service: service nowhere is not listed")
	})
	t.Run("json", func(t *testing.T) {
		customers := writeFile(t, "customers.yaml", customersYAML("nothing"))
		b.run(t, exitFailed, "plans", "check", "-o", "json", customers, b.plansFile)
		var result checkResult
		if err := json.Unmarshal([]byte(b.stdout), &result); err != nil || result.Valid || len(result.Faults) != 1 || result.Faults[0].Line != 3 {
			t.Errorf("result %+v, error %v", result, err)
		}
	})
	t.Run("one list alone", func(t *testing.T) { b.run(t, exitOK, "plans", "check", b.customersFile) })
	t.Run("same list twice", func(t *testing.T) { b.run(t, exitUsage, "plans", "check", b.plansFile, b.plansFile) })
	t.Run("flag behind a file", func(t *testing.T) {
		b.run(t, exitUsage, "plans", "check", b.plansFile, "-o")
		assertContains(t, b.stderr, "flags go before files")
	})
	t.Run("no file", func(t *testing.T) { b.run(t, exitUsage, "plans", "check") })
	t.Run("missing file", func(t *testing.T) { b.run(t, exitFailed, "plans", "check", "/nowhere.yaml") })
}

func TestPlansLifeCycle(t *testing.T) {
	b := newBench(t)
	b.plans(t, exitFailed, "show")
	assertContains(t, b.stderr, "no version yet")
	b.apply(t, "crew")
	assertContains(t, b.stdout, "version 1")
	b.apply(t, "council")

	t.Run("show", func(t *testing.T) {
		b.plans(t, exitOK, "show")
		assertContains(t, b.stdout, "version 2", "reason: to council", "1 customers, 2 plans, 1 services")
		b.plans(t, exitOK, "show", "--version", "1", "-o", "json")
		assertContains(t, b.stdout, `"plan": "crew"`)
	})
	t.Run("shown lists can be applied", func(t *testing.T) {
		b.plans(t, exitOK, "show", "--list", "customers")
		customers := writeFile(t, "customers.yaml", b.stdout)
		b.plans(t, exitOK, "show", "--list", "plans")
		planList := writeFile(t, "plans.yaml", b.stdout)
		b.plans(t, exitOK, "diff", customers, planList)
		assertContains(t, b.stdout, "no difference")
	})
	t.Run("diff", func(t *testing.T) {
		b.plans(t, exitOK, "diff", "--from", "1", "--to", "2")
		assertContains(t, b.stdout, "changed customer palermo: -plan=crew +plan=council")
		b.plans(t, exitOK, "diff", "-o", "json", b.customersFile, b.plansFile)
		var changes []listdiff.Change
		if err := json.Unmarshal([]byte(b.stdout), &changes); err != nil || len(changes) != 1 {
			t.Errorf("changes %v, error %v", changes, err)
		}
		b.plans(t, exitUsage, "diff")
	})
	t.Run("conflict", func(t *testing.T) {
		b.plans(t, exitConflict, "apply", "--after", "1", b.customersFile, b.plansFile)
		assertContains(t, b.stderr, "version 2 by", "nothing was changed", "to council", "changed customer palermo: -plan=council +plan=crew")
	})
	t.Run("restore", func(t *testing.T) {
		b.plans(t, exitOK, "restore", "1")
		assertContains(t, b.stdout, "version 3", "content of version 1")
		b.plans(t, exitOK, "diff", "--from", "1", "--to", "3")
		assertContains(t, b.stdout, "no difference")
		b.plans(t, exitFailed, "restore", "9")
		b.plans(t, exitUsage, "restore", "last")
	})
	t.Run("history", func(t *testing.T) {
		b.plans(t, exitOK, "history", "-o", "json")
		var versions []versionInfo
		if err := json.Unmarshal([]byte(b.stdout), &versions); err != nil || len(versions) != 3 || versions[0].Version != 3 {
			t.Errorf("history %v, error %v", versions, err)
		}
		b.plans(t, exitOK, "history", "-n", "1")
		assertContains(t, b.stdout, "content of version 1")
	})
	t.Run("collect", func(t *testing.T) {
		b.plans(t, exitOK, "collect")
		assertContains(t, b.stdout, "0 chunks and 0 old versions removed")
	})
	t.Run("restored platform", func(t *testing.T) {
		b.putStatus(t, objects.ZoneStatus{Zone: "palermo", Version: 20, Members: 1, Confirmed: 1})
		b.apply(t, "crew")
		assertContains(t, b.stdout, "version 21")
		assertContains(t, b.stderr, "restored from a backup", "goes above 20")
	})
	t.Run("above a version", func(t *testing.T) {
		t.Setenv("LAVENDERDEAL_AUTHOR", "night-shift")
		b.plans(t, exitOK, "apply", "--above", "30", b.customersFile, b.plansFile)
		assertContains(t, b.stdout, "version 31", "by night-shift")
	})
	t.Run("above what a node has", func(t *testing.T) {
		node := serveStatus(t, operator.Status{Version: 40})
		b.plans(t, exitOK, "restore", "--node", node, "1")
		assertContains(t, b.stdout, "version 41")
		assertContains(t, b.stderr, "restored from a backup: node "+node+" has version 40, the platform has 31")
		b.plans(t, exitFailed, "restore", "--node", "127.0.0.1:1", "1")
		assertContains(t, b.stderr, "nothing was changed")
	})
	t.Run("platform unreachable", func(t *testing.T) {
		b.api.SetFaults(objectapi.Faults{Down: true})
		b.plans(t, exitFailed, "show")
		b.run(t, exitUsage, "plans", "show")
		assertContains(t, b.stderr, "--platform")
	})
}

func (b *bench) putStatus(t *testing.T, status objects.ZoneStatus) {
	t.Helper()
	status.Writer = "test"
	value, err := json.Marshal(status)
	if err != nil {
		t.Fatal(err)
	}
	key := publish.StatusPrefix + status.Zone
	object, _ := b.store.Objects.Get(t.Context(), key)
	if _, err := b.store.Objects.Put(t.Context(), key, value, object.Revision); err != nil {
		t.Fatal(err)
	}
}

func TestPlansWatch(t *testing.T) {
	b := newBench(t)
	b.apply(t, "crew")
	t.Run("no zone", func(t *testing.T) {
		b.plans(t, exitTimeLimit, "watch", "--limit", "10ms")
		assertContains(t, b.stderr, "not confirmed after 10ms")
	})
	t.Run("a node is missing", func(t *testing.T) {
		b.putStatus(t, objects.ZoneStatus{
			Zone: "palermo", Version: 1, Members: 2, Confirmed: 1,
			Missing: []objects.Lag{{Node: "n7", Version: 0, Reason: "plans[0].name: no"}},
		})
		b.plans(t, exitTimeLimit, "watch", "--limit", "300ms")
		assertContains(t, b.stdout, "palermo: version 1, 1/2 nodes, waiting: 1 of 2 nodes confirmed; n7 has version 0: plans[0].name: no")
		assertContains(t, b.stderr, "palermo 1 of 2 nodes confirmed")
	})
	t.Run("confirmed", func(t *testing.T) {
		b.putStatus(t, objects.ZoneStatus{Zone: "palermo", Version: 1, Members: 2, Confirmed: 2})
		b.plans(t, exitOK, "watch", "-o", "json")
		assertContains(t, b.stdout, `"confirmed": true`)
	})
	t.Run("a named zone has no status", func(t *testing.T) {
		b.plans(t, exitTimeLimit, "watch", "--limit", "300ms", "--zones", "palermo,catania")
		assertContains(t, b.stderr, "catania has no status")
	})
	t.Run("until the last zone confirms", func(t *testing.T) {
		b.putStatus(t, objects.ZoneStatus{Zone: "catania", Version: 1, Members: 1, Confirmed: 0})
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		stdout := &firstLine{then: func() {
			b.putStatus(t, objects.ZoneStatus{Zone: "catania", Version: 1, Members: 1, Confirmed: 1})
		}}
		var stderr bytes.Buffer
		if code := run(ctx, []string{"plans", "watch", "--platform", b.platform.String()}, stdout, &stderr); code != exitOK {
			t.Errorf("exit code %d, stderr %s", code, &stderr)
		}
		assertContains(t, stdout.String(), "0/1 nodes, waiting", "catania: version 1, 1/1 nodes, confirmed")
	})
}

// serveStatus serves a node's status and returns the address.
func serveStatus(t *testing.T, status operator.Status) string {
	t.Helper()
	return testserver.Start(t, &operator.Handler{Status: func() operator.Status { return status }}).Addr().String()
}

// TestNodesConfirm has real nodes follow a change, one zone each.
func TestNodesConfirm(t *testing.T) {
	b := newBench(t)
	var nodes []string
	for _, zone := range []string{"catania", "palermo"} {
		n := startNode(t, zone, b.platform, memory.New())
		nodes = append(nodes, "--node", n.Addresses().Operator.String())
	}
	var backup map[string][]byte
	for version, plan := range []string{"crew", "council"} {
		backup = b.api.Snapshot()
		b.apply(t, plan)
		b.plans(t, exitOK, "watch", "--limit", "30s", "--zones", "catania,palermo")
		assertContains(t, b.stdout, fmt.Sprintf("catania: version %d, 1/1 nodes, confirmed", version+1))
	}
	b.run(t, exitOK, append([]string{"explain", "--kind", "versionApplied"}, nodes...)...)
	assertContains(t, b.stdout, "versionApplied")
	b.run(t, exitOK, append([]string{"status"}, nodes...)...)
	assertContains(t, b.stdout, "catania", "palermo")

	// The platform goes back to version 1, and the status of the zones with it.
	b.api.Restore(backup)
	b.plans(t, exitOK, "restore", append(nodes, "1")...)
	assertContains(t, b.stderr, "restored from a backup")
	assertContains(t, b.stdout, "version 3")
	b.plans(t, exitOK, "watch", "--limit", "30s", "--zones", "catania,palermo")
	assertContains(t, b.stdout, "catania: version 3, 1/1 nodes, confirmed")
}

// firstLine calls then after the first write.
type firstLine struct {
	bytes.Buffer
	then func()
}

func (f *firstLine) Write(p []byte) (int, error) {
	n, err := f.Buffer.Write(p)
	if f.then != nil {
		f.then()
		f.then = nil
	}
	return n, err
}

func TestStatusAndExplain(t *testing.T) {
	b := &bench{}
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
		b.run(t, exitOK, "status", "--node", addresses[0], "--node", addresses[1])
		assertContains(t, b.stdout, "catania", "palermo", "ready")
		b.run(t, exitOK, "status", "-o", "json", "--node", strings.Join(addresses, ","))
		assertContains(t, b.stdout, `"zone": "palermo"`)
	})
	t.Run("explain", func(t *testing.T) {
		b.run(t, exitOK, "explain", "--node", addresses[0], "--node", addresses[1], "--kind", "versionApplied")
		if strings.Index(b.stdout, "palermo") > strings.Index(b.stdout, "catania") || strings.Contains(b.stdout, "versionRejected") {
			t.Errorf("want only versionApplied, by time:\n%s", b.stdout)
		}
	})
	t.Run("one node does not answer", func(t *testing.T) {
		b.run(t, exitFailed, "status", "--node", addresses[0], "--node", "127.0.0.1:1")
		assertContains(t, b.stdout, "catania", "no answer")
		assertContains(t, b.stderr, "1 of 2 nodes did not answer or refused", "127.0.0.1:1")
	})
	t.Run("no node", func(t *testing.T) { b.run(t, exitUsage, "status") })
}
