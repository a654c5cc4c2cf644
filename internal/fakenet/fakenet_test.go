package fakenet_test

import (
	"net/netip"
	"testing"

	"lavenderdeal/internal/fakenet"
)

var (
	a = netip.MustParseAddrPort("10.0.0.1:1")
	b = netip.MustParseAddrPort("10.0.0.2:1")
)

// TestNetwork guards against a network that loses or reorders packets on its own, or
// delivers them over a link that is cut. The property tests that use the network would
// then check other situations than they claim.
func TestNetwork(t *testing.T) {
	t.Run("packets can be taken in any order", func(t *testing.T) {
		var n fakenet.Network[string]
		n.Send(a, b, "first")
		n.Send(a, b, "second")
		assertTaken(t, &n, 1, "second", true)
		assertTaken(t, &n, 0, "first", true)
	})
	t.Run("a duplicate is delivered too", func(t *testing.T) {
		var n fakenet.Network[string]
		n.Send(a, b, "once")
		n.Duplicate(0)
		assertTaken(t, &n, 0, "once", true)
		assertTaken(t, &n, 0, "once", true)
	})
	t.Run("a cut applies to one direction until healed", func(t *testing.T) {
		var n fakenet.Network[string]
		n.CutOneWay(a, b)
		n.Send(a, b, "lost")
		n.Send(b, a, "back")
		assertTaken(t, &n, 0, "lost", false)
		assertTaken(t, &n, 0, "back", true)
		n.Heal(b, a)
		n.Send(a, b, "again")
		assertTaken(t, &n, 0, "again", true)
	})
}

func assertTaken(t *testing.T, n *fakenet.Network[string], index int, message string, delivered bool) {
	t.Helper()
	packet, ok := n.Take(index)
	if packet.Message != message || ok != delivered {
		t.Fatalf("took %q, delivered %v; want %q, delivered %v", packet.Message, ok, message, delivered)
	}
}
