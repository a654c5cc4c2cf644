package localfleet

import (
	"fmt"
	"strings"
	"time"

	"lavenderdeal/core/plans"
	"lavenderdeal/internal/units"
	"lavenderdeal/schema/lists"
)

// Coni returns the deployment of the first users: three zones, with 6 servers of
// availability, 5 of bookings and 3 of fieldwork.
func Coni() Shape {
	return Shape{
		Name:  "coni",
		Zones: []Zone{{"catania", "sicily"}, {"palermo", "sicily"}, {"agrigento", "sicily"}},
		Services: []Service{
			{Name: "availability", ServersPerZone: []int{2, 2, 2}, Slots: 18, Connections: 130},
			{Name: "bookings", ServersPerZone: []int{2, 2, 1}, Slots: 18, Connections: 130},
			{Name: "fieldwork", ServersPerZone: []int{1, 1, 1}, Slots: 18, Connections: 130},
		},
		Customers: Customers("crew-catania:crew", "crew-palermo:crew", "council-agrigento:council", "depot-ledger:depot"),
		Plans: lists.PlanList{
			Services: services("availability", "bookings", "fieldwork"),
			Plans: []lists.Plan{
				{Name: "crew", Uses: []lists.Use{use("availability", "urgent"), use("bookings", "high"), use("fieldwork", "bulk")}},
				{Name: "council", Uses: []lists.Use{use("availability", "normal"), use("bookings", "normal")}},
				{Name: "depot", Uses: []lists.Use{use("availability", "high"), use("bookings", "high"), use("fieldwork", "normal")}},
			},
		},
	}
}

// Trinidad returns the deployment of the second users: four zones, with 5 servers
// of tours, 4 of booking and 4 of documents.
func Trinidad() Shape {
	return Shape{
		Name:  "trinidad",
		Zones: []Zone{{"tt-north-1", "tt-north"}, {"tt-north-2", "tt-north"}, {"tt-north-3", "tt-north"}, {"tt-north-4", "tt-north"}},
		Services: []Service{
			{Name: "tours", ServersPerZone: []int{2, 1, 1, 1}, Slots: 12, Connections: 120},
			{Name: "booking", ServersPerZone: []int{1, 1, 1, 1}, Slots: 12, Connections: 120},
			{Name: "documents", ServersPerZone: []int{1, 1, 1, 1}, Slots: 12, Connections: 120},
		},
		Customers: Customers("families:visitor", "schools:school", "cruise-line:cruise", "gate:staff"),
		Plans: lists.PlanList{
			Services: services("tours", "booking", "documents"),
			Plans: []lists.Plan{
				{Name: "visitor", Uses: []lists.Use{use("tours", "normal"), use("booking", "high")}},
				{Name: "school", Uses: []lists.Use{use("tours", "normal"), use("booking", "high"), use("documents", "normal")}},
				{Name: "cruise", Uses: []lists.Use{use("tours", "bulk"), use("booking", "high")}},
				{Name: "staff", Uses: []lists.Use{use("tours", "high"), use("documents", "urgent")}},
			},
		},
	}
}

// Small returns the deployment of the demo: two zones, each with one server of
// each service of Coni.
func Small() Shape {
	shape := Coni()
	shape.Name = "small"
	shape.Zones = shape.Zones[:2]
	for i := range shape.Services {
		shape.Services[i].ServersPerZone = []int{1, 1}
	}
	return shape
}

// serversPerService is the mean number of servers of a service in the users'
// largest deployment.
const serversPerService = 8

// Uniform returns a deployment for measurements of control traffic: zones with
// the same number of nodes, which share one backend server. Each service has
// about 8 nodes, spread over the zones, and each region has up to 4 zones.
func Uniform(zones, perZone, customerCount int) Shape {
	shape := Shape{Name: fmt.Sprintf("uniform-%dx%d", zones, perZone), SharedServer: true}
	plan := lists.Plan{Name: "crew"}
	for s := range max(1, zones*perZone/serversPerService) {
		service := Service{Name: fmt.Sprintf("service-%d", s), Slots: 16, Connections: 64, ServersPerZone: make([]int, zones)}
		shape.Services = append(shape.Services, service)
		plan.Uses = append(plan.Uses, use(service.Name, "urgent"))
	}
	for n := range zones * perZone {
		shape.Services[n%len(shape.Services)].ServersPerZone[n/perZone]++
	}
	for z := range zones {
		shape.Zones = append(shape.Zones, Zone{fmt.Sprintf("zone-%d", z+1), fmt.Sprintf("region-%d", z/4+1)})
	}
	for _, service := range shape.Services {
		shape.Plans.Services = append(shape.Plans.Services, services(service.Name)...)
	}
	shape.Plans.Plans = []lists.Plan{plan}
	names := make([]string, 0, customerCount)
	for c := range customerCount {
		names = append(names, fmt.Sprintf("customer-%d:crew", c))
	}
	shape.Customers = Customers(names...)
	return shape
}

// OneService returns a deployment of one zone with servers of one service. For
// each use it has a customer, named by the map's key, with a plan of its own. The
// service and the priority of the uses are set; the latter is urgent.
func OneService(service string, servers int, uses map[string]lists.Use) Shape {
	shape := Shape{
		Name:     "one-service",
		Zones:    []Zone{{"catania", "sicily"}},
		Services: []Service{{Name: service, ServersPerZone: []int{servers}, Slots: 8, Connections: 40}},
		Plans:    lists.PlanList{Services: services(service)},
	}
	var pairs []string
	for customer, use := range uses {
		use.Service, use.Priority = service, "urgent"
		shape.Plans.Plans = append(shape.Plans.Plans, lists.Plan{Name: customer, Uses: []lists.Use{use}})
		pairs = append(pairs, customer+":"+customer)
	}
	shape.Customers = Customers(pairs...)
	return shape
}

// Key returns the API key of a customer in the list that [Customers] returns.
func Key(customer string) string { return customer + "-key" }

// Customers returns a list of customers from pairs of name and plan, such as
// "crew-catania:crew".
func Customers(pairs ...string) lists.CustomerList {
	list := lists.CustomerList{Customers: []lists.Customer{}}
	for _, pair := range pairs {
		name, plan, _ := strings.Cut(pair, ":")
		list.Customers = append(list.Customers, lists.Customer{Name: name, Plan: plan, KeyHashes: []string{plans.HashKey(Key(name))}})
	}
	return list
}

// services returns a list of services whose calls have a time limit of 30 s unless
// they set their own.
func services(names ...string) []lists.Service {
	list := make([]lists.Service, 0, len(names))
	for _, name := range names {
		list = append(list, lists.Service{Name: name, Timeout: units.Duration(30 * time.Second)})
	}
	return list
}

func use(service string, priority lists.UsePriority) lists.Use {
	return lists.Use{Service: service, Priority: priority}
}
