package membership

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"lavenderdeal/core/explain"
	"lavenderdeal/core/member"
	"lavenderdeal/internal/wait"
	"lavenderdeal/io/platform"
	"lavenderdeal/schema/objects"
)

const (
	peersPrefix        = "peers/"
	defaultStartJitter = 2 * time.Second
	lookPause          = 1 * time.Second
	maxLookPause       = 10 * time.Second
	refreshPeriod      = 30 * time.Second
	// rolePause is the time between two looks at whether the node has become a
	// representative.
	rolePause = 1 * time.Second
	// zonePause is the time between two reads of the objects of other zones.
	zonePause = 100 * time.Millisecond
	// maxAddresses is the number of addresses in the object of a zone.
	maxAddresses = 16
	// keptAddresses is how many addresses stay when a node that reached none of
	// them writes its own.
	keptAddresses = 3
	// failuresReported is the number of failed looks in a row that is reported.
	failuresReported = 3
)

// findPeers finds the fleet by the platform until the node has joined, and keeps
// the zone's object current afterwards while the node is a representative.
func (l *Loop) findPeers(ctx context.Context) error {
	spread := l.StartJitter
	if spread == 0 {
		spread = defaultStartJitter
	}
	wait.For(ctx, rand.N(spread))
	l.look(ctx)
	for ctx.Err() == nil {
		// A node may become a representative at any time, often soon after it
		// joined; waiting out a whole period would leave the zone without one.
		pause := rolePause
		if l.ask((*member.Table).IsRepresentative) {
			l.refresh(ctx)
			l.visitZones(ctx)
			pause = refreshPeriod*3/4 + rand.N(refreshPeriod/2)
		}
		wait.For(ctx, pause)
	}
	return nil
}

// look reads the zone's object until the node has joined or has made itself the
// one by whom the zone is found.
func (l *Loop) look(ctx context.Context) {
	pause := lookPause
	failures := 0
	for hasTried := false; ctx.Err() == nil && !l.ask((*member.Table).HasJoined); hasTried = true {
		isFound, err := l.lookOnce(ctx, hasTried)
		switch {
		case err != nil:
			l.Metrics.Add("platformErrors", 1)
			if failures++; failures == failuresReported {
				l.record("noPeer", "neither a peer nor the platform answers: "+err.Error())
			}
			pause = min(2*pause, maxLookPause)
		case isFound:
			return
		default:
			failures = 0
		}
		wait.For(ctx, rand.N(pause)+time.Millisecond)
	}
}

// lookOnce reads the zone's object. Without one, or when its addresses were
// tried in vain, it writes one with the node's own address and returns true.
func (l *Loop) lookOnce(ctx context.Context, hasTried bool) (bool, error) {
	known, revision, err := l.read(ctx, l.zone)
	if err != nil {
		return false, err
	}
	others := slices.DeleteFunc(known, func(a netip.AddrPort) bool { return a == l.own })
	l.event(func(t *member.Table, _ time.Time) []member.Effect {
		t.AddSeeds(others)
		return nil
	})
	if len(others) > 0 && (!hasTried || l.ask((*member.Table).IsJoining)) {
		return false, nil
	}
	kept := others[:min(len(others), keptAddresses)]
	return l.write(ctx, append([]netip.AddrPort{l.own}, kept...), revision)
}

// refresh writes the zone's object when it differs from the members that it
// should list.
func (l *Loop) refresh(ctx context.Context) {
	known, revision, err := l.read(ctx, l.zone)
	if err != nil {
		l.Metrics.Add("platformErrors", 1)
		return
	}
	wanted := l.contacts()
	if slices.Equal(known, wanted) {
		return
	}
	if _, err := l.write(ctx, wanted, revision); err != nil {
		l.Metrics.Add("platformErrors", 1)
	}
}

// visitZones asks a node of each zone that the platform lists and of which the
// node knows nobody.
func (l *Loop) visitZones(ctx context.Context) {
	entries, err := l.Platform.List(ctx, peersPrefix)
	if err != nil {
		l.Metrics.Add("platformErrors", 1)
		return
	}
	for _, entry := range entries {
		zone := strings.TrimPrefix(entry.Key, peersPrefix)
		if zone == l.zone || l.ask(func(t *member.Table) bool { return t.HasLiveMember(zone) }) {
			continue
		}
		addresses, _, err := l.read(ctx, zone)
		if err != nil {
			l.Metrics.Add("platformErrors", 1)
			continue
		}
		l.event(func(t *member.Table, now time.Time) []member.Effect { return t.AddZone(now, addresses) })
		wait.For(ctx, zonePause)
	}
}

// read returns the addresses in a zone's object; none when it is missing or
// malformed.
func (l *Loop) read(ctx context.Context, zone string) ([]netip.AddrPort, platform.Revision, error) {
	object, err := l.Platform.Get(ctx, peersPrefix+zone)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var peers objects.ZonePeers
	if err := json.Unmarshal(object.Value, &peers); err != nil {
		l.Metrics.Add("zonePeersMalformed", 1)
		return nil, object.Revision, nil
	}
	return peers.Addresses[:min(len(peers.Addresses), maxAddresses)], object.Revision, nil
}

// write returns false when somebody else wrote first.
func (l *Loop) write(ctx context.Context, addresses []netip.AddrPort, after platform.Revision) (bool, error) {
	value, err := json.Marshal(objects.ZonePeers{Zone: l.zone, Addresses: addresses})
	if err != nil {
		return false, errors.Wrap(err, "encode the addresses of the zone")
	}
	l.Metrics.Add("zonePeersWrites", 1)
	_, err = l.Platform.Put(ctx, peersPrefix+l.zone, value, after)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return false, nil
	}
	return err == nil, err
}

// ask returns what the table says.
func (l *Loop) ask(question func(*member.Table) bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return question(l.table)
}

func (l *Loop) contacts() []netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Contacts(maxAddresses)
}

func (l *Loop) record(kind, detail string) {
	l.Ring.Add(explain.Record{At: time.Now(), Kind: kind, Subject: l.zone, Detail: detail})
	l.Log.WithField("subject", l.zone).WithField("detail", detail).Info(kind)
}
