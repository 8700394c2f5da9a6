package cli

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/internal/publish"
)

func init() {
	register(command{
		name:  "history",
		short: "list accepted generations",
		long: fmt.Sprintf("Lists the last %d accepted generations, newest first; the first is the one in force. Times are in UTC by the clock of the operator who published. ", publish.MaxRecentPublications) +
			"Exit codes: 0 listed, 1 the platform cannot be read, 2 wrong use. " +
			"Example: kumquatworks history --platform http://10.0.0.9:7400",
		newCommander: func(s Streams) flags.Commander { return &historyCommand{streams: s} },
	})
}

type historyCommand struct {
	platformOption
	JSON    bool `long:"json" description:"print JSON"`
	streams Streams
}

// Execute prints the accepted generations in the history.
func (c *historyCommand) Execute([]string) error {
	store, err := c.store()
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	head, _, err := publish.ReadHead(ctx, store)
	if err != nil {
		return errors.Wrap(err, "the platform cannot be read; the balancers report the generation in force: kumquatworks status")
	}
	if c.JSON {
		return printJSON(c.streams, head.Recent)
	}
	if len(head.Recent) == 0 {
		_, err := fmt.Fprintln(c.streams.Out, "nothing was published yet")
		return err
	}
	table := tabwriter.NewWriter(c.streams.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "GENERATION\tTIME\tOPERATOR\tDIGEST\tCHANGES")
	for _, p := range head.Recent {
		publishedAt := time.Unix(p.UnixSeconds, 0).UTC().Format(time.DateTime)
		fmt.Fprintf(table, "%d\t%s\t%s\t%.12s\t%s\n", p.Generation, publishedAt, p.Operator, p.Digest, p.Summary)
	}
	return table.Flush()
}

func printJSON(s Streams, value any) error {
	encoder := json.NewEncoder(s.Out)
	encoder.SetIndent("", "  ")
	return errors.WithStack(encoder.Encode(value))
}
