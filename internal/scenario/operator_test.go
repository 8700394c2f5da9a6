package scenario

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"
)

// TestOperatorScripts runs the scripts in testdata/operator, which run operator commands
// against balancer processes that carry flows. The head of each script states the
// failure that it guards against.
func TestOperatorScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/operator",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"ports":   portsCommand,
			"expand":  expandCommand,
			"answers": answersCommand,
			"live":    liveCommand,
		},
	})
}

// walkthroughHeading is the heading of the section of docs/OPERATIONS.md whose commands are run.
const walkthroughHeading = "### Try it on one machine\n"

// walkthroughPrologue ends the shell at the first failed command and kills the
// processes in $started when the shell exits.
const walkthroughPrologue = "set -e\ntrap 'kill $started 2>/dev/null || true; wait' EXIT\n"

var loopbackAddress = regexp.MustCompile(`127\.0\.0\.1:\d+`)

// Guards against commands in the walkthrough of docs/OPERATIONS.md that do not work as
// written. The test replaces only the loopback addresses, by ones with free ports.
func TestOperationsPageWalkthrough(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	_, section, _ := strings.Cut(string(page), walkthroughHeading)
	_, block, _ := strings.Cut(section, "```sh\n")
	block, _, found := strings.Cut(block, "```\n")
	assert.Assert(t, found)
	replacements := map[string]string{}
	for _, address := range loopbackAddress.FindAllString(block, -1) {
		replacements[address] = ""
	}
	freePorts := freeAddresses(t, len(replacements))
	for address := range replacements {
		replacements[address] = freePorts[0].String()
		freePorts = freePorts[1:]
	}
	block = loopbackAddress.ReplaceAllStringFunc(block, func(address string) string { return replacements[address] })
	testscript.Run(t, testscript.Params{
		Dir: "testdata/walk",
		Setup: func(env *testscript.Env) error {
			return os.WriteFile(filepath.Join(env.WorkDir, "walk.sh"), []byte(walkthroughPrologue+block+"wait\n"), 0o600)
		},
	})
}
