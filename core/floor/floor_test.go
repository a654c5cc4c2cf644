package floor_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lavenderdeal/core/floor"
	"lavenderdeal/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

var now = time.Unix(1_000_000, 0)

func TestGate(t *testing.T) {
	t.Run("with nothing the floor is unknown", func(t *testing.T) {
		var g floor.Gate
		assertUnknown(t, &g, now, "no answer of the platform or of a reader yet")
	})
	t.Run("the platform's answer is enough when nobody else is known", func(t *testing.T) {
		var g floor.Gate
		g.PlatformAnswered(7)
		assertKnown(t, &g, now, 7, "platform")
	})
	t.Run("peers that were asked are waited for", func(t *testing.T) {
		var g floor.Gate
		g.Ask(now, "n1", "n2")
		g.PlatformAnswered(7)
		assertUnknown(t, &g, now, "waits for 2 peers")
		g.Peer("n1", floor.Answer{Number: 9, Ready: true})
		g.PeerFailed("n2")
		assertKnown(t, &g, now, 9, "platform")
	})
	t.Run("a peer that does not answer is not waited for without bound", func(t *testing.T) {
		var g floor.Gate
		g.Ask(now, "n1")
		g.PlatformAnswered(7)
		assertKnown(t, &g, now.Add(floor.AskTimeout), 7, "platform")
	})
	t.Run("with the platform out the highest ready peer counts", func(t *testing.T) {
		var g floor.Gate
		g.PlatformLost()
		g.Ask(now, "n1", "n2")
		g.Peer("n1", floor.Answer{Number: 4, Ready: true})
		g.Peer("n2", floor.Answer{Number: 6, Ready: true})
		assertKnown(t, &g, now, 6, "2 peers, the platform is out")
	})
	t.Run("a reader without the platform says that it is out", func(t *testing.T) {
		var g floor.Gate
		g.Peer("n1", floor.Answer{Number: 4, Ready: true, PlatformLost: true})
		assertKnown(t, &g, now, 4, "1 peers, the platform is out")
	})
	t.Run("a reader with the platform stands for it", func(t *testing.T) {
		var g floor.Gate
		g.Peer("n1", floor.Answer{Number: 4, Ready: true, PlatformFresh: true})
		assertKnown(t, &g, now, 4, "platform, by reader n1")
	})
	t.Run("with both out the floor is unknown", func(t *testing.T) {
		var g floor.Gate
		g.PlatformLost()
		g.Ask(now, "n1")
		g.PeerFailed("n1")
		assertUnknown(t, &g, now, "the platform is out and no ready peer answers")
	})
	t.Run("peers that start too do not make a floor", func(t *testing.T) {
		var g floor.Gate
		g.PlatformLost()
		g.Peer("n1", floor.Answer{Number: 4})
		assertUnknown(t, &g, now, "the platform is out and no ready peer answers")
	})
	t.Run("a platform that was emptied does not take the node back", func(t *testing.T) {
		var g floor.Gate
		g.PlatformAnswered(0)
		g.Peer("n1", floor.Answer{Number: 4, Ready: true})
		assertKnown(t, &g, now, 4, "1 peers, the platform is out")
	})
	t.Run("an empty platform and no peer leave the floor unknown", func(t *testing.T) {
		var g floor.Gate
		g.PlatformAnswered(0)
		assertUnknown(t, &g, now, "the platform has no version and no peer has one")
	})
	t.Run("an answer of the platform after an outage counts", func(t *testing.T) {
		var g floor.Gate
		g.PlatformLost()
		g.PlatformAnswered(3)
		assertKnown(t, &g, now, 3, "platform")
	})
}

// TestGateNeverBelow checks that a known floor is never below the version of a
// peer that answered, and that it needs the platform or a ready peer.
func TestGateNeverBelow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var g floor.Gate
		at := now
		answered := map[string]floor.Answer{}
		platform := uint64(0)
		id := rapid.SampledFrom([]string{"n1", "n2", "n3"})
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) { g.Ask(at, id.Draw(t, "id")) },
			"answer": func(t *rapid.T) {
				a := floor.Answer{
					Number: rapid.Uint64Range(0, 9).Draw(t, "number"),
					Ready:  rapid.Bool().Draw(t, "ready"), PlatformFresh: rapid.Bool().Draw(t, "fresh"),
				}
				who := id.Draw(t, "id")
				answered[who] = a
				g.Peer(who, a)
			},
			"fail": func(t *rapid.T) { g.PeerFailed(id.Draw(t, "id")) },
			"platform": func(t *rapid.T) {
				platform = rapid.Uint64Range(0, 9).Draw(t, "number")
				g.PlatformAnswered(platform)
			},
			"platformLost": func(*rapid.T) { g.PlatformLost() },
			"time": func(t *rapid.T) {
				at = at.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "millis")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				known, ok := g.Known(at)
				if !ok {
					return
				}
				ready := platform > 0
				for who, a := range answered {
					ready = ready || a.Ready && a.Number > 0
					if a.Number > known.Number {
						t.Fatalf("the floor %d is below %d of %s", known.Number, a.Number, who)
					}
				}
				if !ready || known.Number == 0 {
					t.Fatalf("the floor %d is known from %q although nobody could say", known.Number, known.Source)
				}
			},
		})
	})
}

func assertKnown(t *testing.T, g *floor.Gate, at time.Time, number uint64, source string) {
	t.Helper()
	known, ok := g.Known(at)
	if !ok || known.Number != number || known.Source != source {
		t.Fatalf("got %+v, %v, want %d from %s", known, ok, number, source)
	}
}

func assertUnknown(t *testing.T, g *floor.Gate, at time.Time, reason string) {
	t.Helper()
	if known, ok := g.Known(at); ok {
		t.Fatalf("the floor is known: %+v", known)
	}
	if got := g.Reason(at); got != reason {
		t.Fatalf("got reason %q, want %q", got, reason)
	}
}
