package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a check that passes settings with which the balancer does not start, or names one fault at a time.
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
	assert.Equal(t, code, ExitDone, text)
	code, text = check(`{"vm": "pl-a-1", "places": "pl-a"}`)
	assert.Equal(t, code, ExitFailed)
	for _, want := range []string{file + ": 7 faults", "\nplace: is missing", "\nfleet_key: is missing", "\nplaces: is not a known field"} {
		assert.Assert(t, strings.Contains(text, want), "no %q in %s", want, text)
	}
	var out bytes.Buffer
	assert.Equal(t, Main([]string{"balancer"}, &out, &out), ExitUsage)
}
