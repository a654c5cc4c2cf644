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
	// peersPrefix and the name of a zone form the key of the zone's object.
	peersPrefix        = "peers/"
	defaultStartJitter = 2 * time.Second
	// discoverPause is the longest pause between two reads of the zone's object by a
	// node that has not joined. It doubles after each failure up to maxDiscoverPause.
	discoverPause    = 1 * time.Second
	maxDiscoverPause = 10 * time.Second
	// refreshPeriod is the mean time between two checks of the zone's object by a
	// representative of the zone.
	refreshPeriod = 30 * time.Second
	// roleCheckPeriod is the time between two checks whether the node has become a
	// representative of its zone.
	roleCheckPeriod = 1 * time.Second
	// zonePause is the time between two reads of objects of other zones.
	zonePause = 100 * time.Millisecond
	// maxAddresses is the maximum number of addresses in the object of a zone.
	maxAddresses = 16
	// keptAddresses is the number of addresses that a node keeps in the object when
	// it reached none of them and adds its own.
	keptAddresses = 3
	// failuresBeforeRecord is the number of consecutive failed attempts to use the
	// platform after which the node records that it finds no peer.
	failuresBeforeRecord = 3
)

// findPeers finds peers through the platform until the node has joined the fleet.
// Afterwards it keeps the zone's object up to date while the node is a
// representative of the zone.
func (l *Loop) findPeers(ctx context.Context) error {
	spread := l.StartJitter
	if spread == 0 {
		spread = defaultStartJitter
	}
	wait.For(ctx, rand.N(spread))
	l.discover(ctx)
	for ctx.Err() == nil {
		// A node may become a representative at any time, often soon after it
		// joined. If it checked only every refreshPeriod, the zone could be without
		// an active representative for that long.
		pause := roleCheckPeriod
		if l.query((*member.Table).IsRepresentative) {
			l.refresh(ctx)
			l.contactZones(ctx)
			pause = refreshPeriod*3/4 + rand.N(refreshPeriod/2)
		}
		wait.For(ctx, pause)
	}
	return nil
}

// discover reads the zone's object until the node has joined the fleet or has
// written its own address to the object.
func (l *Loop) discover(ctx context.Context) {
	pause := discoverPause
	failures := 0
	for hasTried := false; ctx.Err() == nil && !l.query((*member.Table).HasJoined); hasTried = true {
		isWritten, err := l.discoverOnce(ctx, hasTried)
		switch {
		case err != nil:
			l.Metrics.Add("platformErrors", 1)
			if failures++; failures == failuresBeforeRecord {
				l.record("noPeer", "neither a peer nor the platform answers: "+err.Error())
			}
			pause = min(2*pause, maxDiscoverPause)
		case isWritten:
			return
		default:
			failures = 0
		}
		wait.For(ctx, rand.N(pause)+time.Millisecond)
	}
}

// discoverOnce reads the zone's object and adds its addresses as seeds. If the
// object has no other address, or none of them answered, it writes the object
// with the node's own address. The argument hasTried is set when an earlier attempt
// added seeds. It returns true if the object was written.
func (l *Loop) discoverOnce(ctx context.Context, hasTried bool) (bool, error) {
	known, revision, err := l.read(ctx, l.zone)
	if err != nil {
		return false, err
	}
	others := slices.DeleteFunc(known, func(a netip.AddrPort) bool { return a == l.ownAddr })
	l.event(func(t *member.Table, _ time.Time) []member.Effect {
		t.AddSeeds(others)
		return nil
	})
	if len(others) > 0 && (!hasTried || l.query((*member.Table).IsJoining)) {
		return false, nil
	}
	kept := others[:min(len(others), keptAddresses)]
	return l.write(ctx, append([]netip.AddrPort{l.ownAddr}, kept...), revision)
}

// refresh writes the zone's object if it doesn't list the current contacts of the
// zone.
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

// contactZones contacts a node of each zone that the platform lists and of which
// the table has no live member.
func (l *Loop) contactZones(ctx context.Context) {
	entries, err := l.Platform.List(ctx, peersPrefix)
	if err != nil {
		l.Metrics.Add("platformErrors", 1)
		return
	}
	for _, entry := range entries {
		zone := strings.TrimPrefix(entry.Key, peersPrefix)
		if zone == l.zone || l.query(func(t *member.Table) bool { return t.HasOtherLiveMember(zone) }) {
			continue
		}
		addresses, _, err := l.read(ctx, zone)
		if err != nil {
			l.Metrics.Add("platformErrors", 1)
			continue
		}
		l.event(func(t *member.Table, now time.Time) []member.Effect { return t.AddZoneSeeds(now, addresses) })
		wait.For(ctx, zonePause)
	}
}

// read returns the addresses in a zone's object, or none if the object is missing
// or malformed.
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

// write writes the zone's object. It returns false if the object no longer has the
// given revision.
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

// query returns the result of read, which it calls with mu held.
func (l *Loop) query(read func(*member.Table) bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return read(l.table)
}

// contacts returns the addresses that the zone's object should list.
func (l *Loop) contacts() []netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Contacts(maxAddresses)
}

// record adds a record about the node's zone to the ring and logs it.
func (l *Loop) record(kind, detail string) {
	l.Ring.Add(explain.Record{At: time.Now(), Kind: kind, Subject: l.zone, Detail: detail})
	l.Log.WithField("subject", l.zone).WithField("detail", detail).Info(kind)
}
