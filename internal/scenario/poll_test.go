package scenario

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/kumquatworks/kumquatworks/internal/standin/fabric"
)

const (
	pollInterval = 10 * time.Millisecond
	// pollLimit ends a wait for a condition that never comes true. It is far
	// above what a loaded machine needs and decides nothing else.
	pollTimeout = 60 * time.Second
)

// failer is what testing.T and testscript.TestScript have in common.
type fataler interface {
	Fatalf(format string, args ...any)
}

// await polls a condition.
func await(f fataler, description string, condition func() bool) {
	for deadline := time.Now().Add(pollTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if condition() {
			return
		}
	}
	f.Fatalf("%s: not within %s", description, pollTimeout)
}

// freeAddresses returns loopback addresses with ports that are free for TCP and UDP.
func freeAddresses(f fataler, n int) []netip.AddrPort {
	var addresses []netip.AddrPort
	for len(addresses) < n {
		tcp, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			f.Fatalf("free port: %v", err)
		}
		defer tcp.Close() // keeps the port from being found twice
		address := tcp.Addr().(*net.TCPAddr).AddrPort()
		udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
		if err != nil {
			continue
		}
		defer udp.Close()
		addresses = append(addresses, address)
	}
	return addresses
}

func awaitListening(f fataler, address netip.AddrPort) {
	await(f, address.String()+" answers", func() bool {
		conn, err := net.Dial("tcp4", address.String())
		if err != nil {
			return false
		}
		conn.Close()
		return true
	})
}

func awaitLiveBalancers(f fataler, fabricHTTP string, want int) {
	await(f, "live balancers", func() bool {
		var counts fabric.Counts
		return json.Unmarshal([]byte(getText(f, fabricHTTP+"/test/counts")), &counts) == nil && len(counts.Live) == want
	})
}

func getText(f fataler, address string) string {
	response, err := http.Get("http://" + address)
	if err != nil {
		f.Fatalf("%v", err)
		return ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		f.Fatalf("%s: status %d, %v: %s", address, response.StatusCode, err, text)
	}
	return string(text)
}
