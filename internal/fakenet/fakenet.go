// Package fakenet carries messages between state machines in tests: a queue
// that loses, delays, duplicates, reorders and cuts.
//
// The test decides what happens next, usually by rapid:
//
//	var network fakenet.Network[message]
//	network.Send(a, b, question)
//	network.Cut(a, c)
//	if packet, ok := network.Take(rapid.IntRange(0, network.Len()-1).Draw(t, "packet")); ok {
//		handle(packet.To, packet.Message)
//	}
//
// Taking any other packet than the first reorders; leaving one in the queue
// delays it. There is no clock in it.
package fakenet

import "net/netip"

// Packet is a message on its way.
type Packet[M any] struct {
	From, To netip.AddrPort
	Message  M
}

// Network is a queue of packets. The zero value is empty and connects everyone.
type Network[M any] struct {
	packets []Packet[M]
	cuts    map[link]struct{}
}

type link struct {
	from, to netip.AddrPort
}

// Send puts a message into the queue.
func (n *Network[M]) Send(from, to netip.AddrPort, message M) {
	n.packets = append(n.packets, Packet[M]{From: from, To: to, Message: message})
}

// Len returns the number of packets on their way.
func (n *Network[M]) Len() int { return len(n.packets) }

// Take removes the packet at a position and returns it. It returns false when
// its link is cut: the packet is lost then.
func (n *Network[M]) Take(at int) (Packet[M], bool) {
	packet := n.packets[at]
	n.Drop(at)
	return packet, !n.IsCut(packet.From, packet.To)
}

// Drop loses the packet at a position.
func (n *Network[M]) Drop(at int) {
	n.packets = append(n.packets[:at], n.packets[at+1:]...)
}

// Duplicate sends the packet at a position once more.
func (n *Network[M]) Duplicate(at int) {
	n.packets = append(n.packets, n.packets[at])
}

// CutOneWay loses every packet from one node to another until the link is
// healed.
func (n *Network[M]) CutOneWay(from, to netip.AddrPort) {
	if n.cuts == nil {
		n.cuts = make(map[link]struct{})
	}
	n.cuts[link{from, to}] = struct{}{}
}

// Cut loses every packet between two nodes until the link is healed.
func (n *Network[M]) Cut(a, b netip.AddrPort) {
	n.CutOneWay(a, b)
	n.CutOneWay(b, a)
}

// Heal connects two nodes again.
func (n *Network[M]) Heal(a, b netip.AddrPort) {
	delete(n.cuts, link{a, b})
	delete(n.cuts, link{b, a})
}

// HealAll connects everyone again.
func (n *Network[M]) HealAll() { clear(n.cuts) }

// IsCut says whether packets from one node to another are lost.
func (n *Network[M]) IsCut(from, to netip.AddrPort) bool {
	_, cut := n.cuts[link{from, to}]
	return cut
}
