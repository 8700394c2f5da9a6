package scenario

import (
	"encoding/hex"
	"net"
	"net/netip"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/kumquatworks/kumquatworks/internal/protocol"
	"github.com/kumquatworks/kumquatworks/internal/standin/platform"
)

const (
	wrongKey = "ffeeddccbbaa99887766554433221100"
	// garbageCopies is enough that the random choice of the fabric reaches each of three balancers.
	garbageCopies = 100
)

// outageCommand drains a target and ends every call to the platform as soon as
// one balancer has the new generation in force: outage TARGET
func outageCommand(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	f.change(ts, []string{args[0], "drain"})
	before := f.highest(ts)
	f.start(ts, "publish", f.publishArgs(ts)...)
	for end := time.Now().Add(pollLimit); f.highest(ts) == before; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			ts.Fatalf("the publish reached no balancer: %s", ts.ReadFile("publish.err"))
		}
	}
	put(ts, f.at(platformPort)+"/test/switches", platform.Faults{Outage: true})
}

// highest returns the highest generation in force.
func (f *fleet) highest(ts *testscript.TestScript) float64 {
	generation := 0.0
	for _, vm := range f.vms {
		generation = max(generation, variable(f.debug(ts, vm), "generation"))
	}
	return generation
}

// strangerCommand starts a balancer with a wrong fleet key that is on no VM
// list and has the fleet as seeds: stranger VM
func strangerCommand(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	f.start(ts, args[0], "balancer", "--config", f.writeSettings(ts, args[0], wrongKey))
}

// garbageCommand sends malformed and forged packets and messages to balancers,
// directly and through the fabric: garbage VM...
func garbageCommand(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	for _, vm := range args {
		for _, datagram := range forgedPackets(ts) {
			sendTo(ts, "udp4", f.data(ts, vm), datagram)
		}
		for _, datagram := range [][]byte{{0}, {0xff, 0xff}, []byte("not a probe"), make([]byte, 1400)} {
			sendTo(ts, "udp4", f.control(ts, vm), datagram)
		}
		for _, text := range []string{"\x00\x01\x02", "POST /twirp/kumquatworks.wire.Peer/Handoff HTTP/1.1\r\nHost: x\r\n" +
			"Content-Type: application/protobuf\r\nContent-Length: 3\r\n\r\n\xff\xff\xff"} {
			sendTo(ts, "tcp4", f.control(ts, vm), []byte(text))
		}
	}
	f.sendThroughFabric(ts)
}

// forgedPackets are packets to the data port that no fabric and no member sent.
func forgedPackets(ts *testscript.TestScript) [][]byte {
	key, err := hex.DecodeString(fleetKey)
	ts.Check(err)
	relayKey, err := protocol.DeriveRelayKey(key)
	ts.Check(err)
	wrong := append([]byte(nil), relayKey...)
	wrong[0]++
	inner := protocol.BuildUDP(
		protocol.NewEndpoint(netip.MustParseAddrPort("10.9.0.200:1000")),
		protocol.NewEndpoint(netip.MustParseAddrPort("10.0.0.1:443")), []byte("forged"))
	return [][]byte{
		{1}, []byte("not a packet"),
		protocol.AppendGRE(nil, inner),
		protocol.AppendRelay(nil, inner, 1, wrong),
		protocol.AppendRelay(nil, inner, 1, relayKey),
	}
}

// sendThroughFabric makes the fabric carry inner packets that are no IPv4 packets.
func (f *fleet) sendThroughFabric(ts *testscript.TestScript) {
	conn, err := net.Dial("udp4", f.at(fabricPort))
	ts.Check(err)
	defer conn.Close()
	_, err = conn.Write([]byte(`{"attach":["10.9.0.200"],"place":"pl-a"}`))
	ts.Check(err)
	acknowledgement := make([]byte, 1500)
	_, err = conn.Read(acknowledgement)
	ts.Check(err)
	for range garbageCopies {
		_, err = conn.Write(protocol.AppendGRE(nil, make([]byte, 40)))
		ts.Check(err)
	}
}

func sendTo(ts *testscript.TestScript, network, address string, data []byte) {
	conn, err := net.Dial(network, address)
	ts.Check(err)
	defer conn.Close()
	_, err = conn.Write(data)
	ts.Check(err)
}
