// Package settings reads the static settings of a balancer process from one
// JSON file. Everything that operators publish is dynamic configuration and
// lives in package objects.
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
	// VM is the name of this balancer in the VM list.
	VM string
	// Place is the failure domain of this balancer.
	Place string
	// DataAddress receives GRE-in-UDP from the fabric and from peers.
	DataAddress netip.AddrPort
	// ControlAddress receives probes (UDP) and Twirp calls (TCP).
	ControlAddress netip.AddrPort
	// FabricAddress is the only source of packets that are not relayed, and receives all packets that leave the fleet.
	FabricAddress netip.AddrPort
	// PlatformURL is the base URL of the key-value service and VM list.
	PlatformURL string
	// Seeds are control addresses of peers that are asked for the first view.
	Seeds []netip.AddrPort
	// FleetKey authenticates control messages and relayed packets.
	FleetKey Key
	// DebugAddress serves expvar under /debug/vars when it is set.
	DebugAddress netip.AddrPort
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// Readers is the number of goroutines that read the data socket.
	Readers int
	// ReceiveBufferBytes is the size of the kernel's receive buffer of the data socket.
	ReceiveBufferBytes int
	// FlowCapacity bounds the flow table.
	FlowCapacity int
	Timers       Timers
	Trace        Trace
}

// Timers are the intervals of a balancer.
type Timers struct {
	HoldOff      Milliseconds
	IdleTimeout  Milliseconds
	FreezeGap    Milliseconds
	ViewTimeout  Milliseconds
	TickInterval Milliseconds
	// LeaveQuiet is how long the fabric must send nothing before a leaving balancer stops.
	LeaveQuietPeriod Milliseconds
	// LeaveLimit is how long a leaving balancer keeps forwarding at the most.
	LeaveTimeout Milliseconds
}

// Trace selects the flows that are traced.
type Trace struct {
	// Share of all flows, 0 to 1.
	SamplingRatio float64
	// File receives the spans as JSON lines; empty for standard error.
	File string
}

// Milliseconds is a duration as the settings file gives it.
type Milliseconds int

// Duration converts to the type of the standard library.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Key is a secret in hexadecimal digits. It is not shown in messages.
type Key []byte

// UnmarshalText decodes the digits.
func (k *Key) UnmarshalText(text []byte) error {
	data, err := hex.DecodeString(string(text))
	*k = data
	return err
}

// String hides the key.
func (k Key) String() string { return "(hidden)" }

// Defaults returns settings with every optional field at its default.
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

// maxFileBytes bounds the settings file.
const maxFileBytes = 1 << 20

// Read reads and checks a settings file.
func Read(path string) (Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	if info.Size() > maxFileBytes {
		return Settings{}, errors.Errorf("settings: %s has %d bytes; at most %d are read", path, info.Size(), maxFileBytes)
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

// Faults are all faults of a settings file.
type ValidationErrors []ValidationError

// Fault is one fault of a settings file.
type ValidationError struct {
	// Path names the field, for example timers.tick_ms; empty for the whole file.
	Path string
	// Problem says what is wrong.
	Problem string
	// Expected says what would be right.
	Expected string
}

// Error lists the faults, one a line.
func (e ValidationErrors) Error() string {
	lines := make([]string, len(e))
	for i, validationError := range e {
		lines[i] = validationError.String()
	}
	return "\n" + strings.Join(lines, "\n")
}

// String returns the fault as one line.
func (e ValidationError) String() string {
	line := e.Problem + "; expected " + e.Expected
	if e.Path == "" {
		return line
	}
	return e.Path + ": " + line
}
