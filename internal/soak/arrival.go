package soak

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// arrivalError is how far the kernel's record of an arrival may be off: it counts in ticks of its timer.
const arrivalError = 4 * time.Millisecond

// latestArrival returns when the latest bytes arrived on a connection, as far as the kernel tells, and otherwise the
// present. A busy process may read them much later.
func latestArrival(conn net.Conn) time.Time {
	now := time.Now()
	withDescriptor, ok := conn.(syscall.Conn)
	if !ok {
		return now
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return now
	}
	var info *unix.TCPInfo
	var failure error
	err = raw.Control(func(fd uintptr) {
		info, failure = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || failure != nil {
		return now
	}
	age := time.Duration(info.Last_data_recv) * time.Millisecond
	return now.Add(-max(0, age-arrivalError))
}
