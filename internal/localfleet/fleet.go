// Package localfleet runs a fleet of real nodes (see package node) in one process on
// loopback, with stand-ins for the platform and the backend servers. The demo, the
// measurements and tests use it.
//
// A [Shape] describes the fleet; [Coni], [Trinidad] and other functions return
// predefined ones:
//
//	fleet, err := localfleet.Start(ctx, localfleet.Coni())
//	defer fleet.Close()
//	err = fleet.WaitReady(ctx, 10*time.Second)
package localfleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"

	"lavenderdeal/internal/httpserver"
	"lavenderdeal/internal/node"
	"lavenderdeal/internal/publish"
	"lavenderdeal/internal/standin/backend"
	"lavenderdeal/internal/standin/objectapi"
	"lavenderdeal/internal/standin/partition"
	"lavenderdeal/internal/wait"
	"lavenderdeal/io/platform"
	"lavenderdeal/io/settings"
	"lavenderdeal/schema/lists"
	"lavenderdeal/schema/objects"
	schema "lavenderdeal/schema/settings"
)

const (
	// crashDowntime is the time until a crashed backend server is up again.
	crashDowntime = 200 * time.Millisecond
	// seedsPerZone is the number of instances in each zone whose addresses a new node
	// gets to join the fleet.
	seedsPerZone = 2
)

// Ports of an instance, as offsets from the first port of its fleet. Each instance has
// an IP address of its own. An instance keeps its ports when its node is restarted.
const (
	// callerPort receives calls of callers.
	callerPort = iota
	// callPort receives calls that other nodes forward.
	callPort
	// peerPort receives control messages of other nodes.
	peerPort
	// operatorPort serves status, metrics and operators' writes.
	operatorPort
	// serverPort is the port of the backend server.
	serverPort
	portsPerInstance
)

// The range of a fleet's first port. It is below the ephemeral ports of Linux, from
// which the system could give the same port to an outgoing connection.
const (
	lowestPort  = 10000
	highestPort = 30000
)

// Shape describes a fleet.
type Shape struct {
	Name     string
	Zones    []Zone
	Services []Service
	// Customers and Plans are the lists of the first version.
	Customers lists.CustomerList
	Plans     lists.PlanList
	// SharedServer makes all nodes use one backend server, for measurements of
	// control traffic only.
	SharedServer bool
}

// Zone is an availability zone with its region.
type Zone struct {
	Name, Region string
}

// Service is a service with its backend servers.
type Service struct {
	Name string
	// ServersPerZone holds the number of servers in each zone. It is repeated if it is
	// shorter than the list of zones.
	ServersPerZone []int
	// Slots is the number of calls that each server runs at once, and Connections the
	// number of connections that it accepts.
	Slots, Connections int
}

// Fleet is a running fleet. Use [Start] to create one and Close to stop it.
type Fleet struct {
	Shape Shape
	// Store is the stand-in for the platform.
	Store *objectapi.Store
	// Network cuts and heals the connections between zones, and between a zone and the
	// platform.
	Network *partition.Network
	// Publisher writes versions of the lists to Store.
	Publisher publish.Store
	// Instances holds all instances, also those whose nodes are not running.
	Instances []*Instance

	platform  *httpserver.Server
	firstPort uint16
	// shared is the backend server of all nodes if Shape.SharedServer is set.
	shared *backendServer

	// mu guards Instances, and Node and running of each instance.
	mu sync.Mutex
}

// Instance is a backend server with its node, which can be stopped and started again.
type Instance struct {
	// Node is the node that was started last.
	Node   *node.Node
	Server *backend.Server
	// Zone is the number of the zone in Fleet.Network, which is its index in
	// Shape.Zones plus 1.
	Zone   int
	Config schema.Settings

	process *backend.Process
	running bool
}

type backendServer struct {
	server  *backend.Server
	process *backend.Process
}

// Start starts the platform with a first version of the lists, and then all
// instances. It doesn't wait for the nodes to be ready. It returns an error if one of
// them fails to start.
func Start(ctx context.Context, shape Shape) (*Fleet, error) {
	f := &Fleet{Shape: shape, Store: objectapi.New(), Network: &partition.Network{}}
	f.firstPort = uint16(lowestPort + portsPerInstance*rand.IntN((highestPort-lowestPort)/portsPerInstance))
	listener, err := httpserver.Start(partition.Addr(partition.PlatformZone, 0), f.Store)
	if err != nil {
		return nil, err
	}
	f.platform = listener
	f.Publisher = publish.Store{Objects: platform.New(listener.Addr())}
	if _, err := f.Apply(ctx, shape.Customers, shape.Plans); err != nil {
		f.Close()
		return nil, err
	}
	if err := f.startInstances(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startInstances() error {
	for z, zone := range f.Shape.Zones {
		number := 0
		for _, service := range f.Shape.Services {
			for range service.ServersPerZone[z%len(service.ServersPerZone)] {
				instance, err := f.startInstance(z+1, number, zone, service)
				if err != nil {
					return err
				}
				f.mu.Lock()
				f.Instances = append(f.Instances, instance)
				f.mu.Unlock()
				number++
			}
		}
	}
	return nil
}

// startInstance starts the backend server and the node of an instance. The number
// counts the instances of a zone from 0.
func (f *Fleet) startInstance(zone, number int, z Zone, service Service) (*Instance, error) {
	addr := partition.Addr(zone, number).Addr()
	i := &Instance{Zone: zone}
	name := fmt.Sprintf("%s-%s-%d", z.Name, service.Name, number)
	server, process, err := f.startBackend(name, service, f.addrPort(addr, serverPort))
	if err != nil {
		return nil, err
	}
	i.Server, i.process = server, process
	cfg := settings.ForLoopback(z.Name, service.Name, process.Addr(), f.platform.Addr())
	cfg.Region, cfg.Peers = z.Region, f.seeds(zone)
	cfg.Server.Slots, cfg.Server.Connections = service.Slots, service.Connections
	cfg.Listen = schema.Listen{
		Caller: f.addrPort(addr, callerPort), Peer: f.addrPort(addr, peerPort), Call: f.addrPort(addr, callPort), Operator: f.addrPort(addr, operatorPort),
	}
	i.Config = cfg
	return i, f.StartNode(i)
}

// addrPort returns the address of a port of an instance. The port is an offset, such as
// callerPort.
func (f *Fleet) addrPort(addr netip.Addr, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(addr, f.firstPort+port)
}

// seeds returns the peer addresses of the first instances of every zone, starting
// with own, the zone of the instance that joins.
func (f *Fleet) seeds(own int) []netip.AddrPort {
	var seeds []netip.AddrPort
	for z := range f.Shape.Zones {
		zone := (own-1+z)%len(f.Shape.Zones) + 1
		for n := range seedsPerZone {
			seeds = append(seeds, f.addrPort(partition.Addr(zone, n).Addr(), peerPort))
		}
	}
	return seeds
}

// startBackend starts a backend server, or returns the shared one if it has started.
func (f *Fleet) startBackend(name string, service Service, addr netip.AddrPort) (*backend.Server, *backend.Process, error) {
	if f.shared != nil {
		return f.shared.server, f.shared.process, nil
	}
	server := backend.New(name, service.Slots)
	process, err := backend.StartProcess(addr, server, crashDowntime)
	if err == nil && f.Shape.SharedServer {
		f.shared = &backendServer{server: server, process: process}
	}
	return server, process, err
}

// StartNode starts a new node for an instance, with the same settings as before but
// no state of an earlier node.
func (f *Fleet) StartNode(i *Instance) error {
	logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	n, err := node.Start(i.Config, node.WithLog(logger), node.WithDialer(f.Network.Dialer(i.Zone)))
	if err != nil {
		return err
	}
	f.setRunning(i, n)
	return nil
}

// KillNode stops the node of an instance without notice to other nodes, like a crash.
func (f *Fleet) KillNode(i *Instance) {
	f.setRunning(i, nil)
	i.Node.Kill()
}

// StopNode stops the node of an instance gracefully, as [node.Node.Stop] does.
func (f *Fleet) StopNode(ctx context.Context, i *Instance) error {
	f.setRunning(i, nil)
	return i.Node.Stop(ctx)
}

// setRunning sets the running node of an instance, or marks the instance as not running
// if the node is nil.
func (f *Fleet) setRunning(i *Instance, n *node.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i.running = n != nil
	if n != nil {
		i.Node = n
	}
}

// RestartServer stops the backend server of an instance without draining and starts
// it again at the same address.
func (f *Fleet) RestartServer(i *Instance) error { return i.process.Restart() }

// Crashes returns how often the backend server of an instance has crashed.
func (f *Fleet) Crashes(i *Instance) int { return i.process.Crashes() }

// Apply publishes a new version of the lists and returns its head. It doesn't wait for
// the nodes to apply the version.
func (f *Fleet) Apply(ctx context.Context, customers lists.CustomerList, plans lists.PlanList) (objects.Head, error) {
	current, err := f.Publisher.Current(ctx)
	if err != nil {
		return objects.Head{}, err
	}
	return f.Publisher.Apply(ctx, current, customers, plans, publish.Change{Author: "trial"})
}

// Running returns the instances whose nodes are running.
func (f *Fleet) Running() []*Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var running []*Instance
	for _, i := range f.Instances {
		if i.running {
			running = append(running, i)
		}
	}
	return running
}

// nodes returns the running nodes.
func (f *Fleet) nodes() []*node.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	var nodes []*node.Node
	for _, i := range f.Instances {
		if i.running {
			nodes = append(nodes, i.Node)
		}
	}
	return nodes
}

// WaitReady waits until every running node has all running nodes as ready
// members. It returns an error if that takes longer than the limit.
func (f *Fleet) WaitReady(ctx context.Context, limit time.Duration) error {
	running := f.Running()
	return waitAll(ctx, running, limit, func(i *Instance) bool {
		return i.Node.Status().Members["ready"] >= len(running)
	})
}

// WaitHomes waits until every running node has confirmed the homes of its service: the
// nodes that hold the records of idempotency keys, and without which calls with such a
// key are refused. The first nodes of a service write its homes to the platform.
// WaitHomes returns an error if that takes longer than the limit.
func (f *Fleet) WaitHomes(ctx context.Context, limit time.Duration) error {
	return waitAll(ctx, f.Running(), limit, func(i *Instance) bool { return i.Node.Status().HomesConfirmed })
}

// WaitVersion waits until the version or a newer one is in force on each of the
// instances' nodes. It returns an error if that takes longer than the limit.
func (f *Fleet) WaitVersion(ctx context.Context, instances []*Instance, version uint64, limit time.Duration) error {
	return waitAll(ctx, instances, limit, func(i *Instance) bool { return i.Node.Version() >= version })
}

// waitAll waits until the condition is true for every instance. The limit is for
// all of them together.
func waitAll(ctx context.Context, instances []*Instance, limit time.Duration, condition func(*Instance) bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for _, i := range instances {
		if !wait.Until(ctx, limit, func() bool { return condition(i) }) {
			return errors.Newf("node %s in zone %s did not reach the expected state within %s: status %+v", i.Node.Status().ID, i.Config.Zone, limit, i.Node.Status())
		}
	}
	return nil
}

// Close kills the running nodes and closes the backend servers and the platform.
func (f *Fleet) Close() {
	for _, i := range f.Running() {
		i.Node.Kill()
	}
	for _, i := range f.Instances {
		_ = i.process.Close()
	}
	_ = f.platform.Close()
}

// Targets returns the caller addresses of the running nodes.
func (f *Fleet) Targets() []netip.AddrPort {
	var targets []netip.AddrPort
	for _, i := range f.Running() {
		targets = append(targets, i.Node.Addresses().Caller)
	}
	return targets
}

// Runs returns how often each call ran, by call id, summed over all backend servers.
func (f *Fleet) Runs() map[string]int {
	total := make(map[string]int)
	seen := make(map[*backend.Server]bool)
	for _, i := range f.Instances {
		if seen[i.Server] {
			continue
		}
		seen[i.Server] = true
		for id, n := range i.Server.Runs() {
			total[id] += n
		}
	}
	return total
}
