package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"lavenderdeal/internal/node"
	"lavenderdeal/internal/standin/objectapi"
	"lavenderdeal/internal/standin/testserver"
	"lavenderdeal/internal/units"
	"lavenderdeal/io/operator"
	"lavenderdeal/io/settings"
)

const (
	testPeerKey     = "peer-key-to-be-hidden"
	testOperatorKey = "operator-key-to-be-hidden"
	testToken       = "token-to-be-hidden"
	wrongKey        = "wrong-key-to-be-hidden"
)

// startNodeWithKeys starts a node with a stand-in platform and the test keys. It also
// returns the node's log, which is kept in memory.
func startNodeWithKeys(t *testing.T) (*node.Node, *memory.Handler) {
	t.Helper()
	store := testserver.Start(t, objectapi.New())
	lines := memory.New()
	return startNode(t, "catania", store.Addr(), lines), lines
}

// startNode starts a node whose backend server is not running.
func startNode(t *testing.T, zone string, store netip.AddrPort, lines log.Handler) *node.Node {
	t.Helper()
	cfg := settings.ForLoopback(zone, "availability", netip.MustParseAddrPort("127.0.0.1:1"), store)
	cfg.PeerKey, cfg.OperatorKey, cfg.Platform.Token = testPeerKey, testOperatorKey, testToken
	cfg.Drain.Announce, cfg.Drain.Finish = 0, units.Duration(time.Second)
	n, err := node.Start(cfg, node.WithLog(&log.Logger{Handler: lines, Level: log.DebugLevel}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Kill)
	return n
}

// TestKeysStayHidden checks that no key appears in errors, on the operator port or in
// the log.
func TestKeysStayHidden(t *testing.T) {
	n, lines := startNodeWithKeys(t)
	port := n.Addresses().Operator
	wrong := operator.NewClient(port, wrongKey)
	defer wrong.Close()
	err := wrong.Drain(t.Context())
	if err == nil {
		t.Fatal("a wrong key was accepted")
	}
	if count := n.Metrics().Counter("operatorKeysRefused"); count != 1 {
		t.Errorf("operatorKeysRefused is %d, want 1", count)
	}
	assertHidden(t, "error", err.Error())
	for _, path := range []string{"/status", "/explain", "/metrics"} {
		assertHidden(t, path, get(t, fmt.Sprintf("http://%s%s", port, path)))
	}
	n.Kill()
	entries, err := json.Marshal(lines.Entries)
	if err != nil {
		t.Fatal(err)
	}
	assertHidden(t, "log", string(entries))
}

// TestDrainByOperator guards against operators' writes that are accepted without the
// right key, against a drain of nodes that only LAVENDERDEAL_NODE lists, and against a
// drained node that does not stop.
func TestDrainByOperator(t *testing.T) {
	n, _ := startNodeWithKeys(t)
	client := operator.NewClient(n.Addresses().Operator, testOperatorKey)
	defer client.Close()
	select {
	case <-n.Draining():
		t.Fatal("the node drains before the request")
	default:
	}
	if err := client.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	env := &testEnv{}
	address := n.Addresses().Operator.String()
	env.run(t, exitUsage, "drain", "--node", address)
	env.run(t, exitFailed, "drain", "--node", address, "--operator-key", wrongKey)
	assertHidden(t, "message", env.stderr)
	env.run(t, exitFailed, "lift", "--node", address, "--operator-key", testOperatorKey, "unknown")
	assertContains(t, env.stderr, "fingerprintUnknown")
	t.Setenv("LAVENDERDEAL_OPERATOR_KEY", testOperatorKey)
	t.Setenv("LAVENDERDEAL_NODE", address)
	env.run(t, exitUsage, "drain")
	env.run(t, exitOK, "drain", "--node", address)
	assertContains(t, env.stdout, address+" leaving")
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	waitForStop(ctx, n)
	if ctx.Err() != nil {
		t.Error("the node does not stop")
	}
}

func get(t *testing.T, url string) string {
	t.Helper()
	transport := &http.Transport{DisableKeepAlives: true}
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%s: status %d, error %v", url, resp.StatusCode, err)
	}
	return string(body)
}

// assertHidden checks that a text contains none of the keys.
func assertHidden(t *testing.T, name, text string) {
	t.Helper()
	for _, key := range []string{testPeerKey, testOperatorKey, testToken, wrongKey} {
		if strings.Contains(text, key) {
			t.Errorf("%s contains a key: %s", name, text)
		}
	}
}
