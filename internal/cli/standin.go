package cli

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
)

// stopTimeout bounds the graceful stop of a stand-in's HTTP server.
const shutdownTimeout = 3 * time.Second

// standinGroup is the command group of the stand-ins.
const standinGroup = "standin"

// untilSignal returns a context that ends at SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// newLogger returns the JSON-line logger of a stand-in.
func newLogger(s Streams, component string) log.Logger {
	logger := log.NewJSONLogger(log.NewSyncWriter(s.Err))
	return log.With(logger, "ts", log.DefaultTimestampUTC, "caller", component)
}

// serveHTTP serves until ctx ends and then stops gracefully.
func serveHTTP(ctx context.Context, address string, handler http.Handler, logger log.Logger) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	requestCtx, cancelRequests := context.WithCancel(context.Background())
	defer cancelRequests()
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: shutdownTimeout,
		BaseContext:       func(net.Listener) context.Context { return requestCtx },
	}
	shutdownErr := make(chan error, 1)
	go func() {
		<-ctx.Done()
		cancelRequests() // ends waiting requests
		shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancelShutdown()
		shutdownErr <- server.Shutdown(shutdownCtx)
	}()
	_ = logger.Log("level", "info", "op", "listen", "msg", "serving HTTP", "address", listener.Addr())
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.WithStack(err)
	}
	return errors.Wrap(<-shutdownErr, "stop HTTP server")
}

// namedAddress is the value of an option that takes an address:port; empty is no address.
type namedAddress struct{ option, value string }

// checkAddresses refuses options without an address:port before a stand-in binds or dials.
func checkAddresses(list []namedAddress) error {
	for _, a := range list {
		if _, err := netip.ParseAddrPort(a.value); err != nil && a.value != "" {
			return usageError("%s: %q is not an address:port", a.option, a.value)
		}
	}
	return nil
}

// readJSON reads one JSON file and refuses unknown fields.
func readJSON(path string, out any) error {
	file, err := os.Open(path)
	if err != nil {
		return usageError("%v", err)
	}
	defer file.Close()
	decoder := json.NewDecoder(file)
	decoder.DisallowUnknownFields()
	return errors.Wrap(decoder.Decode(out), path)
}
