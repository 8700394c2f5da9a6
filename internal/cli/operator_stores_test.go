package cli

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// serveMetrics serves the metrics of a balancer and returns its address.
func serveMetrics(t *testing.T, body string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, body) }))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func metricsOf(vm string, store, state string) string {
	return fmt.Sprintf(`{"memstats": {}, "kumquatworks": {"balancer": {"VM": %q, "Place": "pl-a"}, "store": {%s}, "state": {%s}}}`, vm, store, state)
}

// Guards against an operator who is not told that the store has returned from an older copy, or which
// balancers still have data from before.
func TestStatusReportsReturnOfStore(t *testing.T) {
	anew := serveMetrics(t, metricsOf("vm-1", `"Era": 2, "Returns": 1, "ReturnedAt": "2026-12-07T05:00:01.5Z", "Invalid": false`,
		`"RoutesVersion": 17, "Era": 2, "EraSince": "2026-12-07T05:00:02Z", "Revision": 40`))
	former := serveMetrics(t, metricsOf("vm-2", `"Era": 1, "Returns": 0, "Invalid": true`, `"RoutesVersion": 15, "Era": 1, "Revision": 52`))
	run := func(args ...string) (code int, out, errOut string) {
		var stdout, stderr bytes.Buffer
		code = Main(append([]string{"status"}, args...), &stdout, &stderr)
		return code, stdout.String(), stderr.String()
	}
	code, out, _ := run("--metrics", anew)
	assert.Equal(t, code, ExitSuccess)
	for _, part := range []string{"store in era 2;", "vm-1", "2026-12-07T05:00:01Z", "2026-12-07T05:00:02Z", "attention: nothing"} {
		assert.Assert(t, strings.Contains(out, part), "%q is missing in\n%s", part, out)
	}
	code, out, errOut := run("--metrics", anew, "--metrics", former, "--metrics", "127.0.0.1:1", "--metrics", serveMetrics(t, `{"memstats": {}}`))
	assert.Equal(t, code, ExitFailure)
	assert.Assert(t, strings.Contains(errOut, "5 things to attend to"), errOut)
	for _, part := range []string{"vm-2: has data of era 1 and has not read the store anew, which is in era 2", "vm-2: has version 15 in force, another balancer has 17",
		"vm-2: the store does not state its era", "127.0.0.1:1: does not answer", "no figures about the store"} {
		assert.Assert(t, strings.Contains(out, part), "%q is missing in\n%s", part, out)
	}
	supplied := serveMetrics(t, metricsOf("vm-3", `"Era": 2, "Returns": 1, "ReturnedAt": "2026-12-07T04:00:00Z"`, `"RoutesVersion": 17, "Era": 3, "EraSince": "2026-12-07T05:00:02Z"`))
	_, out, _ = run("--metrics", supplied)
	assert.Assert(t, !strings.Contains(out, "04:00:00"), "an earlier return is shown\n%s", out)
	code, out, _ = run("--json", "--metrics", former)
	assert.Equal(t, code, ExitFailure)
	assert.Assert(t, strings.Contains(out, `"data_era": 1`), out)
	code, out, errOut = run("--metrics", serveMetrics(t, metricsOf("vm-4", `"Era": 0, "Invalid": true`, `"RoutesVersion": 17`)))
	assert.Equal(t, code, ExitFailure, "a balancer whose store states no era counts as silent: %s", errOut)
	assert.Assert(t, strings.Contains(out, "vm-4: the store does not state its era"), out)
	code, _, _ = run("--metrics", "127.0.0.1:1")
	assert.Equal(t, code, ExitUnknown)
	for _, args := range [][]string{{"--metrics", "nowhere"}, {"--metrics", anew, "--local"}, {"--metrics", anew, "--balancer", anew}, {"--fleet-key-file", "x"}, {"--balancer", anew}} {
		code, _, errOut = run(args...)
		assert.Equal(t, code, ExitUsage, "%v: %s", args, errOut)
	}
}
