package control

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// Names of the counters of this package. The agent and the data path define the
// names of their own counters.
const (
	// CounterBytesSent and CounterBytesReceived are the sums over probe, Twirp and health
	// check traffic.
	CounterBytesSent     = "control_bytes_sent"
	CounterBytesReceived = "control_bytes_received"

	counterProbeSent      = "control_probe_bytes_sent"
	counterProbeReceived  = "control_probe_bytes_received"
	counterTwirpSent      = "control_twirp_bytes_sent"
	counterTwirpReceived  = "control_twirp_bytes_received"
	counterHealthSent     = "control_health_bytes_sent"
	counterHealthReceived = "control_health_bytes_received"

	counterRefusedProbes      = "control_refused_probes"
	counterRefusedRequests    = "control_refused_requests"
	counterDroppedProbes      = "control_dropped_probes"
	counterSendErrors         = "control_send_errors"
	counterExchanges          = "control_exchanges"
	counterExchangeErrors     = "control_exchange_errors"
	counterHandoffSent        = "control_handoff_bindings_sent"
	counterHandoffUndelivered = "control_handoff_bindings_undelivered"
	counterHandoffAccepted    = "control_handoff_bindings_accepted"
)

// counters holds monotonic counters by name. It is safe for concurrent use.
type counters struct {
	mu     sync.Mutex
	totals map[string]*atomic.Uint64
}

func newCounters() *counters { return &counters{totals: map[string]*atomic.Uint64{}} }

func (c *counters) get(name string) *atomic.Uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.totals[name] == nil {
		c.totals[name] = &atomic.Uint64{}
	}
	return c.totals[name]
}

func (c *counters) add(name string, n int) { c.get(name).Add(uint64(n)) }

// snapshot returns the current values, including the sums over all traffic.
func (c *counters) snapshot() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]uint64{}
	for name, total := range c.totals {
		out[name] = total.Load()
	}
	out[CounterBytesSent] = out[counterProbeSent] + out[counterTwirpSent] + out[counterHealthSent]
	out[CounterBytesReceived] = out[counterProbeReceived] + out[counterTwirpReceived] + out[counterHealthReceived]
	return out
}

// countingConn counts the bytes of a TCP connection.
type countingConn struct {
	net.Conn
	sent, received *atomic.Uint64
}

// Read reads from the connection and counts the bytes.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(uint64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(uint64(n))
	return n, err
}

// countingListener counts the bytes of the connections that it accepts as Twirp traffic.
type countingListener struct {
	net.Listener
	counters *counters
}

// Accept waits for the next connection.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, l.counters.get(counterTwirpSent), l.counters.get(counterTwirpReceived)}, nil
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// countingDial returns a dial function whose connections add the bytes that they send
// and receive to the named counters.
func (c *counters) countingDial(sent, received string) dialFunc {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{conn, c.get(sent), c.get(received)}, nil
	}
}
