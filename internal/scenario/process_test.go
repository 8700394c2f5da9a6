package scenario

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// process is a kumquatworks process that a script started. Its output goes to the files
// NAME.out and NAME.err in the working directory of the script.
type process struct {
	name       string
	cmd        *exec.Cmd
	stdoutPath string
	exited     chan struct{}
	// suspended is set between SIGSTOP and SIGCONT.
	suspended bool
}

// startProcess starts kumquatworks with the given arguments. The process is killed at the end of the script.
func startProcess(ts *testscript.TestScript, name string, args ...string) *process {
	p := &process{name: name, stdoutPath: ts.MkAbs(name + ".out"), exited: make(chan struct{})}
	p.cmd = exec.Command(programPath(ts), args...)
	p.cmd.Dir = ts.MkAbs(".")
	stdout, err := os.Create(p.stdoutPath)
	ts.Check(err)
	defer stdout.Close()
	stderr, err := os.Create(ts.MkAbs(name + ".err"))
	ts.Check(err)
	defer stderr.Close()
	p.cmd.Stdout, p.cmd.Stderr = stdout, stderr
	ts.Check(p.cmd.Start())
	go func() {
		_ = p.cmd.Wait() // awaitExit reads the exit code from the process state
		close(p.exited)
	}()
	ts.Defer(func() {
		_ = p.cmd.Process.Kill() // fails if the process has already exited
		<-p.exited
	})
	return p
}

// programPath returns the path of kumquatworks in the directory that testscript puts first in PATH.
func programPath(ts *testscript.TestScript) string {
	return filepath.Join(filepath.SplitList(ts.Getenv("PATH"))[0], "kumquatworks")
}

var signalsByName = map[string]syscall.Signal{
	"TERM": syscall.SIGTERM,
	"KILL": syscall.SIGKILL,
	"STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT,
}

// signal sends the signal with the given name, one of signalsByName.
func (p *process) signal(ts *testscript.TestScript, name string) {
	ts.Check(p.cmd.Process.Signal(signalsByName[name]))
	p.suspended = name == "STOP"
}

// acceptsRequests reports whether the process was started, has not exited and is not suspended.
func (p *process) acceptsRequests() bool { return p != nil && !p.suspended && !p.hasExited() }

// awaitExit waits until the process exits and returns its exit code.
func (p *process) awaitExit(ts *testscript.TestScript) int {
	select {
	case <-p.exited:
	case <-time.After(pollTimeout):
		ts.Fatalf("%s: did not exit within %s", p.name, pollTimeout)
	}
	return p.cmd.ProcessState.ExitCode()
}

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// stdout returns the standard output of the process.
func (p *process) stdout(ts *testscript.TestScript) []byte {
	data, err := os.ReadFile(p.stdoutPath)
	ts.Check(err)
	return bytes.TrimSpace(data)
}
