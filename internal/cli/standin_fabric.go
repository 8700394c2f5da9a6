package cli

import (
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/kumquatworks/kumquatworks/internal/standin/fabric"
)

func init() {
	register(command{
		group: standinGroup,
		name:  "fabric",
		short: "run the packet fabric stand-in",
		long: "Forwards GRE-in-UDP packets between endpoints and balancers. Each packet of an endpoint goes to a random " +
			"balancer of the VM list. Faults are injected through paths below /test/ on the HTTP address. Stops at SIGTERM. " +
			"Example: kumquatworks standin fabric --listen 127.0.0.1:7500 --http 127.0.0.1:7501 --platform http://127.0.0.1:7400",
		newCommander: func(s Streams) flags.Commander { return &standinFabricCommand{streams: s} },
	})
}

type standinFabricCommand struct {
	Listen    string        `long:"listen" default:"127.0.0.1:7500" description:"UDP address:port"`
	HTTP      string        `long:"http" default:"127.0.0.1:7501" description:"HTTP address:port of switches and counts"`
	Platform  string        `long:"platform" default:"http://127.0.0.1:7400" description:"base URL of the platform, for the VM list"`
	Keepalive time.Duration `long:"keepalive" default:"250ms" description:"interval between checks of a balancer"`
	Misses    int           `long:"misses" default:"4" description:"failed checks after which a balancer receives no packets"`
	Seed      uint64        `long:"seed" default:"1" description:"seed of the choice of balancers and faulty packets"`
	streams   Streams
}

// Execute forwards packets until SIGTERM.
func (c *standinFabricCommand) Execute([]string) error {
	if err := checkAddresses([]namedAddress{{"--listen", c.Listen}, {"--http", c.HTTP}}); err != nil {
		return err
	}
	store, err := (&platformOption{Platform: c.Platform}).store()
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	logger := newLogger(c.streams, "fabric")
	packetFabric, err := fabric.New(fabric.Options{
		ListenAddress:     c.Listen,
		Store:             store,
		KeepaliveInterval: c.Keepalive,
		FailureThreshold:  c.Misses,
		Seed:              c.Seed,
		Logger:            logger,
	})
	if err != nil {
		return err
	}
	stopped := make(chan struct{})
	go func() {
		packetFabric.Run(ctx)
		close(stopped)
	}()
	err = serveHTTP(ctx, c.HTTP, packetFabric.Handler(), logger)
	stop()
	<-stopped
	return err
}
