package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// ownerAttempts is how often the node that has opened a connection is looked for again.
const ownerAttempts = 5

// link is a proxy before one port of a machine, on which other nodes reach it. It knows which
// node has opened each connection, and holds back the bytes between two machines that are cut off
// from each other.
type link struct {
	f        *fleet
	to       *machine
	target   netip.AddrPort
	listener net.Listener
}

func (f *fleet) startLink(to *machine, at, target netip.AddrPort) error {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return err
	}
	k := &link{f: f, to: to, target: target, listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c)
		}
	}()
	return nil
}

func (k *link) serve(from net.Conn) {
	defer func() { _ = from.Close() }()
	owner := k.f.ownerOf(from.RemoteAddr().String())
	for n := 0; owner == nil && n < ownerAttempts; n++ {
		// The kernel's list may lack a socket if others are opened while it is read.
		time.Sleep(time.Millisecond)
		owner = k.f.ownerOf(from.RemoteAddr().String())
	}
	if owner == nil {
		// The node has closed it, or has ended.
		return
	}
	if !k.f.waitForCut(owner, k.to) {
		return
	}
	to, err := net.DialTimeout("tcp", k.target.String(), time.Second)
	if err != nil {
		// As a port without a listener.
		if tcp, ok := from.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return
	}
	defer func() { _ = to.Close() }()
	var group sync.WaitGroup
	for _, d := range [][2]net.Conn{{from, to}, {to, from}} {
		group.Go(func() {
			defer func() { _ = from.Close() }()
			defer func() { _ = to.Close() }()
			buf := make([]byte, 16<<10)
			for {
				n, err := d[0].Read(buf)
				if n > 0 && k.f.waitForCut(owner, k.to) {
					if _, err := d[1].Write(buf[:n]); err != nil {
						return
					}
				}
				if err != nil {
					return
				}
			}
		})
	}
	group.Wait()
}

// ownerOf returns the machine whose node has the local end of a connection at an address.
func (f *fleet) ownerOf(addr string) *machine {
	inode := inodeOf(netip.MustParseAddrPort(addr))
	if inode == "" {
		return nil
	}
	for _, m := range f.machine {
		m.mu.Lock()
		process := m.process
		m.mu.Unlock()
		if process == nil {
			continue
		}
		paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", process.Process.Pid))
		if err != nil {
			continue
		}
		for _, p := range paths {
			if name, err := os.Readlink(p); err == nil && name == "socket:["+inode+"]" {
				return m
			}
		}
	}
	return nil
}

// inodeOf returns the inode of the socket with a local address, or "".
func inodeOf(addr netip.AddrPort) string {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = file.Close() }()
	ip := addr.Addr().As4()
	want := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], addr.Port())
	lines := bufio.NewScanner(io.LimitReader(file, 16<<20))
	for lines.Scan() {
		if fields := strings.Fields(lines.Text()); len(fields) > 9 && fields[1] == want {
			return fields[9]
		}
	}
	return ""
}

// cut cuts machines off from all other machines, but not from each other, the store, their servers
// and their clients. It replaces an earlier cut.
func (f *fleet) cut(machines ...*machine) {
	f.mu.Lock()
	f.cutOff = make(map[*machine]bool)
	for _, m := range machines {
		f.cutOff[m] = true
	}
	close(f.cutChanged)
	f.cutChanged = make(chan struct{})
	f.mu.Unlock()
	for _, m := range machines {
		f.note("cut: %s is cut off from all other machines", m.name)
	}
	if len(machines) == 0 {
		f.note("cut: the cut has healed")
	}
}

// waitForCut waits until bytes may pass between two machines. It returns false if the fleet ends
// first.
func (f *fleet) waitForCut(a, b *machine) bool {
	for {
		f.mu.Lock()
		isCut, changed := f.cutOff[a] != f.cutOff[b], f.cutChanged
		f.mu.Unlock()
		if !isCut {
			return true
		}
		select {
		case <-changed:
		case <-f.ctx.Done():
			return false
		}
	}
}
