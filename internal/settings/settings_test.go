package settings

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const validSettings = `{
	"vm": "pl-a-1", "place": "pl-a",
	"data_address": "127.0.0.1:4754", "control_address": "127.0.0.1:4755", "fabric_address": "127.0.0.2:4754",
	"platform_url": "http://127.0.0.1:7400", "seeds": ["127.0.0.3:4755"],
	"fleet_key": "000102030405060708090a0b0c0d0e0f",
	"timers": {"freeze_gap_ms": 700}, "trace": {"share": 0.5}
}`

// Guards against a field that is accepted but not applied, and against a default that a
// partially specified object overwrites.
func TestParseAppliesSettingsAndDefaults(t *testing.T) {
	s, validationErrors := Parse([]byte(validSettings))
	assert.Equal(t, len(validationErrors), 0, "%v", validationErrors)
	assert.Equal(t, s.VM, "pl-a-1")
	assert.Equal(t, s.FabricAddress.String(), "127.0.0.2:4754")
	assert.Equal(t, s.Timers.FreezeGap, Milliseconds(700))
	assert.Equal(t, s.Timers.HoldOff, Defaults().Timers.HoldOff)
	assert.Equal(t, s.Trace.SamplingRatio, 0.5)
	assert.Equal(t, len(s.FleetKey), 16)
}

// Guards against errors that are reported one at a time, each of which costs the operator
// a restart, and against a key that appears in a log.
func TestParseReportsAllErrorsAtOnce(t *testing.T) {
	_, validationErrors := Parse([]byte(`{
		"vm": "UPPER", "data_address": "0.0.0.0:1", "control_address": 7,
		"fabric_address": "127.0.0.1:9", "debug_address": "[::1]:80",
		"platform_url": "ftp://x", "seeds": ["127.0.0.1:1", "nowhere"], "fleet_key": "c0ffee",
		"log_level": "loud", "readers": 2.5, "flow_capacity": null, "colour": 1,
		"timers": {"tick_ms": 900, "hold_off_ms": -1, "tock_ms": 1, "idle_ms": "1h"},
		"trace": [], "vm": "UPPER"
	}`))
	want := []string{
		"vm: is a duplicate key", `vm: "UPPER" is not valid; expected 1 to 63`, "place: is missing",
		`data_address: "0.0.0.0:1" is not valid`, "control_address: 7 is not valid", `debug_address: "[::1]:80"`,
		`platform_url: "ftp://x"`, `seeds: ["127.0.0.1:1", "nowhere"]`, "fleet_key: is not valid; expected 32 to 128 hex",
		`log_level: "loud" is not valid; expected debug, info, warn, error`, "readers: 2.5", "flow_capacity: null",
		"timers.hold_off_ms: -1", `timers.idle_ms: "1h"`, "timers.tock_ms: is not a known field",
		"trace: is not a valid JSON object", "colour: is not a known field", "timers.tick_ms: 900 is too long",
	}
	text := validationErrors.Error()
	for _, w := range want {
		assert.Assert(t, strings.Contains(text, "\n"+w), "no %q in:%s", w, text)
	}
	assert.Equal(t, len(validationErrors), len(want), "%s", text)
	assert.Assert(t, !strings.Contains(text, "c0ffee"))
}

// Guards against settings that assign one address to two sockets. Without this check,
// the conflict appears only when the process starts.
func TestParseRejectsSharedAddress(t *testing.T) {
	_, validationErrors := Parse([]byte(strings.ReplaceAll(validSettings, "127.0.0.1:4755", "127.0.0.1:4754")))
	assert.Equal(t, len(validationErrors), 1)
	assert.Equal(t, validationErrors[0].Path, "control_address")
}

// Guards against a settings file that makes the parser panic, and against accepted values
// that are out of range.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"timers": {"tick_ms": 1e3}, "seeds": [[]]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, validationErrors := Parse(data)
		if len(validationErrors) > 0 {
			return
		}
		assert.Assert(t, isHostAddress(s.DataAddress) && isHostAddress(s.FabricAddress))
		assert.Assert(t, len(s.FleetKey) >= minKeyBytes && s.Readers > 0 && s.Timers.TickInterval > 0)
	})
}
