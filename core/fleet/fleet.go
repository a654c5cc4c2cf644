// Package fleet holds what one node knows of all nodes at one moment.
//
// A [View] is built by the control loop after each change of the membership and
// read by every call. It never changes after it was built:
//
//	view := fleet.NewView(self, members)
//	for _, member := range view.Servers("bookings") {
//		fmt.Println(member.Call)
//	}
package fleet

import (
	"slices"
	"strings"

	"lavenderdeal/schema/messages"
)

// View is an immutable picture of the fleet. The zero value knows nobody.
type View struct {
	self      messages.Member
	members   []messages.Member
	byService map[string][]messages.Member
}

// NewView returns the view of the node self, which is one of the members. The
// slice is owned by the view from then on.
func NewView(self messages.Member, members []messages.Member) *View {
	slices.SortFunc(members, func(a, b messages.Member) int { return strings.Compare(a.Id, b.Id) })
	v := &View{self: self, members: members, byService: make(map[string][]messages.Member)}
	for _, m := range members {
		if IsServing(m.State) {
			v.byService[m.Service] = append(v.byService[m.Service], m)
		}
	}
	return v
}

// Self returns the node whose view this is.
func (v *View) Self() messages.Member { return v.self }

// Members returns all members in order of their ids. The caller does not change
// the slice.
func (v *View) Members() []messages.Member { return v.members }

// Servers returns the members that take new calls of a service, in order of
// their ids. The caller does not change the slice.
func (v *View) Servers(service string) []messages.Member { return v.byService[service] }

// Zone returns the members of an availability zone in order of their ids.
func (v *View) Zone(zone string) []messages.Member {
	var found []messages.Member
	for _, m := range v.members {
		if m.Zone == zone {
			found = append(found, m)
		}
	}
	return found
}

// IsServing says whether a member in this state takes new calls. A suspect is
// still asked: what calls show decides.
func IsServing(state messages.MemberState) bool {
	return state == messages.MemberStateReady || state == messages.MemberStateSuspect
}
