package fleet_test

import (
	"fmt"
	"slices"
	"testing"

	"lavenderdeal/core/fleet"
	"lavenderdeal/schema/messages"
)

// view returns the view of member a, whose zone cannot reach palermo.
func view() *fleet.View {
	members := []messages.Member{
		{Id: "c", Zone: "palermo", Service: "bookings", State: messages.MemberStateSuspect},
		{Id: "a", Zone: "catania", Service: "bookings", State: messages.MemberStateReady},
		{Id: "d", Zone: "palermo", Service: "bookings", State: messages.MemberStateLeaving},
		{Id: "b", Zone: "catania", Service: "fieldwork", State: messages.MemberStateFailed},
		{Id: "e", Zone: "palermo", Service: "fieldwork", State: messages.MemberStateStarting},
	}
	return fleet.NewView(members[1], members, fleet.WithCutOff([]string{"palermo"}))
}

func ExampleView() {
	v := view()
	for _, m := range v.Servers("bookings") {
		fmt.Println(m.Id, m.State, v.IsZoneCutOff(m.Zone))
	}
	// Output:
	// a ready false
	// c suspect true
}

// TestView checks the indexes of a view: a wrong one sends calls to members that do not
// take them.
func TestView(t *testing.T) {
	v := view()
	t.Run("only ready members and suspects take calls", func(t *testing.T) {
		assertIDs(t, v.Servers("bookings"), "a", "c")
		assertIDs(t, v.Servers("fieldwork"))
	})
	t.Run("zones", func(t *testing.T) {
		if !slices.Equal(v.Zones(), []string{"catania", "palermo"}) {
			t.Fatalf("got %v", v.Zones())
		}
		assertIDs(t, v.Zone("palermo"), "c", "d", "e")
		assertIDs(t, v.Zone("agrigento"))
	})
	t.Run("by id", func(t *testing.T) {
		if m, ok := v.ByID("d"); !ok || m.Zone != "palermo" {
			t.Fatalf("got %v, %v", m, ok)
		}
		if _, ok := v.ByID("f"); ok {
			t.Fatal("f is no member")
		}
	})
	t.Run("the zero value has no members", func(t *testing.T) {
		var zero fleet.View
		if _, ok := zero.ByID("a"); ok || zero.IsZoneCutOff("palermo") || len(zero.Zones()) > 0 {
			t.Fatal("the zero value is not empty")
		}
	})
}

func assertIDs(t *testing.T, members []messages.Member, want ...string) {
	t.Helper()
	var ids []string
	for _, m := range members {
		ids = append(ids, m.Id)
	}
	if !slices.Equal(ids, want) {
		t.Fatalf("got %v, want %v", ids, want)
	}
}
