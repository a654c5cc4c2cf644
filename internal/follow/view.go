package follow

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"lavenderdeal/core/fleet"
	core "lavenderdeal/core/follow"
	"lavenderdeal/core/relay"
	"lavenderdeal/schema/messages"
)

const (
	// maxNeighbours limits the nodes of the own zone that neighbours returns after
	// the readers and the nodes that alternate with them.
	maxNeighbours = 8
	// maxRemoteReaders limits the readers of other zones that are queried.
	maxRemoteReaders = 4
)

// updateView applies a new view of the fleet. It determines the readers of the zone
// and the peers from which missing data is fetched.
func (l *Loop) updateView() {
	view := l.View.Load()
	l.mu.Lock()
	if view == nil || view.Self().Id == "" {
		l.mu.Unlock()
		return
	}
	settled := l.isSettled(view)
	if view == l.view && settled == l.settled {
		l.mu.Unlock()
		return
	}
	l.view, l.settled = view, settled
	self := view.Self()
	l.readers = relay.Readers(view.Members(), self.Zone)
	isReader := slices.Contains(l.readers, self.Id) && settled
	became := isReader && !l.isReader
	ceased := l.isReader && !isReader
	l.isReader = isReader
	if became {
		l.readerSince = time.Now()
		l.statusWriter.Reset()
	}
	if ceased {
		l.platform = messages.HeldHeadPlatformUnknown
	}
	l.reports.Prune(view.Members())
	readers := l.readers
	l.mu.Unlock()
	if became {
		l.Metrics.Add("becameReader", 1)
		l.record("becameReader", self.Id, "readers of zone "+self.Zone+" are "+strings.Join(readers, " and "))
	}
	l.step(core.PeersChanged{Peers: neighbours(view, readers), IsReader: isReader})
}

// isSettled reports whether the view is complete enough to choose readers. It is once
// it has another serving node of the zone, or once settleTime has passed, so that nodes
// that start at the same time find each other first. The caller holds mu.
func (l *Loop) isSettled(view *fleet.View) bool {
	if time.Since(l.startedAt) >= settleTime {
		return true
	}
	self := view.Self()
	return slices.ContainsFunc(view.Zone(self.Zone), func(m messages.Member) bool {
		return m.Id != self.Id && fleet.IsServing(m.State)
	})
}

// neighbours returns the peers to query, in order of preference: readers and other
// nodes of the own zone alternately, more nodes of the own zone, then readers of
// other zones, those of the own region first.
func neighbours(view *fleet.View, readers []string) []core.Source {
	self := view.Self()
	var own []string
	for _, m := range view.Zone(self.Zone) {
		if m.Id != self.Id && isAlive(m) && !slices.Contains(readers, m.Id) {
			own = append(own, m.Id)
		}
	}
	rand.Shuffle(len(own), func(i, j int) { own[i], own[j] = own[j], own[i] })
	var ids []string
	for _, reader := range readers {
		if reader == self.Id {
			continue
		}
		ids = append(ids, reader)
		if len(own) > 0 {
			ids, own = append(ids, own[0]), own[1:]
		}
	}
	ids = append(ids, own[:min(len(own), maxNeighbours)]...)
	elsewhere := remoteReaders(view)
	ids = append(ids, elsewhere[:min(len(elsewhere), maxRemoteReaders)]...)
	sources := make([]core.Source, len(ids))
	for i, id := range ids {
		sources[i] = core.Source(id)
	}
	return sources
}

// remoteReaders returns the readers of other zones in random order, those of
// the own region first.
func remoteReaders(view *fleet.View) []string {
	self := view.Self()
	byZone := make(map[string][]messages.Member)
	for _, m := range view.Members() {
		if m.Zone != self.Zone && isAlive(m) {
			byZone[m.Zone] = append(byZone[m.Zone], m)
		}
	}
	var near, far []string
	for zone, members := range byZone {
		readers := relay.Readers(members, zone)
		if members[0].Region == self.Region {
			near = append(near, readers...)
		} else {
			far = append(far, readers...)
		}
	}
	for _, ids := range [][]string{near, far} {
		rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	}
	return append(near, far...)
}

func isAlive(m messages.Member) bool { return m.State != messages.MemberStateFailed }

// address returns the peer address of a member.
func (l *Loop) address(id string) (netip.AddrPort, bool) {
	members := l.View.Load().Members()
	i, found := slices.BinarySearchFunc(members, id, func(m messages.Member, id string) int { return strings.Compare(m.Id, id) })
	if !found {
		return netip.AddrPort{}, false
	}
	return members[i].Peer, true
}
