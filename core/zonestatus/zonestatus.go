// Package zonestatus aggregates which version each node of an availability zone has
// in force, and why nodes do not have the newest one.
//
// # Use
//
// Each node reports to the readers of its zone. A reader collects the reports in a
// [Table], which computes the status of the zone:
//
//	var t zonestatus.Table
//	t.Report(zonestatus.Report{ID: "n1", Number: 7})
//	status := t.Status("catania", members, 7)
//
// A [Writer] schedules the writes of the status to the platform.
package zonestatus

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"lavenderdeal/schema/messages"
	"lavenderdeal/schema/objects"
)

const (
	// MaxMissing is the maximum number of nodes listed as missing in a status.
	MaxMissing = 32
	// maxReason is the maximum length of a rejection reason in bytes.
	maxReason = 256
)

// Report is the state that a node reports.
type Report struct {
	// ID is the id of the node.
	ID string
	// Number is the version in force, or 0 if there is none.
	Number uint64
	// RejectedNumber is the newest rejected version that is newer than the one in
	// force, or 0 if there is none.
	RejectedNumber uint64
	// Reasons are the reasons for the rejection.
	Reasons []string
	// Sequence increases with each report of a node, so that a delayed older
	// report is detected.
	Sequence uint64
}

// Table holds the newest report of each node. The zero value is empty. It is not
// safe for concurrent use.
type Table struct {
	reports map[string]Report
}

// Report stores a report. It returns false if the table already has the same or a
// newer one of the node.
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

// Prune drops the reports of nodes that are not members.
func (t *Table) Prune(members []messages.Member) {
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

// Status returns the status of a zone with these members. number is the newest version
// that this node has seen; a higher one in a report takes precedence. Missing lists the
// members that have not confirmed, those with the oldest versions first. The caller sets
// Operation, Writer and WrittenAt.
func (t *Table) Status(zone string, members []messages.Member, number uint64) objects.ZoneStatus {
	for _, m := range members {
		r := t.reports[m.Id]
		number = max(number, r.Number, r.RejectedNumber)
	}
	status := objects.ZoneStatus{Zone: zone, Version: number, Members: len(members), Missing: []objects.Lag{}}
	for _, m := range members {
		r, reported := t.reports[m.Id]
		if reported && r.Number == number && isReachable(m) {
			status.Confirmed++
			continue
		}
		status.Missing = append(status.Missing, objects.Lag{Node: m.Id, Version: r.Number, Reason: reason(m, r, reported)})
	}
	slices.SortFunc(status.Missing, func(a, b objects.Lag) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), strings.Compare(a.Node, b.Node))
	})
	status.Missing = status.Missing[:min(len(status.Missing), MaxMissing)]
	return status
}

// isReachable reports whether the member is not considered failed. The last report
// of a failed member may be out of date.
func isReachable(m messages.Member) bool { return m.State != messages.MemberStateFailed }

// reason returns why a member has not confirmed the newest version.
func reason(m messages.Member, r Report, reported bool) string {
	switch {
	case !isReachable(m):
		return "not heard: the node is not reachable"
	case !reported:
		return "not heard: no report from this node, which is " + string(m.State)
	case r.RejectedNumber > r.Number:
		text := fmt.Sprintf("rejected version %d: %s", r.RejectedNumber, strings.Join(r.Reasons, "; "))
		// A character is not cut in two.
		return strings.ToValidUTF8(text[:min(len(text), maxReason)], "")
	case r.Number == 0:
		return "starting: no version in force yet"
	}
	return "behind"
}
