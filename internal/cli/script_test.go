package cli

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// defaultConfiguration is the configuration of scripts without a folder conf.
const defaultConfiguration = `{"places": [{"name": "pl-a"}, {"name": "pl-b"}, {"name": "pl-c"}],
 "services": [{"name": "quote-desk", "address": "10.1.0.1", "port": 443, "protocol": "quic", "pool": "quotes"}],
 "pools": [{"name": "quotes", "slots": 2, "connections": 2000}],
 "targets": [
  {"name": "q-01", "pool": "quotes", "place": "pl-a", "address": "10.2.0.1", "port": 8443},
  {"name": "q-02", "pool": "quotes", "place": "pl-b", "address": "10.2.0.2", "port": 8443},
  {"name": "q-03", "pool": "quotes", "place": "pl-c", "address": "10.2.0.3", "port": 8443}]}
`

func writeConfiguration(folder string) error {
	if _, err := os.Stat(folder); err == nil {
		return nil
	}
	if err := os.Mkdir(folder, 0o700); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(folder, "all.json"), []byte(defaultConfiguration), 0o600)
}

// waitForOutput repeats a command until its output matches a pattern, or no longer matches
// it if negated. The exit code does not matter.
func waitForOutput(ts *testscript.TestScript, negated bool, args []string) {
	pattern := regexp.MustCompile("(?m)" + args[0])
	for range 600 {
		_ = ts.Exec(args[1], args[2:]...) // only the output counts
		if pattern.MatchString(ts.ReadFile("stdout")+ts.ReadFile("stderr")) != negated {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	ts.Fatalf("%v: waiting for pattern %s failed; output: %s%s", args[1:], args[0], ts.ReadFile("stdout"), ts.ReadFile("stderr"))
}

// checkJSONFields fails unless the output is one JSON value with the given fields.
func checkJSONFields(ts *testscript.TestScript, _ bool, args []string) {
	var value any
	ts.Check(json.Unmarshal([]byte(ts.ReadFile("stdout")), &value))
	fields, _ := value.(map[string]any)
	for _, name := range args {
		if _, ok := fields[name]; !ok {
			ts.Fatalf("the output lacks the field %s", name)
		}
	}
}
