// Package backlog empties the receive buffer of a UDP socket.
package backlog

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// Read reads the datagrams that the socket has received, without waiting for more, and
// calls handle with the size of each one in buffer. It ends after limit datagrams. It reads
// from the file descriptor directly: a blocked reader holds the read lock of the connection,
// and with a read deadline a process that is paused would find the deadline exceeded and
// leave the datagrams unread.
func Read(conn *net.UDPConn, buffer []byte, limit int, handle func(size int)) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(raw.Control(func(fd uintptr) {
		for read := 0; read < limit; {
			size, _, err := syscall.Recvfrom(int(fd), buffer, syscall.MSG_DONTWAIT)
			if err == syscall.EINTR {
				continue
			}
			if err != nil {
				return
			}
			handle(size)
			read++
		}
	}))
}
