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

// shutdownTimeout bounds the graceful shutdown of a stand-in's HTTP server and the reading
// of a request's headers.
const shutdownTimeout = 3 * time.Second

// standinGroup is the command group of the stand-ins.
const standinGroup = "standin"

// signalContext returns a context that is canceled by SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// newLogger returns the logger of a stand-in. It writes one JSON object per line.
func newLogger(s Streams, component string) log.Logger {
	logger := log.NewJSONLogger(log.NewSyncWriter(s.Err))
	return log.With(logger, "ts", log.DefaultTimestampUTC, "caller", component)
}

// serveHTTP serves until ctx ends and then shuts down gracefully.
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
		cancelRequests() // ends requests that are still waiting
		shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancelShutdown()
		shutdownErr <- server.Shutdown(shutdownCtx)
	}()
	_ = logger.Log("level", "info", "op", "listen", "msg", "serving HTTP", "address", listener.Addr())
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.WithStack(err)
	}
	return errors.Wrap(<-shutdownErr, "shut down HTTP server")
}

// namedAddress is an option that takes an address:port, with its value. The value may be empty.
type namedAddress struct{ option, value string }

// checkAddresses rejects values that are not an address:port, before a stand-in binds or dials.
func checkAddresses(list []namedAddress) error {
	for _, a := range list {
		if _, err := netip.ParseAddrPort(a.value); err != nil && a.value != "" {
			return usageError("%s: %q is not an address:port", a.option, a.value)
		}
	}
	return nil
}

// readJSON decodes a JSON file and rejects unknown fields.
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
