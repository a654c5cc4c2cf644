// Package fleet provides immutable snapshots of the fleet's members. A member is a node
// with its backend server.
//
// The control loop builds a new [View] after each change of the membership, and every
// proxied call reads the current one:
//
//	view := fleet.NewView(self, members)
//	for _, member := range view.Servers("bookings") {
//		fmt.Println(member.Call)
//	}
package fleet

import (
	"maps"
	"slices"
	"strings"

	"lavenderdeal/schema/messages"
)

// View is an immutable snapshot of the fleet, as one node sees it. The zero value
// has no members.
type View struct {
	self      messages.Member
	members   []messages.Member
	byService map[string][]messages.Member
	byZone    map[string][]messages.Member
	zones     []string
	cutOff    []string
}

// Option configures a View.
type Option func(*View)

// WithCutOff sets the availability zones that the node's own zone cannot reach.
func WithCutOff(zones []string) Option { return func(v *View) { v.cutOff = zones } }

// NewView returns the view of the node self, which is one of the members. The view
// takes ownership of the slice and sorts it.
func NewView(self messages.Member, members []messages.Member, opts ...Option) *View {
	slices.SortFunc(members, func(a, b messages.Member) int { return strings.Compare(a.Id, b.Id) })
	v := &View{
		self:      self,
		members:   members,
		byService: make(map[string][]messages.Member),
		byZone:    make(map[string][]messages.Member),
	}
	for _, opt := range opts {
		opt(v)
	}
	for _, m := range members {
		v.byZone[m.Zone] = append(v.byZone[m.Zone], m)
		if IsServing(m.State) {
			v.byService[m.Service] = append(v.byService[m.Service], m)
		}
	}
	v.zones = slices.Sorted(maps.Keys(v.byZone))
	return v
}

// Self returns the member whose view this is.
func (v *View) Self() messages.Member { return v.self }

// Members returns all members, sorted by id. The caller must not modify the slice.
func (v *View) Members() []messages.Member { return v.members }

// Member returns the member with the given id. It returns false if there is none.
func (v *View) Member(id string) (messages.Member, bool) {
	i, ok := slices.BinarySearchFunc(v.members, id, func(m messages.Member, id string) int { return strings.Compare(m.Id, id) })
	if !ok {
		return messages.Member{}, false
	}
	return v.members[i], true
}

// Servers returns the members whose backend servers take new calls of a service, sorted
// by id. The caller must not modify the slice.
func (v *View) Servers(service string) []messages.Member { return v.byService[service] }

// Zone returns the members of an availability zone, sorted by id. The caller must
// not modify the slice.
func (v *View) Zone(zone string) []messages.Member { return v.byZone[zone] }

// Zones returns the availability zones of all members, sorted. The caller must not
// modify the slice.
func (v *View) Zones() []string { return v.zones }

// IsZoneCutOff reports whether the node's own zone cannot reach an availability
// zone. The members of such a zone keep their last known state.
func (v *View) IsZoneCutOff(zone string) bool { return slices.Contains(v.cutOff, zone) }

// ByID returns the member with the given id, like [View.Member]. It returns false if
// there is none.
func (v *View) ByID(id string) (messages.Member, bool) {
	at, ok := slices.BinarySearchFunc(v.members, id, func(m messages.Member, id string) int {
		return strings.Compare(m.Id, id)
	})
	if !ok {
		return messages.Member{}, false
	}
	return v.members[at], true
}

// IsServing reports whether a member in this state takes new calls. A suspect still
// gets calls; their results decide whether it is used further.
func IsServing(state messages.MemberState) bool {
	return state == messages.MemberStateReady || state == messages.MemberStateSuspect
}
