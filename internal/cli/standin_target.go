package cli

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-kit/log"
	"github.com/jessevdk/go-flags"
	"golang.org/x/sync/errgroup"

	"github.com/kumquatworks/kumquatworks/internal/standin/exchange"
	"github.com/kumquatworks/kumquatworks/internal/standin/fabric"
	"github.com/kumquatworks/kumquatworks/internal/standin/target"
)

func init() {
	register(command{
		group: standinGroup,
		name:  "target",
		short: "run target stand-ins",
		long: "Runs QUIC targets of one service behind the fabric. At SIGTERM they report that they drain, continue to serve " +
			"for the time of --notice, and finish the work in progress. Example: kumquatworks standin target " +
			"--fabric 127.0.0.1:7500 --service quote-desk --target quote-1=10.1.0.1:4433 --health 127.0.0.1:7601",
		newCommander: func(s Streams) flags.Commander { return &standinTargetCommand{streams: s} },
	})
}

type standinTargetCommand struct {
	Fabric      string        `long:"fabric" default:"127.0.0.1:7500" description:"UDP address:port of the fabric"`
	Place       string        `long:"place" description:"place of the targets"`
	Service     string        `long:"service" required:"true" description:"service that the targets name in their answers"`
	Targets     []string      `long:"target" required:"true" description:"NAME=ADDRESS:PORT inside the fabric; may be repeated"`
	Health      []string      `long:"health" description:"HTTP address:port of health and load, one for each target in order"`
	Slots       int           `long:"slots" default:"2" description:"requests that one target runs at once"`
	Connections int           `long:"connections" default:"2000" description:"connections that one target takes"`
	Queue       int           `long:"queue" default:"100" description:"waiting requests above which a target sheds"`
	Cold        time.Duration `long:"cold" default:"0s" description:"time after the start in which requests take twice as long"`
	Notice      time.Duration `long:"notice" default:"4s" description:"time that a stopping target serves on"`
	Grace       time.Duration `long:"grace" default:"20s" description:"longest wait for work in progress at the stop"`
	streams     Streams
}

// Execute runs the targets until SIGTERM.
func (c *standinTargetCommand) Execute([]string) error {
	if len(c.Health) > 0 && len(c.Health) != len(c.Targets) {
		return usageError("--health: %d given for %d targets; give one for each target or none", len(c.Health), len(c.Targets))
	}
	options, addresses, err := c.targetOptions()
	if err != nil {
		return err
	}
	if err := checkAddresses(append([]namedAddress{{"--fabric", c.Fabric}}, healthAddresses(c.Health)...)); err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	attachment, err := fabric.Attach(ctx, c.Fabric, c.Place, addresses)
	if err != nil {
		return err
	}
	defer attachment.Close()
	return c.serve(ctx, attachment, options, newLogger(c.streams, "target"))
}

func healthAddresses(addresses []string) []namedAddress {
	var list []namedAddress
	for _, a := range addresses {
		list = append(list, namedAddress{"--health", a})
	}
	return list
}

func (c *standinTargetCommand) targetOptions() ([]target.Options, []netip.Addr, error) {
	var options []target.Options
	var addresses []netip.Addr
	for _, text := range c.Targets {
		name, endpoint, err := exchange.ParseNamedEndpoint(text)
		if err != nil {
			return nil, nil, usageError("--target: %v", err)
		}
		options = append(options, target.Options{
			Name: name, Service: c.Service, Endpoint: endpoint,
			Slots: c.Slots, MaxConnections: c.Connections, MaxQueued: c.Queue,
			ColdStartPeriod: c.Cold, NoticePeriod: c.Notice, GracePeriod: c.Grace,
		})
		addresses = append(addresses, endpoint.Addr())
	}
	return options, addresses, nil
}

// serve runs all targets. Their health endpoints stay up until all targets have stopped.
func (c *standinTargetCommand) serve(ctx context.Context, attachment *fabric.Attachment, options []target.Options, logger log.Logger) error {
	httpCtx, stopHTTP := context.WithCancel(context.Background())
	defer stopHTTP()
	var targets, servers errgroup.Group
	for i, o := range options {
		instance, err := target.New(attachment, o)
		if err != nil {
			return err
		}
		targets.Go(func() error { return instance.Run(ctx) })
		if len(c.Health) > 0 {
			servers.Go(func() error { return serveHTTP(httpCtx, c.Health[i], instance.Handler(), logger) })
		}
	}
	_ = logger.Log("level", "info", "op", "start", "msg", "target stand-ins are serving", "service", c.Service, "targets", len(options))
	err := targets.Wait()
	stopHTTP()
	if httpErr := servers.Wait(); err == nil {
		err = httpErr
	}
	return err
}
