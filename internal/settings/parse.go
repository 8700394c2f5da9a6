package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
)

// field is one field of a JSON object of the settings file.
type field struct {
	name     string
	into     any
	required bool
	// secret values are not repeated in messages.
	secret   bool
	expected string
	valid    func() bool
	// fields are the fields of a nested object; then into is nil.
	fields []field
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

const (
	expectName    = "1 to 63 of a-z, 0-9 and -, not starting or ending with -"
	expectAddress = "an IPv4 address and port of one host, such as 10.0.0.1:4754"
	minKeyBytes   = 16
	maxKeyBytes   = 64
)

var logLevels = []string{"debug", "info", "warn", "error"}

// table lists the fields of the settings file and where they go.
func table(s *Settings) []field {
	return []field{
		name("vm", &s.VM),
		name("place", &s.Place),
		address("data_address", &s.DataAddress, true),
		address("control_address", &s.ControlAddress, true),
		address("fabric_address", &s.FabricAddress, true),
		{name: "platform_url", into: &s.PlatformURL, required: true,
			expected: "a URL such as http://10.0.0.9:7400",
			valid:    func() bool { return validURL(s.PlatformURL) }},
		{name: "seeds", into: &s.Seeds,
			expected: "a list of control addresses, each " + expectAddress,
			valid: func() bool {
				return !slices.ContainsFunc(s.Seeds, func(a netip.AddrPort) bool { return !validAddress(a) })
			}},
		{name: "fleet_key", into: &s.FleetKey, required: true, secret: true,
			expected: fmt.Sprintf("%d to %d hexadecimal digits", 2*minKeyBytes, 2*maxKeyBytes),
			valid:    func() bool { return len(s.FleetKey) >= minKeyBytes && len(s.FleetKey) <= maxKeyBytes }},
		address("debug_address", &s.DebugAddress, false),
		{name: "log_level", into: &s.LogLevel,
			expected: strings.Join(logLevels, ", "),
			valid:    func() bool { return slices.Contains(logLevels, s.LogLevel) }},
		number("readers", &s.Readers, 1, 64, "goroutines"),
		number("receive_buffer_bytes", &s.ReceiveBufferBytes, 1<<16, 1<<28, "bytes"),
		number("flow_capacity", &s.FlowCapacity, 1<<10, 1<<24, "flows"),
		{name: "timers", fields: []field{
			timer("hold_off_ms", &s.Timers.HoldOff, 0, 60_000),
			timer("idle_ms", &s.Timers.Idle, 1000, 86_400_000),
			timer("freeze_gap_ms", &s.Timers.FreezeGap, 100, 60_000),
			timer("view_wait_ms", &s.Timers.ViewWait, 0, 10_000),
			timer("tick_ms", &s.Timers.Tick, 10, 1000),
			timer("leave_quiet_ms", &s.Timers.LeaveQuiet, 0, 60_000),
			timer("leave_limit_ms", &s.Timers.LeaveLimit, 0, 600_000),
		}},
		{name: "trace", fields: []field{
			{name: "share", into: &s.Trace.Share, expected: "a number from 0 to 1",
				valid: func() bool { return s.Trace.Share >= 0 && s.Trace.Share <= 1 }},
			{name: "file", into: &s.Trace.File, expected: "the name of a file"},
		}},
	}
}

func name(key string, into *string) field {
	return field{name: key, into: into, required: true, expected: expectName,
		valid: func() bool { return namePattern.MatchString(*into) }}
}

func address(key string, into *netip.AddrPort, required bool) field {
	return field{name: key, into: into, required: required, expected: expectAddress,
		valid: func() bool { return validAddress(*into) }}
}

func number(key string, into *int, low, high int, unit string) field {
	return field{name: key, into: into, expected: fmt.Sprintf("a whole number from %d to %d (%s)", low, high, unit),
		valid: func() bool { return *into >= low && *into <= high }}
}

func timer(key string, into *Milliseconds, low, high Milliseconds) field {
	return field{name: key, into: into, expected: fmt.Sprintf("a whole number from %d to %d (milliseconds)", low, high),
		valid: func() bool { return *into >= low && *into <= high }}
}

// validAddress refuses wildcard addresses, because peers receive the address and answer to it.
func validAddress(a netip.AddrPort) bool {
	return a.Addr().Is4() && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast() && a.Port() != 0
}

func validURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}

// Parse reads a settings file and returns every fault.
func Parse(data []byte) (Settings, Faults) {
	s := Defaults()
	p := parser{bad: map[string]bool{}}
	p.object("", data, table(&s))
	p.related(&s)
	return s, p.faults
}

type parser struct {
	faults Faults
	bad    map[string]bool
}

func (p *parser) fault(path, problem, expected string) {
	p.bad[path] = true
	p.faults = append(p.faults, Fault{Path: path, Problem: problem, Expected: expected})
}

func (p *parser) object(path string, data []byte, fields []field) {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.name
	}
	values, repeated, err := members(data)
	if err != nil {
		p.fault(path, "is not readable: "+err.Error(), "a JSON object with the fields "+strings.Join(names, ", "))
		return
	}
	for _, key := range repeated {
		p.fault(join(path, key), "is given twice", "one value")
	}
	for _, f := range fields {
		value, given := values[f.name]
		delete(values, f.name)
		p.field(join(path, f.name), f, value, given)
	}
	for _, key := range sortedKeys(values) {
		p.fault(join(path, key), "is not a known field", strings.Join(names, ", "))
	}
}

func (p *parser) field(path string, f field, value []byte, given bool) {
	if !given {
		if f.required {
			p.fault(path, "is missing", f.expected)
		}
		return
	}
	if f.fields != nil {
		p.object(path, value, f.fields)
		return
	}
	err := json.Unmarshal(value, f.into)
	isNull := string(value) == "null"
	if err == nil && !isNull && (f.valid == nil || f.valid()) {
		return
	}
	problem := shorten(value) + " is not valid"
	if f.secret {
		problem = "is not valid"
	}
	p.fault(path, problem, f.expected)
}

// related checks fields against each other, unless one of them is faulty by itself.
func (p *parser) related(s *Settings) {
	p.differ("control_address", s.ControlAddress, "data_address", s.DataAddress)
	p.differ("fabric_address", s.FabricAddress, "data_address", s.DataAddress)
	p.differ("fabric_address", s.FabricAddress, "control_address", s.ControlAddress)
	p.differ("debug_address", s.DebugAddress, "control_address", s.ControlAddress)
	if !p.bad["timers.tick_ms"] && !p.bad["timers.freeze_gap_ms"] && 2*s.Timers.Tick > s.Timers.FreezeGap {
		p.fault("timers.tick_ms", fmt.Sprintf("%d is too long to notice a gap of %d", s.Timers.Tick, s.Timers.FreezeGap), "at most half of timers.freeze_gap_ms")
	}
}

func (p *parser) differ(path string, a netip.AddrPort, other string, b netip.AddrPort) {
	if !p.bad[path] && !p.bad[other] && a.IsValid() && a == b {
		p.fault(path, a.String()+" is also "+other, "another address or port")
	}
}

// members reads a JSON object and names the keys that occur more than once.
func members(data []byte) (values map[string]json.RawMessage, repeated []string, err error) {
	if err := json.Unmarshal(data, &values); err != nil {
		return nil, nil, err
	}
	if values == nil {
		return nil, nil, fmt.Errorf("null is not an object")
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	seen := map[string]bool{}
	var skipped json.RawMessage
	for _, err = decoder.Token(); err == nil && decoder.More(); err = decoder.Decode(&skipped) {
		token, _ := decoder.Token()
		key, _ := token.(string)
		if seen[key] {
			repeated = append(repeated, key)
		}
		seen[key] = true
	}
	if err != nil && err != io.EOF {
		return nil, nil, err
	}
	return values, repeated, nil
}

func sortedKeys(m map[string]json.RawMessage) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// shorten cuts a value for a message.
func shorten(value []byte) string {
	const limit = 60
	if len(value) <= limit {
		return string(value)
	}
	return string(value[:limit]) + "..."
}
