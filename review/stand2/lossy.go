//go:build review

package stand2

import (
	"math/rand/v2"
	"net"
	"net/netip"
)

// ForwardDatagrams forwards the datagrams that arrive at from to another address, but loses a share of them. The
// returned function ends it.
func ForwardDatagrams(from, to netip.AddrPort, lossShare float64) (stop func(), err error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(from))
	if err != nil {
		return nil, err
	}
	go func() {
		buffer := make([]byte, 4096)
		for {
			n, _, err := conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return // the socket was closed
			}
			if rand.Float64() >= lossShare {
				_, _ = conn.WriteToUDPAddrPort(buffer[:n], to) // a network loses datagrams, too
			}
		}
	}()
	return func() { conn.Close() }, nil
}
