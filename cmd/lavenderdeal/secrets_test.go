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
	testPeerKey     = "peer-key-that-nobody-may-see"
	testOperatorKey = "operator-key-that-nobody-may-see"
	testToken       = "token-that-nobody-may-see"
	wrongKey        = "wrong-key-that-nobody-may-see"
)

func startForSecrets(t *testing.T) (*node.Node, *memory.Handler) {
	t.Helper()
	store := testserver.Start(t, objectapi.New())
	lines := memory.New()
	return startNode(t, "catania", store.Addr(), lines), lines
}

// startNode starts a node without a backend server.
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

func TestKeysStayHidden(t *testing.T) {
	n, lines := startForSecrets(t)
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

func TestDrainByOperator(t *testing.T) {
	n, _ := startForSecrets(t)
	client := operator.NewClient(n.Addresses().Operator, testOperatorKey)
	defer client.Close()
	select {
	case <-n.Draining():
		t.Fatal("the node drains before it was asked")
	default:
	}
	if err := client.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	b := &bench{}
	address := n.Addresses().Operator.String()
	b.run(t, exitUsage, "drain", "--node", address)
	b.run(t, exitFailed, "drain", "--node", address, "--operator-key", wrongKey)
	assertHidden(t, "message", b.stderr)
	b.run(t, exitFailed, "lift", "--node", address, "--operator-key", testOperatorKey, "unknown")
	assertContains(t, b.stderr, "fingerprintUnknown")
	t.Setenv("LAVENDERDEAL_OPERATOR_KEY", testOperatorKey)
	t.Setenv("LAVENDERDEAL_NODE", address)
	b.run(t, exitUsage, "drain")
	b.run(t, exitOK, "drain", "--node", address)
	assertContains(t, b.stdout, address+" leaving")
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
	answer, err := transport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil || answer.StatusCode != http.StatusOK {
		t.Fatalf("%s: status %d, error %v", url, answer.StatusCode, err)
	}
	return string(body)
}

func assertHidden(t *testing.T, where, text string) {
	t.Helper()
	for _, key := range []string{testPeerKey, testOperatorKey, testToken, wrongKey} {
		if strings.Contains(text, key) {
			t.Errorf("%s holds a key: %s", where, text)
		}
	}
}
