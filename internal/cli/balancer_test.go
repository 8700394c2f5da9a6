package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/kumquatworks/kumquatworks/platform"
)

// Guards against a check that accepts settings with which the balancer does not start,
// and against one that reports only the first of several validation errors.
func TestBalancerCheck(t *testing.T) {
	file := filepath.Join(t.TempDir(), "balancer.json")
	check := func(content string) (int, string) {
		assert.NilError(t, os.WriteFile(file, []byte(content), 0o600))
		var out, errOut bytes.Buffer
		code := Main([]string{"balancer", "--config", file, "--check"}, &out, &errOut)
		return code, out.String() + errOut.String()
	}
	code, text := check(`{"vm": "pl-a-1", "place": "pl-a", "data_address": "127.0.0.1:4754",
		"control_address": "127.0.0.1:4755", "fabric_address": "127.0.0.1:4756",
		"platform_url": "http://127.0.0.1:7400", "fleet_key": "000102030405060708090a0b0c0d0e0f"}`)
	assert.Equal(t, code, ExitSuccess, text)
	code, text = check(`{"vm": "pl-a-1", "places": "pl-a"}`)
	assert.Equal(t, code, ExitFailure)
	for _, want := range []string{file + ": 7 faults", "\nplace: is missing", "\nfleet_key: is missing", "\nplaces: is not a known field"} {
		assert.Assert(t, strings.Contains(text, want), "output lacks %q: %s", want, text)
	}
	var out bytes.Buffer
	assert.Equal(t, Main([]string{"balancer"}, &out, &out), ExitUsage)
}

// Guards against a check that does not name the missing settings of the users' platform.
func TestBalancerCheckOnPlatform(t *testing.T) {
	check := func(file string, args ...string) (int, string) {
		t.Setenv(platform.SettingsVariable, file)
		var out, errOut bytes.Buffer
		code := Main(append([]string{"balancer", "--check"}, args...), &out, &errOut)
		return code, out.String() + errOut.String()
	}
	const validSettings = "../../platform/testdata/settings.json"
	code, text := check(validSettings)
	assert.Equal(t, code, ExitSuccess, text)
	assert.Assert(t, strings.Contains(text, "vm front-1, place pl-a"), text)
	emptySettings := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(emptySettings, []byte("{}"), 0o600))
	code, text = check(emptySettings)
	assert.Equal(t, code, ExitFailure)
	assert.Assert(t, strings.Contains(text, "is missing; expected"), text)
	code, _ = check(validSettings, "--trace-share", "2")
	assert.Equal(t, code, ExitUsage)
}
