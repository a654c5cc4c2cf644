// Package socket tells whether, and how, the other side of a TCP connection has ended it, without
// reading data from it.
//
// A socket reports a reset once, as the error of whichever call comes first. If that is a
// write, the next read returns a plain end of stream, as after a regular close. The state
// of the socket distinguishes the two:
//
//	s := socket.Of(conn)
//	if n, err := conn.Read(b); err == io.EOF && s.IsReset() {
//		return n, io.ErrUnexpectedEOF
//	}
package socket

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Socket is the socket of a connection. A nil Socket is one that has not ended.
type Socket struct {
	raw syscall.RawConn
}

// Of returns the socket of a connection, or nil if it has none.
func Of(c net.Conn) *Socket {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	return &Socket{raw: raw}
}

// HasEnded returns true if the other side has closed or reset the connection, also if data
// that it sent before has not been read, or if the connection is closed here. It may take the error
// of a reset; IsReset returns true all the same.
func (s *Socket) HasEnded() bool {
	if s == nil {
		return false
	}
	ended, hasUnread := false, false
	err := s.raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		hasUnread = n > 0
		ended = n <= 0 && !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR)
	})
	if hasUnread {
		// A peek does not see the end behind it.
		return s.poll(unix.POLLRDHUP) != 0
	}
	return ended || err != nil
}

// IsReset returns true if the connection has ended by a reset or an error, also if another
// call has got the error, or if it is closed here. It returns false if the other side has
// closed it regularly.
func (s *Socket) IsReset() bool {
	return s != nil && s.poll(0)&(unix.POLLERR|unix.POLLHUP|unix.POLLNVAL) != 0
}

// poll returns which of the events have occurred. Errors are always among them.
func (s *Socket) poll(events int16) (occurred int16) {
	err := s.raw.Control(func(fd uintptr) {
		fds := [...]unix.PollFd{{Fd: int32(fd), Events: events}}
		if n, err := unix.Poll(fds[:], 0); err == nil && n > 0 {
			occurred = fds[0].Revents
		}
	})
	if err != nil {
		// The connection is closed here.
		return unix.POLLNVAL
	}
	return occurred
}
