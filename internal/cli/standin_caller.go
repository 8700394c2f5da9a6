package cli

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/kumquatworks/kumquatworks/internal/standin/caller"
	"github.com/kumquatworks/kumquatworks/internal/standin/exchange"
	"github.com/kumquatworks/kumquatworks/internal/standin/fabric"
)

func init() {
	register(command{
		group: standinGroup,
		name:  "caller",
		short: "run a caller stand-in",
		long: "Opens QUIC connections to a service through the fabric, checks every answer and prints a JSON report. " +
			"Feeds, and requests without a fixed number, continue until SIGTERM. Example: kumquatworks standin caller " +
			"--fabric 127.0.0.1:7500 --address 10.9.0.1 --service quote-desk=10.0.0.1:443 --requests 100 --feeds 10",
		newCommander: func(s Streams) flags.Commander { return &standinCallerCommand{streams: s} },
	})
}

type standinCallerCommand struct {
	Fabric      string        `long:"fabric" default:"127.0.0.1:7500" description:"UDP address:port of the fabric"`
	Place       string        `long:"place" description:"place of the caller"`
	Address     string        `long:"address" default:"10.9.0.1" description:"inner IPv4 address of the caller"`
	Service     string        `long:"service" required:"true" description:"NAME=ADDRESS:PORT of the service inside the fabric"`
	Requests    int           `long:"requests" description:"number of requests; 0 with a concurrency is without end"`
	Concurrency int           `long:"concurrency" default:"0" description:"requests in progress at once"`
	Rate        float64       `long:"rate" default:"0" description:"requests a second; 0 is without limit"`
	Feeds       int           `long:"feeds" default:"0" description:"feeds held until SIGTERM"`
	IdleFeeds   int           `long:"idle-feeds" default:"0" description:"feeds among them without messages or keepalives"`
	Interval    time.Duration `long:"feed-interval" default:"100ms" description:"interval of a feed's messages"`
	WorkMS      int           `long:"work-ms" default:"1" description:"time in a slot for each request, in ms"`
	Bytes       int           `long:"bytes" default:"4000" description:"bytes of each answer"`
	Upload      int           `long:"upload" default:"0" description:"bytes of each upload"`
	DeadlineMS  int           `long:"deadline-ms" default:"0" description:"longest wait for a slot, in ms; 0 is without limit"`
	HTTP        string        `long:"http" description:"HTTP address:port of the report in progress; none if empty"`
	Strict      bool          `long:"strict" description:"exit 1 unless every request and feed was whole"`
	streams     Streams
}

// Execute runs the caller's session and prints its report.
func (c *standinCallerCommand) Execute([]string) error {
	name, endpoint, err := exchange.ParseNamedEndpoint(c.Service)
	if err != nil {
		return usageError("--service: %v", err)
	}
	address, err := netip.ParseAddr(c.Address)
	if err != nil || !address.Is4() {
		return usageError("--address: %q is not an IPv4 address", c.Address)
	}
	if err := checkAddresses([]namedAddress{{"--fabric", c.Fabric}, {"--http", c.HTTP}}); err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	attachment, err := fabric.Attach(ctx, c.Fabric, c.Place, []netip.Addr{address})
	if err != nil {
		return err
	}
	defer attachment.Close()
	options := caller.Options{Address: address, Service: name, Endpoint: endpoint, RequestIDPrefix: name + "-" + c.Address}
	report, err := c.run(ctx, caller.NewSession(caller.New(attachment, options), c.sessionOptions()))
	if err != nil {
		return err
	}
	if err := json.NewEncoder(c.streams.Out).Encode(report); err != nil {
		return errors.WithStack(err)
	}
	if c.Strict && !report.AllComplete() {
		return errors.New("not every request and feed completed without a fault")
	}
	return nil
}

func (c *standinCallerCommand) sessionOptions() caller.SessionOptions {
	return caller.SessionOptions{
		Request:  caller.RequestOptions{WorkMS: c.WorkMS, ResponseBytes: c.Bytes, UploadBytes: c.Upload, DeadlineMS: c.DeadlineMS},
		Requests: c.Requests, Concurrency: c.Concurrency, Rate: c.Rate,
		Feeds: c.Feeds, IdleFeeds: c.IdleFeeds, FeedInterval: c.Interval,
	}
}

// run runs the session, and its HTTP server if --http is set.
func (c *standinCallerCommand) run(ctx context.Context, session *caller.Session) (caller.Report, error) {
	if c.HTTP == "" {
		return session.Run(ctx), nil
	}
	httpCtx, stopHTTP := context.WithCancel(context.Background())
	serveErr := make(chan error, 1)
	go func() { serveErr <- serveHTTP(httpCtx, c.HTTP, session.Handler(), newLogger(c.streams, "caller")) }()
	report := session.Run(ctx)
	stopHTTP()
	return report, <-serveErr
}
