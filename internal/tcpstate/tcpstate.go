// Package tcpstate tells the state of TCP connections.
package tcpstate

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Of returns the state of a connection, a constant unix.BPF_TCP_*. It is zero if it is not known.
func Of(conn syscall.Conn) (state uint8) {
	Control(conn, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	return state
}

// Control calls a function with the file descriptor of a connection, unless that is closed.
func Control(conn syscall.Conn, do func(fd int)) {
	if raw, err := conn.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { do(int(fd)) })
	}
}
