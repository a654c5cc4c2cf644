package node

import (
	"net/netip"
	"time"

	"lavenderdeal/core/explain"
	"lavenderdeal/internal/crashes"
	"lavenderdeal/schema/messages"
)

// recordCrashEvent counts and records an event of the crash monitor.
func (n *Node) recordCrashEvent(e crashes.Event) {
	now := time.Now()
	switch e := e.(type) {
	case crashes.Crashed:
		n.metrics.Add("serverCrashes", 1)
	case crashes.Quarantined:
		n.metrics.Add("quarantined", 1)
		n.ring.Add(explain.Record{At: now, Kind: "callQuarantined", Subject: e.Entry.Fingerprint, Detail: e.Entry.String()})
	case crashes.Learned:
		n.metrics.Add("crashesLearned", int64(e.Crashes+e.Quarantined))
	case crashes.Lifted:
		n.ring.Add(explain.Record{At: now, Kind: "quarantineLifted", Subject: e.Fingerprint, Detail: "by the operator"})
	case crashes.ReportFailed:
		n.metrics.Add("crashReportErrors", 1)
	}
}

// peerAddrs returns the peer addresses of the other nodes of the node's own service
// that have not failed.
func (n *Node) peerAddrs() []netip.AddrPort {
	view := n.view.Load()
	self := view.Self()
	var others []netip.AddrPort
	for _, m := range view.Members() {
		if m.Id != self.Id && m.Service == self.Service && m.State != messages.MemberStateFailed {
			others = append(others, m.Peer)
		}
	}
	return others
}
