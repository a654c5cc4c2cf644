// Package progress judges how far the availability zones have confirmed a version
// of the plans.
//
//	p := progress.Judge(head, status)
//	if p.Confirmed {
//		fmt.Println(status.Zone, "has it in force")
//	}
package progress

import (
	"fmt"

	"lavenderdeal/schema/objects"
)

// Progress is how far one zone is.
type Progress struct {
	// Confirmed says that every member of the zone has the version in force, or
	// a newer one.
	Confirmed bool
	// Reason says in words what is missing. It is empty when nothing is.
	Reason string
}

// Judge compares the status of a zone with the head that it should confirm.
func Judge(head objects.Head, status objects.ZoneStatus) Progress {
	switch {
	case status.Version < head.Version:
		return missing("knows version %d only", status.Version)
	case status.Version == head.Version && status.Operation != "" && status.Operation != head.Operation:
		return missing("has other content under version %d (operation %s)", status.Version, status.Operation)
	case status.Members == 0:
		return missing("has no members")
	case status.Confirmed < status.Members:
		return missing("%d of %d nodes confirmed", status.Confirmed, status.Members)
	}
	return Progress{Confirmed: true}
}

func missing(format string, args ...any) Progress {
	return Progress{Reason: fmt.Sprintf(format, args...)}
}
