package cli

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/user"
	"strconv"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/internal/publish"
)

const publishExitCodes = "Exit codes: 0 accepted and in force at every live balancer; 1 not published, or accepted and not yet in force everywhere; " +
	"2 wrong use; 3 conflict with another operator; 4 unknown whether it was accepted (the command that finds out is printed). "

func init() {
	register(command{
		name:  "publish",
		short: "publish a configuration",
		long: "Checks a complete configuration, lists the changes, asks for confirmation, publishes it as the next generation and waits until every live balancer has it in force. " +
			"Repeating the command is safe: it finds an earlier run and does not publish twice. " + publishExitCodes +
			"Example: kumquatworks publish conf/ --platform http://10.0.0.9:7400 --balancer 10.0.0.1:7600 --fleet-key-file fleet.key",
		newCommander: func(s Streams) flags.Commander { return &publishCommand{publishRunner: publishRunner{streams: s}} },
	})
	register(command{
		name:  "rollback",
		short: "publish an earlier generation again",
		long: "Publishes the configuration of an earlier generation as a new generation, in the same way as publish. " + publishExitCodes +
			"Example: kumquatworks rollback 41 --platform http://10.0.0.9:7400 --balancer 10.0.0.1:7600 --fleet-key-file fleet.key",
		newCommander: func(s Streams) flags.Commander { return &rollbackCommand{publishRunner: publishRunner{streams: s}} },
	})
}

// publishRunner holds the options and the steps that publish and rollback share.
type publishRunner struct {
	platformOption
	balancerOptions
	Yes         bool    `long:"yes" description:"publish without asking"`
	Base        *uint64 `long:"base" value-name:"GENERATION" description:"publish only if this generation is in force, and find out about an earlier run that replaced it"`
	Operator    string  `long:"operator" value-name:"NAME" env:"KUMQUATWORKS_OPERATOR" description:"name in the history; an operator may take back own changes without --base, but not those of others (default: user name at host name)"`
	WaitSeconds uint    `long:"wait" value-name:"SECONDS" default:"30" description:"how long to wait until every live balancer has the configuration in force, in seconds; 0 does not wait"`

	streams Streams
	// commandLine is the command line without --base, for messages.
	commandLine string
}

type publishCommand struct {
	publishRunner
	Args pathArguments `positional-args:"yes"`
}

// Execute publishes a configuration.
func (c *publishCommand) Execute([]string) error {
	set, err := readConfiguration(c.streams, c.Args.Paths)
	if err != nil {
		return err
	}
	c.commandLine = c.buildCommandLine("publish", c.Args.Paths)
	return c.run(func(ctx context.Context, p *publish.Publisher, fleet publish.Fleet) (publish.Plan, error) {
		return p.Plan(ctx, publish.Request{Set: set, BaseGeneration: c.Base, Operator: c.operatorName()}, fleet)
	})
}

type rollbackCommand struct {
	publishRunner
	Args struct {
		Generation string `positional-arg-name:"GENERATION" description:"generation to publish again, as history lists it"`
	} `positional-args:"yes" required:"yes"`
}

// Execute publishes an earlier generation again.
func (c *rollbackCommand) Execute([]string) error {
	generation, err := strconv.ParseUint(c.Args.Generation, 10, 64)
	if err != nil || generation == 0 {
		return usageError("GENERATION: %q is not a generation; kumquatworks history lists them", c.Args.Generation)
	}
	c.commandLine = c.buildCommandLine("rollback", []string{c.Args.Generation})
	return c.run(func(ctx context.Context, p *publish.Publisher, fleet publish.Fleet) (publish.Plan, error) {
		return p.PlanRollback(ctx, generation, publish.Request{BaseGeneration: c.Base, Operator: c.operatorName()}, fleet)
	})
}

// operatorName returns the operator's name for the history.
func (c *publishRunner) operatorName() string {
	if c.Operator != "" {
		return c.Operator
	}
	name := "unknown"
	if u, err := user.Current(); err == nil {
		name = u.Username
	}
	host, err := os.Hostname()
	if err != nil {
		return name
	}
	return name + "@" + host
}

type planFunc func(context.Context, *publish.Publisher, publish.Fleet) (publish.Plan, error)

// run plans the publish, prints its changes, asks for confirmation, commits it and waits
// until it is in force.
func (c *publishRunner) run(makePlan planFunc) error {
	store, err := c.store()
	if err != nil {
		return err
	}
	dial, err := c.newDialer()
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	fleet, err := queryFleet(ctx, dial, c.Balancers, store)
	if err != nil {
		printWarnings(c.streams, []string{fmt.Sprintf("no balancer answers, so progress cannot be shown: %v", err)})
	}
	p := publish.New(store)
	planned, err := makePlan(ctx, p, fleet)
	if err != nil {
		return c.headReadError(ctx, err)
	}
	if planned.FinalResult == nil {
		c.printPlan(planned)
		if err := c.confirm(ctx); err != nil {
			return err
		}
	}
	result := p.Commit(ctx, planned)
	if err := c.reportResult(ctx, planned, result); err != nil {
		return err
	}
	return c.awaitInForce(ctx, dial, result.Generation)
}

// headReadError returns the error for a head that could not be read. A command with a base
// may be the repetition of an earlier run, whose outcome is then still unknown.
func (c *publishRunner) headReadError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return errors.New("interrupted; this run published nothing")
	}
	if c.Base != nil {
		return &ExitError{Code: ExitUnknown, Err: errors.Errorf("the platform cannot be read, so the outcome of an earlier run is still unknown; this run published nothing: %v\nto find out, run again: %s", err, c.retryCommandLine(*c.Base))}
	}
	return errors.Errorf("the platform cannot be read; this run published nothing: %v", err)
}

// maxPrintedChanges bounds the changes that are printed.
const maxPrintedChanges = 100

func (c *publishRunner) printPlan(plan publish.Plan) {
	fmt.Fprintf(c.streams.Out, "generation %d replaces generation %d:\n", plan.NextGeneration, plan.BaseGeneration)
	c.printChanges(plan.Changes)
	printWarnings(c.streams, plan.Warnings)
}

func (c *publishRunner) printChanges(changes []string) {
	for i, change := range changes {
		if i == maxPrintedChanges {
			fmt.Fprintf(c.streams.Out, "  and %d more\n", len(changes)-i)
			return
		}
		fmt.Fprintln(c.streams.Out, "  "+change)
	}
}

// confirm asks the operator for confirmation unless --yes was given.
func (c *publishRunner) confirm(ctx context.Context) error {
	if c.Yes {
		return nil
	}
	fmt.Fprint(c.streams.Out, "publish? [y/N] ")
	answer := make(chan string, 1)
	go func() {
		line, _ := bufio.NewReader(c.streams.In).ReadString('\n')
		answer <- strings.ToLower(strings.TrimSpace(line))
	}()
	select {
	case <-ctx.Done():
		return errors.New("interrupted; nothing was published")
	case a := <-answer:
		if a == "y" || a == "yes" {
			return nil
		}
		return errors.New("not confirmed; nothing was published (--yes publishes without asking)")
	}
}

// reportResult prints the outcome. It returns an error unless the publish was accepted.
func (c *publishRunner) reportResult(ctx context.Context, plan publish.Plan, r publish.Result) error {
	reasons := strings.Join(r.Reasons, "\n")
	switch r.Outcome {
	case publish.OutcomeAccepted:
		verb := "accepted as generation"
		if r.AlreadyPublished {
			verb = "already accepted, nothing to do: generation"
		}
		fmt.Fprintf(c.streams.Out, "%s %d\n", verb, r.Generation)
		for _, reason := range r.Reasons {
			fmt.Fprintln(c.streams.Out, reason)
		}
		return nil
	case publish.OutcomeConflict:
		fmt.Fprintln(c.streams.Out, "changed by others:")
		c.printChanges(r.OtherChanges)
		return &ExitError{Code: ExitConflict, Err: errors.New("conflict: " + reasons)}
	case publish.OutcomeUnknown:
		return &ExitError{Code: ExitUnknown, Err: errors.Errorf("unknown whether this was accepted: %s\nto find out, run: %s", reasons, c.retryCommandLine(plan.BaseGeneration))}
	}
	if ctx.Err() != nil {
		return errors.Errorf("interrupted; nothing was published: %s", reasons)
	}
	return errors.Errorf("not published: %s", reasons)
}

// awaitInForce waits until every live balancer has the generation in force, or --wait has passed.
func (c *publishRunner) awaitInForce(ctx context.Context, dial operatorDialer, generation uint64) error {
	if c.WaitSeconds == 0 {
		return nil
	}
	waitCtx, cancel := context.WithTimeout(ctx, time.Duration(c.WaitSeconds)*time.Second)
	defer cancel()
	watcher := progressWatcher{out: c.streams.Out, dial: dial, addresses: c.Balancers, generation: generation}
	if watcher.waitInForce(waitCtx) {
		return nil
	}
	cause := fmt.Sprintf("not in force everywhere after %d s", c.WaitSeconds)
	if ctx.Err() != nil {
		cause = "interrupted while waiting for the balancers"
	}
	return errors.Errorf("%s; generation %d is accepted and stays accepted; %s; follow it with: kumquatworks status%s",
		cause, generation, watcher.lastLine, c.balancerFlags())
}

// buildCommandLine returns a command line that repeats this command with the same arguments,
// platform, balancers and fleet key file.
func (c *publishRunner) buildCommandLine(name string, args []string) string {
	words := []string{"kumquatworks", name}
	for _, a := range args {
		words = append(words, shellQuote(a))
	}
	return strings.Join(words, " ") + " --platform " + shellQuote(c.Platform) + c.balancerFlags()
}

func (c *publishRunner) retryCommandLine(base uint64) string {
	return fmt.Sprintf("%s --base %d", c.commandLine, base)
}

func (o *balancerOptions) balancerFlags() string {
	text := ""
	for _, b := range o.Balancers {
		text += " --balancer " + shellQuote(b)
	}
	return text + " --fleet-key-file " + shellQuote(o.FleetKeyFile)
}

// shellQuote quotes a word for a shell if necessary.
func shellQuote(word string) string {
	isSafe := func(r rune) bool {
		return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-_./:,@%+", r)
	}
	if word != "" && strings.TrimFunc(word, isSafe) == "" {
		return word
	}
	return "'" + strings.ReplaceAll(word, "'", `'\''`) + "'"
}
