package minversion_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lavenderdeal/core/minversion"
	"lavenderdeal/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

var now = time.Unix(1_000_000, 0)

// TestResolver checks what determines the minimum version. If it were too low, a restarted
// node would go back to an older version.
func TestResolver(t *testing.T) {
	t.Run("without answers the minimum version is unknown", func(t *testing.T) {
		var r minversion.Resolver
		assertUnknown(t, &r, now, "no answer of the platform or of a reader yet")
	})
	t.Run("the platform's answer is enough without peers", func(t *testing.T) {
		var r minversion.Resolver
		r.PlatformAnswered(7)
		assertKnown(t, &r, now, 7, "platform")
	})
	t.Run("queried peers are waited for", func(t *testing.T) {
		var r minversion.Resolver
		r.PeersQueried(now, "n1", "n2")
		r.PlatformAnswered(7)
		assertUnknown(t, &r, now, "waits for 2 peers")
		r.PeerAnswered("n1", minversion.Answer{Number: 9, Ready: true})
		r.PeerFailed("n2")
		assertKnown(t, &r, now, 9, "platform")
	})
	t.Run("the wait for a peer ends at its timeout", func(t *testing.T) {
		var r minversion.Resolver
		r.PeersQueried(now, "n1")
		r.PlatformAnswered(7)
		assertKnown(t, &r, now.Add(minversion.PeerTimeout), 7, "platform")
	})
	t.Run("while the platform is unreachable the highest ready peer decides", func(t *testing.T) {
		var r minversion.Resolver
		r.PlatformUnreachable()
		r.PeersQueried(now, "n1", "n2")
		r.PeerAnswered("n1", minversion.Answer{Number: 4, Ready: true})
		r.PeerAnswered("n2", minversion.Answer{Number: 6, Ready: true})
		assertKnown(t, &r, now, 6, "2 peers, the platform is out")
	})
	t.Run("a reader reports the platform as unreachable", func(t *testing.T) {
		var r minversion.Resolver
		r.PeerAnswered("n1", minversion.Answer{Number: 4, Ready: true, PlatformUnreachable: true})
		assertKnown(t, &r, now, 4, "1 peers, the platform is out")
	})
	t.Run("a reader with a working watch is enough", func(t *testing.T) {
		var r minversion.Resolver
		r.PeerAnswered("n1", minversion.Answer{Number: 4, Ready: true, PlatformFresh: true})
		assertKnown(t, &r, now, 4, "platform, by reader n1")
	})
	t.Run("with the platform and the peers unreachable the minimum version is unknown", func(t *testing.T) {
		var r minversion.Resolver
		r.PlatformUnreachable()
		r.PeersQueried(now, "n1")
		r.PeerFailed("n1")
		assertUnknown(t, &r, now, "the platform is out and no ready peer answers")
	})
	t.Run("peers that are not ready do not decide", func(t *testing.T) {
		var r minversion.Resolver
		r.PlatformUnreachable()
		r.PeerAnswered("n1", minversion.Answer{Number: 4})
		assertUnknown(t, &r, now, "the platform is out and no ready peer answers")
	})
	t.Run("an emptied platform does not roll back the node", func(t *testing.T) {
		var r minversion.Resolver
		r.PlatformAnswered(0)
		r.PeerAnswered("n1", minversion.Answer{Number: 4, Ready: true})
		assertKnown(t, &r, now, 4, "1 peers, the platform is out")
	})
	t.Run("with an empty platform and no peer the minimum version is unknown", func(t *testing.T) {
		var r minversion.Resolver
		r.PlatformAnswered(0)
		assertUnknown(t, &r, now, "the platform has no version and no peer has one")
	})
	t.Run("an answer of the platform after an outage is used", func(t *testing.T) {
		var r minversion.Resolver
		r.PlatformUnreachable()
		r.PlatformAnswered(3)
		assertKnown(t, &r, now, 3, "platform")
	})
}

// TestResultNotBelowPeers checks that the minimum version is never below the version of
// a peer that answered, and that it needs an answer of the platform or of a ready
// peer with a version.
func TestResultNotBelowPeers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r minversion.Resolver
		at := now
		answered := map[string]minversion.Answer{}
		platform := uint64(0)
		id := rapid.SampledFrom([]string{"n1", "n2", "n3"})
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) { r.PeersQueried(at, id.Draw(t, "id")) },
			"answer": func(t *rapid.T) {
				a := minversion.Answer{
					Number: rapid.Uint64Range(0, 9).Draw(t, "number"),
					Ready:  rapid.Bool().Draw(t, "ready"), PlatformFresh: rapid.Bool().Draw(t, "fresh"),
				}
				peer := id.Draw(t, "id")
				answered[peer] = a
				r.PeerAnswered(peer, a)
			},
			"fail": func(t *rapid.T) { r.PeerFailed(id.Draw(t, "id")) },
			"platform": func(t *rapid.T) {
				platform = rapid.Uint64Range(0, 9).Draw(t, "number")
				r.PlatformAnswered(platform)
			},
			"platformLost": func(*rapid.T) { r.PlatformUnreachable() },
			"time": func(t *rapid.T) {
				at = at.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "millis")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				known, ok := r.Result(at)
				if !ok {
					return
				}
				ready := platform > 0
				for peer, a := range answered {
					ready = ready || a.Ready && a.Number > 0
					if a.Number > known.Number {
						t.Fatalf("the minimum version %d is below version %d of peer %s", known.Number, a.Number, peer)
					}
				}
				if !ready || known.Number == 0 {
					t.Fatalf("minimum version %d from %q without an answer of the platform or a ready peer", known.Number, known.Source)
				}
			},
		})
	})
}

func assertKnown(t *testing.T, r *minversion.Resolver, at time.Time, number uint64, source string) {
	t.Helper()
	known, ok := r.Result(at)
	if !ok || known.Number != number || known.Source != source {
		t.Fatalf("got %+v, %v, want %d from %s", known, ok, number, source)
	}
}

func assertUnknown(t *testing.T, r *minversion.Resolver, at time.Time, reason string) {
	t.Helper()
	if known, ok := r.Result(at); ok {
		t.Fatalf("got %+v, want no minimum version", known)
	}
	if got := r.PendingReason(at); got != reason {
		t.Fatalf("got reason %q, want %q", got, reason)
	}
}
