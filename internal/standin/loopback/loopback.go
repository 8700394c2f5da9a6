// Package loopback finds addresses for processes and services that tests start.
package loopback

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"
)

// FreeAddresses returns loopback addresses whose ports are free for both TCP and UDP. A port
// that is free for UDP only may be in use by a TCP connection of another test.
func FreeAddresses(n int) ([]netip.AddrPort, error) {
	addresses := make([]netip.AddrPort, 0, n)
	for len(addresses) < n {
		tcp, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "find a free port")
		}
		defer tcp.Close() // held until the return, so that no port is returned twice
		address := tcp.Addr().(*net.TCPAddr).AddrPort()
		udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
		if err != nil {
			continue
		}
		defer udp.Close()
		addresses = append(addresses, address)
	}
	return addresses, nil
}
