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

// field describes a field of a JSON object in the settings file.
type field struct {
	name        string
	destination any
	required    bool
	// isSecret excludes the value from error messages.
	isSecret bool
	expected string
	isValid  func() bool
	// fields are the fields of a nested object, for which destination is nil.
	fields []field
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

const (
	expectedName    = "1 to 63 of a-z, 0-9 and -, not starting or ending with -"
	expectedAddress = "an IPv4 address and port of one host, such as 10.0.0.1:4754"
	minKeyBytes     = 16
	maxKeyBytes     = 64
)

var logLevels = []string{"debug", "info", "warn", "error"}

// settingsFields describes the fields of the settings file and the variables that receive them.
func settingsFields(s *Settings) []field {
	return []field{
		nameField("vm", &s.VM),
		nameField("place", &s.Place),
		addressField("data_address", &s.DataAddress, true),
		addressField("control_address", &s.ControlAddress, true),
		addressField("fabric_address", &s.FabricAddress, true),
		{name: "platform_url", destination: &s.PlatformURL, required: true,
			expected: "a URL such as http://10.0.0.9:7400",
			isValid:  func() bool { return isHTTPURL(s.PlatformURL) }},
		{name: "seeds", destination: &s.Seeds,
			expected: "a list of control addresses, each " + expectedAddress,
			isValid: func() bool {
				return !slices.ContainsFunc(s.Seeds, func(a netip.AddrPort) bool { return !isHostAddress(a) })
			}},
		{name: "fleet_key", destination: &s.FleetKey, required: true, isSecret: true,
			expected: fmt.Sprintf("%d to %d hexadecimal digits", 2*minKeyBytes, 2*maxKeyBytes),
			isValid:  func() bool { return len(s.FleetKey) >= minKeyBytes && len(s.FleetKey) <= maxKeyBytes }},
		addressField("debug_address", &s.DebugAddress, false),
		{name: "log_level", destination: &s.LogLevel,
			expected: strings.Join(logLevels, ", "),
			isValid:  func() bool { return slices.Contains(logLevels, s.LogLevel) }},
		integerField("readers", &s.Readers, 1, 64, "goroutines"),
		integerField("receive_buffer_bytes", &s.ReceiveBufferBytes, 1<<16, 1<<28, "bytes"),
		integerField("flow_capacity", &s.FlowCapacity, 1<<10, 1<<24, "flows"),
		{name: "timers", fields: []field{
			durationField("hold_off_ms", &s.Timers.HoldOff, 0, 60_000),
			durationField("idle_ms", &s.Timers.IdleTimeout, 1000, 86_400_000),
			durationField("freeze_gap_ms", &s.Timers.FreezeGap, 100, 60_000),
			durationField("view_wait_ms", &s.Timers.ViewTimeout, 0, 10_000),
			durationField("tick_ms", &s.Timers.TickInterval, 10, 1000),
			durationField("leave_quiet_ms", &s.Timers.LeaveQuietPeriod, 0, 60_000),
			durationField("leave_limit_ms", &s.Timers.LeaveTimeout, 0, 600_000),
		}},
		{name: "trace", fields: []field{
			{name: "share", destination: &s.Trace.SamplingRatio, expected: "a number from 0 to 1",
				isValid: func() bool { return s.Trace.SamplingRatio >= 0 && s.Trace.SamplingRatio <= 1 }},
			{name: "file", destination: &s.Trace.File, expected: "a file name"},
		}},
	}
}

func nameField(key string, destination *string) field {
	return field{name: key, destination: destination, required: true, expected: expectedName,
		isValid: func() bool { return namePattern.MatchString(*destination) }}
}

func addressField(key string, destination *netip.AddrPort, required bool) field {
	return field{name: key, destination: destination, required: required, expected: expectedAddress,
		isValid: func() bool { return isHostAddress(*destination) }}
}

func integerField(key string, destination *int, minimum, maximum int, unit string) field {
	return field{name: key, destination: destination, expected: fmt.Sprintf("a whole number from %d to %d (%s)", minimum, maximum, unit),
		isValid: func() bool { return *destination >= minimum && *destination <= maximum }}
}

func durationField(key string, destination *Milliseconds, minimum, maximum Milliseconds) field {
	return field{name: key, destination: destination, expected: fmt.Sprintf("a whole number from %d to %d (milliseconds)", minimum, maximum),
		isValid: func() bool { return *destination >= minimum && *destination <= maximum }}
}

// isHostAddress reports whether an address is an IPv4 address and port of one host.
// Wildcard addresses are rejected, because peers receive the address and send replies to it.
func isHostAddress(a netip.AddrPort) bool {
	return a.Addr().Is4() && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast() && a.Port() != 0
}

func isHTTPURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}

// Parse decodes and validates the content of a settings file and returns all errors.
func Parse(data []byte) (Settings, ValidationErrors) {
	s := Defaults()
	p := parser{invalidPaths: map[string]bool{}}
	p.parseObject("", data, settingsFields(&s))
	p.checkCombinations(&s)
	return s, p.errors
}

type parser struct {
	errors       ValidationErrors
	invalidPaths map[string]bool
}

func (p *parser) addError(path, problem, expected string) {
	p.invalidPaths[path] = true
	p.errors = append(p.errors, ValidationError{Path: path, Problem: problem, Expected: expected})
}

func (p *parser) parseObject(path string, data []byte, fields []field) {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.name
	}
	values, repeated, err := decodeMembers(data)
	if err != nil {
		p.addError(path, "is not a valid JSON object: "+err.Error(), "a JSON object with the fields "+strings.Join(names, ", "))
		return
	}
	for _, key := range repeated {
		p.addError(joinPath(path, key), "is a duplicate key", "a single value")
	}
	for _, f := range fields {
		value, given := values[f.name]
		delete(values, f.name)
		p.parseField(joinPath(path, f.name), f, value, given)
	}
	for _, key := range sortedKeys(values) {
		p.addError(joinPath(path, key), "is not a known field", strings.Join(names, ", "))
	}
}

func (p *parser) parseField(path string, f field, value []byte, given bool) {
	if !given {
		if f.required {
			p.addError(path, "is missing", f.expected)
		}
		return
	}
	if f.fields != nil {
		p.parseObject(path, value, f.fields)
		return
	}
	err := json.Unmarshal(value, f.destination)
	isNull := string(value) == "null"
	if err == nil && !isNull && (f.isValid == nil || f.isValid()) {
		return
	}
	problem := truncate(value) + " is not valid"
	if f.isSecret {
		problem = "is not valid"
	}
	p.addError(path, problem, f.expected)
}

// checkCombinations validates fields that depend on each other. It skips a rule when one
// of its fields is already reported as invalid.
func (p *parser) checkCombinations(s *Settings) {
	p.requireDistinct("control_address", s.ControlAddress, "data_address", s.DataAddress)
	p.requireDistinct("fabric_address", s.FabricAddress, "data_address", s.DataAddress)
	p.requireDistinct("fabric_address", s.FabricAddress, "control_address", s.ControlAddress)
	p.requireDistinct("debug_address", s.DebugAddress, "control_address", s.ControlAddress)
	if !p.invalidPaths["timers.tick_ms"] && !p.invalidPaths["timers.freeze_gap_ms"] && 2*s.Timers.TickInterval > s.Timers.FreezeGap {
		p.addError("timers.tick_ms", fmt.Sprintf("%d is too long to detect a gap of %d", s.Timers.TickInterval, s.Timers.FreezeGap), "at most half of timers.freeze_gap_ms")
	}
}

func (p *parser) requireDistinct(path string, a netip.AddrPort, other string, b netip.AddrPort) {
	if !p.invalidPaths[path] && !p.invalidPaths[other] && a.IsValid() && a == b {
		p.addError(path, a.String()+" is already used by "+other, "a different address or port")
	}
}

// decodeMembers decodes a JSON object and also returns the keys that occur more than once.
func decodeMembers(data []byte) (values map[string]json.RawMessage, repeated []string, err error) {
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

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// truncate limits the length of a value in a message.
func truncate(value []byte) string {
	const limit = 60
	if len(value) <= limit {
		return string(value)
	}
	return string(value[:limit]) + "..."
}
