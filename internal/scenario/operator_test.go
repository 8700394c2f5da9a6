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

// TestOperatorScripts runs the scripts of testdata/operator, which ask balancer
// processes with real flows. Each script says what it guards against.
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

// walkHeading begins the section of docs/OPERATIONS.md whose commands are run.
const walkthroughHeading = "### Try it on one machine\n"

// walkStart ends the processes of a walk that fails half-way.
const walkthroughPrologue = "set -e\ntrap 'kill $started 2>/dev/null || true; wait' EXIT\n"

var loopbackAddress = regexp.MustCompile(`127\.0\.0\.1:\d+`)

// Guards against a first walk through docs/OPERATIONS.md that does not work as
// written. Only the ports are replaced, by free ones.
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
