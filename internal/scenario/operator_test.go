package scenario

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
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
