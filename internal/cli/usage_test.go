package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an invalid command line that starts anything, prints more or less than one
// line, or exits with another code than 2. Invalid content of a file must exit with 1.
// KEY, GOOD, BAD and NONE are replaced by file paths; NONE does not exist.
func TestUsageErrors(t *testing.T) {
	t.Setenv("KUMQUATWORKS_FLEET_KEY_FILE", "")
	dir := t.TempDir()
	files := map[string]string{
		"KEY": "00112233445566778899aabbccddeeff\n", "BAD": "{", "NONE": "",
		"GOOD": `{"places": [{"name": "pl-a"}]}`,
	}
	var names []string
	for name, content := range files {
		path := filepath.Join(dir, strings.ToLower(name)+".json")
		names = append(names, name, path)
		if name != "NONE" {
			assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
		}
	}
	replacer := strings.NewReplacer(names...)
	balancer := " --balancer 127.0.0.1:1 --fleet-key-file KEY"
	fleet := balancer + " --platform http://127.0.0.1:1"
	for _, c := range []struct {
		line string
		code int
		want string
	}{
		{"", 2, "specify one command"},
		{"publsh", 2, "Unknown command `publsh'"},
		{"check", 2, "PATH"},
		{"check NONE", 2, "none.json: no such file"},
		{"check BAD", 1, "1 fault in"},
		{"check-config", 2, "FILE"},
		{"check-config GOOD GOOD", 2, "unexpected argument"},
		{"publish" + fleet, 2, "PATH"},
		{"publish GOOD" + balancer, 2, "--platform"},
		{"publish GOOD --platform http://127.0.0.1:1 --fleet-key-file KEY", 2, "--balancer"},
		{"publish GOOD --platform http://127.0.0.1:1 --balancer 127.0.0.1:1", 2, "--fleet-key-file"},
		{"publish GOOD --platform 127.0.0.1:1" + balancer, 2, `--platform: "127.0.0.1:1" is not a URL`},
		{"publish NONE" + fleet, 2, "none.json: no such file"},
		{"publish BAD" + fleet, 1, "1 fault in"},
		{"publish GOOD --base x" + fleet, 2, "--base: takes a whole number from 0"},
		{"publish GOOD --wait soon" + fleet, 2, "--wait: takes a whole number from 0"},
		{"rollback" + fleet, 2, "GENERATION"},
		{"rollback old" + fleet, 2, `GENERATION: "old" is not a generation`},
		{"rollback 1 2" + fleet, 2, `unexpected argument "2"`},
		{"rollback 1" + balancer, 2, "--platform"},
		{"history", 2, "--platform"},
		{"history --platform ftp://10.0.0.9", 2, `--platform: "ftp://10.0.0.9" is not a URL`},
		{"history 7 --platform http://127.0.0.1:1", 2, `unexpected argument "7"`},
		{"status", 2, "--balancer"},
		{"status --balancer", 2, "--balancer"},
		{"status --balancer 127.0.0.1:1 --fleet-key-file NONE", 2, "none.json: no such file"},
		{"status --balancer 127.0.0.1:1 --fleet-key-file BAD", 2, "does not hold 32 to 128 hexadecimal digits"},
		{"status --balancer 10.0.0.300:7600 --fleet-key-file KEY", 2, `--balancer: "10.0.0.300:7600" is not an address:port`},
		{"status --balancer 10.0.0.1:76000 --fleet-key-file KEY", 2, `--balancer: "10.0.0.1:76000" is not an address:port`},
		{"status --balancer 10.0.0.1 --fleet-key-file KEY", 2, `--balancer: "10.0.0.1" is not an address:port`},
		{"explain" + balancer, 2, "KIND"},
		{"explain fleet", 2, "--balancer"},
		{"explain flwo 10.9.0.7:1 q" + balancer, 2, `KIND: "flwo" is not flow, caller, target or fleet`},
		{"explain flow 10.9.0.7:1" + balancer, 2, "usage: kumquatworks explain flow CALLER SERVICE"},
		{"explain flow 10.9.0.7 q" + balancer, 2, `CALLER: "10.9.0.7" is not an IPv4 address:port`},
		{"explain flow [::1]:7 q" + balancer, 2, `CALLER: "[::1]:7" is not an IPv4 address:port`},
		{"explain caller me" + balancer, 2, `ADDRESS: "me" is not an IPv4 address`},
		{"explain target" + balancer, 2, "usage: kumquatworks explain target NAME"},
		{"explain fleet all" + balancer, 2, "usage: kumquatworks explain fleet"},
		{"balancer", 2, "--config"},
		{"balancer --config NONE", 2, "none.json: no such file"},
		{"balancer --config BAD --check", 1, "1 fault:"},
		{"experiment", 2, "MEASURE"},
		{"experiment slot", 2, `measure "slot" is not one of`},
		{"experiment slots --seed x", 2, "--seed: takes a whole number from 0"},
		{"version 2", 2, `unexpected argument "2"`},
		{"standin", 2, "specify one command"},
		{"standin platform --listen nonsense", 2, `--listen: "nonsense" is not an address:port`},
		{"standin platform --vms NONE", 2, "none.json: no such file"},
		{"standin platform --vms BAD", 1, "bad.json"},
		{"standin fabric --http 7501", 2, `--http: "7501" is not an address:port`},
		{"standin fabric --platform 127.0.0.1:1", 2, `--platform: "127.0.0.1:1" is not a URL`},
		{"standin fabric --keepalive soon", 2, "--keepalive: takes a duration"},
		{"standin target", 2, "--service"},
		{"standin target --service s --target q-1", 2, `--target: "q-1": want NAME=ADDRESS:PORT`},
		{"standin target --service s --target q-1=10.1.0.1:1 --health 7600", 2, `--health: "7600" is not an address:port`},
		{"standin caller", 2, "--service"},
		{"standin caller --service q=10.0.0.1:443 --address me", 2, `--address: "me" is not an IPv4 address`},
		{"standin caller --service q=10.0.0.1:443 --fabric nonsense", 2, `--fabric: "nonsense" is not an address:port`},
	} {
		var out, errOut bytes.Buffer
		code := Main(strings.Fields(replacer.Replace(c.line)), &out, &errOut)
		text := errOut.String()
		assert.Equal(t, code, c.code, "%s: %s", c.line, text)
		assert.Assert(t, strings.Contains(text, c.want), "%s: output lacks %q: %s", c.line, c.want, text)
		assert.Equal(t, out.String(), "", c.line)
		if c.code == ExitUsage {
			assert.Assert(t, strings.HasPrefix(text, "kumquatworks: ") && strings.Count(text, "\n") == 1, "%s: %s", c.line, text)
		}
	}
}

// Guards against a command that ignores unknown options.
func TestUnknownFlag(t *testing.T) {
	for _, c := range commands {
		var out, errOut bytes.Buffer
		args := strings.Fields(c.group + " " + c.name + " --nosuch")
		assert.Equal(t, Main(args, &out, &errOut), ExitUsage, c.name)
		assert.Equal(t, errOut.String(), "kumquatworks: unknown flag `nosuch'; see kumquatworks --help\n")
	}
}
