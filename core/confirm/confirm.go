// Package confirm gathers which version each node of an availability zone has
// in force, and what keeps the others from it.
//
// # Use
//
// Each node reports to the readers of its zone. A reader keeps a [Table] and
// asks it for the status of the zone:
//
//	var t confirm.Table
//	t.Report(confirm.Report{ID: "n1", Number: 7})
//	status := t.Status("catania", members, 7)
//
// A [Writer] decides when the status is written to the platform.
package confirm

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"lavenderdeal/schema/messages"
	"lavenderdeal/schema/objects"
)

const (
	// MaxMissing bounds the nodes that a status names.
	MaxMissing = 32
	maxReason  = 256
)

// Report is what one node says of itself.
type Report struct {
	ID string
	// Number is the version in force, or 0.
	Number uint64
	// RejectedNumber is the newest version that the node rejected and that is
	// newer than the one in force, or 0.
	RejectedNumber uint64
	Reasons        []string
	// Sequence rises with each report of a node, so that an older report that
	// comes late is known.
	Sequence uint64
}

// Table holds the newest report of each node. The zero value is empty. It is
// not safe for use by several goroutines at once.
type Table struct {
	reports map[string]Report
}

// Report notes a report. It returns false when the table has a newer one.
func (t *Table) Report(r Report) bool {
	if t.reports == nil {
		t.reports = make(map[string]Report)
	}
	if known, ok := t.reports[r.ID]; ok && known.Sequence >= r.Sequence {
		return false
	}
	t.reports[r.ID] = r
	return true
}

// Keep drops the reports of nodes that are no longer members.
func (t *Table) Keep(members []messages.Member) {
	ids := make(map[string]bool, len(members))
	for _, m := range members {
		ids[m.Id] = true
	}
	for id := range t.reports {
		if !ids[id] {
			delete(t.reports, id)
		}
	}
}

// Status returns the status of a zone with these members. The number is the
// newest version that the writer knows; a higher one in a report goes before
// it. Writer and time are left to the caller.
func (t *Table) Status(zone string, members []messages.Member, number uint64) objects.ZoneStatus {
	for _, m := range members {
		r := t.reports[m.Id]
		number = max(number, r.Number, r.RejectedNumber)
	}
	status := objects.ZoneStatus{Zone: zone, Version: number, Members: len(members), Missing: []objects.Lag{}}
	for _, m := range members {
		r, heard := t.reports[m.Id]
		if heard && r.Number == number && isReachable(m) {
			status.Confirmed++
			continue
		}
		status.Missing = append(status.Missing, objects.Lag{Node: m.Id, Version: r.Number, Reason: reason(m, r, heard)})
	}
	slices.SortFunc(status.Missing, func(a, b objects.Lag) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), strings.Compare(a.Node, b.Node))
	})
	status.Missing = status.Missing[:min(len(status.Missing), MaxMissing)]
	return status
}

// isReachable says whether the member is believed to be there. The last report
// of one that failed says nothing of what it serves now.
func isReachable(m messages.Member) bool { return m.State != messages.MemberStateFailed }

func reason(m messages.Member, r Report, heard bool) string {
	switch {
	case !isReachable(m):
		return "not heard: the node is not reachable"
	case !heard:
		return "not heard: no report from this node, which is " + string(m.State)
	case r.RejectedNumber > r.Number:
		text := fmt.Sprintf("rejected version %d: %s", r.RejectedNumber, strings.Join(r.Reasons, "; "))
		return text[:min(len(text), maxReason)]
	case r.Number == 0:
		return "starting: no version in force yet"
	}
	return "behind"
}
