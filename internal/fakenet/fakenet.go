// Package fakenet simulates an unreliable network between state machines in tests. It is
// a queue of messages that can be lost, delayed, duplicated and reordered, and whose
// links can be cut.
//
// The test selects the next event, usually with rapid:
//
//	var network fakenet.Network[message]
//	network.Send(a, b, request)
//	network.Cut(a, c)
//	if packet, ok := network.Take(rapid.IntRange(0, network.Len()-1).Draw(t, "packet")); ok {
//		handle(packet.To, packet.Message)
//	}
//
// Taking a packet other than the first reorders the messages. Leaving one in the queue
// delays it. The network has no clock.
package fakenet

import "net/netip"

// Packet is a message in transit.
type Packet[M any] struct {
	From, To netip.AddrPort
	Message  M
}

// Network is a queue of packets. The zero value is empty and has no cuts. Positions in
// the queue count from 0, and methods panic if there is no packet at a position.
type Network[M any] struct {
	packets []Packet[M]
	cuts    map[link]struct{}
}

type link struct {
	from, to netip.AddrPort
}

// Send appends a message to the queue.
func (n *Network[M]) Send(from, to netip.AddrPort, message M) {
	n.packets = append(n.packets, Packet[M]{From: from, To: to, Message: message})
}

// Len returns the number of packets in the queue.
func (n *Network[M]) Len() int { return len(n.packets) }

// Take removes the packet at a position and returns it. It returns false if the
// packet's link is cut: then the packet is lost and must not be delivered.
func (n *Network[M]) Take(index int) (Packet[M], bool) {
	packet := n.packets[index]
	n.Drop(index)
	return packet, !n.IsCut(packet.From, packet.To)
}

// Drop removes the packet at a position without delivering it.
func (n *Network[M]) Drop(index int) {
	n.packets = append(n.packets[:index], n.packets[index+1:]...)
}

// Duplicate appends a copy of the packet at a position to the queue.
func (n *Network[M]) Duplicate(index int) {
	n.packets = append(n.packets, n.packets[index])
}

// CutOneWay cuts the link from one node to another. Packets that are taken before the
// link is healed are lost, also those that were sent before the cut.
func (n *Network[M]) CutOneWay(from, to netip.AddrPort) {
	if n.cuts == nil {
		n.cuts = make(map[link]struct{})
	}
	n.cuts[link{from, to}] = struct{}{}
}

// Cut cuts the link between two nodes in both directions until it is healed.
func (n *Network[M]) Cut(a, b netip.AddrPort) {
	n.CutOneWay(a, b)
	n.CutOneWay(b, a)
}

// Heal removes the cuts between two nodes, in both directions.
func (n *Network[M]) Heal(a, b netip.AddrPort) {
	delete(n.cuts, link{a, b})
	delete(n.cuts, link{b, a})
}

// HealAll removes all cuts.
func (n *Network[M]) HealAll() { clear(n.cuts) }

// IsCut reports whether the link from one node to another is cut.
func (n *Network[M]) IsCut(from, to netip.AddrPort) bool {
	_, isCut := n.cuts[link{from, to}]
	return isCut
}
