// Package progress evaluates whether an availability zone has confirmed a version of the
// plans, that is, whether all its nodes have the version in force.
//
//	p := progress.Evaluate(head, status)
//	if p.Confirmed {
//		fmt.Println(status.Zone, "has it in force")
//	}
package progress

import (
	"fmt"

	"lavenderdeal/schema/objects"
)

// Progress is the rollout state of one zone.
type Progress struct {
	// Confirmed is set if every member of the zone has the version or a newer one
	// in force.
	Confirmed bool
	// Reason is a human-readable description of what is missing. It is empty if
	// Confirmed is set.
	Reason string
}

// Evaluate compares the status of a zone with the head of the version that it should
// confirm.
func Evaluate(head objects.Head, status objects.ZoneStatus) Progress {
	switch {
	case status.Version < head.Version:
		return unconfirmed("knows version %d only", status.Version)
	case status.Version == head.Version && status.Operation != "" && status.Operation != head.Operation:
		return unconfirmed("has other content under version %d (operation %s)", status.Version, status.Operation)
	case status.Members == 0:
		return unconfirmed("has no members")
	case status.Confirmed < status.Members:
		return unconfirmed("%d of %d nodes confirmed", status.Confirmed, status.Members)
	}
	return Progress{Confirmed: true}
}

func unconfirmed(format string, args ...any) Progress {
	return Progress{Reason: fmt.Sprintf(format, args...)}
}
