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
const walkHeading = "### Try it on one machine\n"

// walkStart ends the processes of a walk that fails half-way.
const walkStart = "set -e\ntrap 'kill $started 2>/dev/null || true; wait' EXIT\n"

var loopbackAddress = regexp.MustCompile(`127\.0\.0\.1:\d+`)

// Guards against a first walk through docs/OPERATIONS.md that does not work as
// written. Only the ports are replaced, by free ones.
func TestWalkOfOperationsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	_, section, _ := strings.Cut(string(page), walkHeading)
	_, block, _ := strings.Cut(section, "```sh\n")
	block, _, found := strings.Cut(block, "```\n")
	assert.Assert(t, found)
	names := map[string]string{}
	for _, address := range loopbackAddress.FindAllString(block, -1) {
		names[address] = ""
	}
	free := freeAddresses(t, len(names))
	for address := range names {
		names[address] = free[0].String()
		free = free[1:]
	}
	block = loopbackAddress.ReplaceAllStringFunc(block, func(address string) string { return names[address] })
	testscript.Run(t, testscript.Params{
		Dir: "testdata/walk",
		Setup: func(env *testscript.Env) error {
			return os.WriteFile(filepath.Join(env.WorkDir, "walk.sh"), []byte(walkStart+block+"wait\n"), 0o600)
		},
	})
}
