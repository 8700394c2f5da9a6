// Package settings reads the static settings of a balancer process from one
// JSON file. The dynamic configuration, which operators publish, is defined in
// package objects.
package settings

import (
	"encoding/hex"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Settings are the static settings of one balancer.
type Settings struct {
	// VM is the name of the VM of this balancer in the VM list.
	VM string
	// Place is the failure domain of this balancer.
	Place string
	// DataAddress is the UDP address that receives GRE-in-UDP packets from the fabric and from peers.
	DataAddress netip.AddrPort
	// ControlAddress is the address that receives membership probes (UDP) and Twirp calls (TCP).
	ControlAddress netip.AddrPort
	// FabricAddress is the address of the fabric. Packets that no peer relayed are accepted from
	// it only, and all packets that leave the fleet are sent to it.
	FabricAddress netip.AddrPort
	// PlatformURL is the base URL of the key-value service and the VM list.
	PlatformURL string
	// Seeds are the control addresses of peers that are queried for the initial membership view.
	Seeds []netip.AddrPort
	// FleetKey authenticates control messages and relayed packets.
	FleetKey Key
	// DebugAddress is the HTTP address that serves expvar under /debug/vars; optional.
	DebugAddress netip.AddrPort
	// LogLevel is the minimum level of log messages: debug, info, warn or error.
	LogLevel string
	// Readers is the number of goroutines that read the data socket.
	Readers int
	// ReceiveBufferBytes is the size of the kernel receive buffer of the data socket.
	ReceiveBufferBytes int
	// FlowCapacity is the maximum number of entries in the flow table.
	FlowCapacity int
	Timers       Timers
	Trace        Trace
}

// Timers are the intervals and timeouts of a balancer.
type Timers struct {
	// HoldOff is how long the balancer refuses no opener after a start, a freeze or an ownership change.
	HoldOff Milliseconds
	// IdleTimeout is how long a flow without packets is kept.
	IdleTimeout Milliseconds
	// FreezeGap is the time without a tick after which the balancer assumes that its process
	// was frozen.
	FreezeGap Milliseconds
	// ViewTimeout is the maximum time that the balancer waits after a freeze for peers to
	// return the membership view.
	ViewTimeout Milliseconds
	// TickInterval is the interval of the periodic tick.
	TickInterval Milliseconds
	// LeaveQuietPeriod is how long a leaving balancer must receive no packets from the fabric
	// before it stops.
	LeaveQuietPeriod Milliseconds
	// LeaveTimeout is the maximum time for which a leaving balancer continues to forward.
	LeaveTimeout Milliseconds
}

// Trace configures the tracing of flows.
type Trace struct {
	// SamplingRatio is the fraction of flows that are traced, from 0 to 1.
	SamplingRatio float64
	// File is the file to which spans are written as JSON lines; if empty, they go to standard error.
	File string
}

// Milliseconds is a duration in the unit of the settings file.
type Milliseconds int

// Duration returns m as a time.Duration.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Key is a secret that the settings file contains as hexadecimal digits. Messages do not show it.
type Key []byte

// UnmarshalText decodes the hexadecimal digits.
func (k *Key) UnmarshalText(text []byte) error {
	data, err := hex.DecodeString(string(text))
	*k = data
	return err
}

// String returns a placeholder, so that logs and messages never contain the key.
func (k Key) String() string { return "(hidden)" }

// Defaults returns settings in which all optional fields have their default values.
func Defaults() Settings {
	return Settings{
		LogLevel:           "info",
		Readers:            2,
		ReceiveBufferBytes: 4 << 20,
		FlowCapacity:       1 << 20,
		Timers: Timers{
			HoldOff:          3000,
			IdleTimeout:      900_000,
			FreezeGap:        1000,
			ViewTimeout:      500,
			TickInterval:     100,
			LeaveQuietPeriod: 2000,
			LeaveTimeout:     30_000,
		},
	}
}

// maxFileBytes is the maximum size of the settings file.
const maxFileBytes = 1 << 20

// Read reads and validates a settings file.
func Read(path string) (Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	if info.Size() > maxFileBytes {
		return Settings{}, errors.Errorf("settings: %s has %d bytes, which exceeds the limit of %d", path, info.Size(), maxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	s, validationErrors := Parse(data)
	if len(validationErrors) > 0 {
		noun := "faults"
		if len(validationErrors) == 1 {
			noun = "fault"
		}
		return Settings{}, errors.Wrapf(validationErrors, "settings %s: %d %s", path, len(validationErrors), noun)
	}
	return s, nil
}

// ValidationErrors are all errors in a settings file.
type ValidationErrors []ValidationError

// ValidationError describes one error in a settings file.
type ValidationError struct {
	// Path is the path of the invalid field, for example timers.tick_ms; it is empty if the
	// error concerns the whole file.
	Path string
	// Problem describes the error.
	Problem string
	// Expected describes the valid values.
	Expected string
}

// Error returns the errors, one per line.
func (e ValidationErrors) Error() string {
	lines := make([]string, len(e))
	for i, validationError := range e {
		lines[i] = validationError.String()
	}
	return "\n" + strings.Join(lines, "\n")
}

// String returns the error as one line.
func (e ValidationError) String() string {
	line := e.Problem + "; expected " + e.Expected
	if e.Path == "" {
		return line
	}
	return e.Path + ": " + line
}
